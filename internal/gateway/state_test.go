package gateway

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/rs/zerolog"

	"github.com/primroseladder/primroseladder/internal/blocklist"
	"github.com/primroseladder/primroseladder/internal/kv"
	"github.com/primroseladder/primroseladder/internal/membership"
	"github.com/primroseladder/primroseladder/internal/poison"
	"github.com/primroseladder/primroseladder/internal/route"
)

// TestRequestsWaitOnlyDuringStartup checks that a request that arrives a few tenths of a second before the first
// configuration, as when power returns, waits for it, and that a VM that has been without one for longer does not wait.
func TestRequestsWaitOnlyDuringStartup(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		s := NewState(nil, nil, nil, nil, membership.Member{}, nil, zerolog.Nop())
		go func() {
			time.Sleep(600 * time.Millisecond)
			s.table.Store(route.NewTable(&route.Config{}, nil))
			close(s.configAdopted)
		}()
		c.Check(s.AwaitTable(t.Context()), qt.IsNotNil)

		late := NewState(nil, nil, nil, nil, membership.Member{}, nil, zerolog.Nop())
		time.Sleep(2 * time.Second)
		began := time.Now()
		c.Check(late.AwaitTable(t.Context()), qt.IsNil)
		c.Check(time.Since(began), qt.Equals, time.Duration(0))
	})
}

// noKeys is a Codec for which no key belongs to the operator or a backend server.
type noKeys struct{ Codec }

func (noKeys) IsConfig(string) bool           { return false }
func (noKeys) ServerID(string) (string, bool) { return "", false }

// TestBlocksInTheStoreAreInForce checks that a VM refuses the requests that the store names as blocked, for as long as it says, and
// ignores values that are no block.
func TestBlocksInTheStoreAreInForce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		registry := poison.NewRegistry(poison.DefaultWindow)
		blocks := blocklist.New(blocklist.Options{Registry: registry, Log: zerolog.Nop()})
		s := NewState(noKeys{}, nil, nil, blocks, membership.Member{}, nil, zerolog.Nop())
		until := time.Now().Add(time.Minute).UnixMilli()
		s.Apply([]kv.Item{
			{Key: blocklist.Key(1), Value: fmt.Appendf(nil, `{"until_ms":%d}`, until), Revision: 2},
			{Key: blocklist.Key(2), Value: []byte("until tomorrow"), Revision: 3},
		})
		qt.Check(t, registry.IsBlocked(1), qt.IsTrue)
		qt.Check(t, registry.IsBlocked(2), qt.IsFalse)
		time.Sleep(time.Minute + time.Second)
		qt.Check(t, registry.IsBlocked(1), qt.IsFalse)
	})
}
