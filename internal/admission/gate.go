package admission

import (
	"sync/atomic"

	"github.com/primroseladder/primroseladder/internal/catalogue"
)

// Shares of an entry's requests in percent up to which a class is admitted.
const (
	bulkSharePercent     = 50
	standardSharePercent = 80
)

// Gate bounds the requests that an entry holds at a time, and keeps room for the classes that go first. It is safe
// for concurrent use.
type Gate struct {
	limit    int64
	admitted atomic.Int64
}

// NewGate returns a gate for at most limit requests.
func NewGate(limit int) *Gate { return &Gate{limit: int64(limit)} }

// Admit admits a request of a class. Each admitted request must Leave.
func (g *Gate) Admit(class catalogue.Class) bool {
	if g.admitted.Add(1) <= g.limitFor(class) {
		return true
	}
	g.admitted.Add(-1)
	return false
}

// Release gives back the room of an admitted request.
func (g *Gate) Release() { g.admitted.Add(-1) }

// Admitted returns how many requests the entry holds.
func (g *Gate) Admitted() int64 { return g.admitted.Load() }

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
