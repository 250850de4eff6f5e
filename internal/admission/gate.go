package admission

import (
	"sync/atomic"

	"github.com/primroseladder/primroseladder/internal/catalogue"
)

// Percentages of an entry's request limit up to which a class is admitted. Other classes may use all of it.
const (
	bulkSharePercent     = 50
	standardSharePercent = 80
)

// Gate limits the requests that an entry processes at a time and reserves capacity for the classes of higher priority.
// It is safe for concurrent use.
type Gate struct {
	limit    int64
	admitted atomic.Int64
}

// NewGate returns a gate that admits at most limit requests at a time.
func NewGate(limit int) *Gate { return &Gate{limit: int64(limit)} }

// Admit reports whether a request of the class is admitted. Release must be called once for each admitted request.
func (g *Gate) Admit(class catalogue.Class) bool {
	if g.admitted.Add(1) <= g.limitFor(class) {
		return true
	}
	g.admitted.Add(-1)
	return false
}

// Release ends an admitted request.
func (g *Gate) Release() { g.admitted.Add(-1) }

// Admitted returns how many admitted requests have not been released.
func (g *Gate) Admitted() int64 { return g.admitted.Load() }

// limitFor returns the number of admitted requests up to which a request of the class is admitted.
func (g *Gate) limitFor(class catalogue.Class) int64 {
	switch class {
	case catalogue.ClassBulk:
		return g.limit * bulkSharePercent / 100
	case catalogue.ClassStandard:
		return g.limit * standardSharePercent / 100
	default:
		return g.limit
	}
}
