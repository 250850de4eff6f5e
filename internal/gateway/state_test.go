package gateway

import (
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/rs/zerolog"

	"github.com/primroseladder/primroseladder/internal/membership"
	"github.com/primroseladder/primroseladder/internal/route"
)

// TestRequestsWaitOnlyDuringStartup checks that a request that arrives a few tenths of a second before the first
// configuration, as when power returns, waits for it, and that a VM that has been without one for longer does not wait.
func TestRequestsWaitOnlyDuringStartup(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		s := NewState(nil, nil, nil, membership.Member{}, nil, zerolog.Nop())
		go func() {
			time.Sleep(600 * time.Millisecond)
			s.table.Store(route.NewTable(&route.Config{}, nil))
			close(s.configAdopted)
		}()
		c.Check(s.AwaitTable(t.Context()), qt.IsNotNil)

		late := NewState(nil, nil, nil, membership.Member{}, nil, zerolog.Nop())
		time.Sleep(2 * time.Second)
		began := time.Now()
		c.Check(late.AwaitTable(t.Context()), qt.IsNil)
		c.Check(time.Since(began), qt.Equals, time.Duration(0))
	})
}
