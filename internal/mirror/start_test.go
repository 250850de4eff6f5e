package mirror_test

import (
	"context"
	"fmt"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/primroseladder/primroseladder/internal/kv/kvtest"
)

// TestCopySpreadsOverSlowLinks returns power to a zone of 28 VMs whose links carry 10 Mbit/s. It guards against all VMs
// fetching the copy of 37 KB from the first VM that has it: each then received it 30 ms after the previous one.
func TestCopySpreadsOverSlowLinks(t *testing.T) {
	const size = 28
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(context.Background())
		defer cancel()
		store := kvtest.New()
		store.Put("config", "1")
		c := &cluster{store: store, needsRegistration: true, fullCopyTime: 30 * time.Millisecond}
		c.putRegistrations(size)
		c.start(ctx, size)
		time.Sleep(600 * time.Millisecond)
		qt.Check(t, c.withoutValue("config", "1"), qt.HasLen, 0)
		cancel()
		time.Sleep(5 * time.Second)
	})
}

// TestLargeChangeSpreadsOverSlowLinks writes a configuration of 600 KB, as when the operator adds 2,000 routes, in a zone
// of 28 VMs whose links carry 10 Mbit/s. It guards against all VMs fetching it from the first VM that has it: the transfers
// shared its link and exceeded their timeout, then all VMs read the store over the link between the regions, and some ran
// the old configuration for 3 s.
func TestLargeChangeSpreadsOverSlowLinks(t *testing.T) {
	const (
		size = 28
		// maxCalls is one call a second of the reader and the one that returns the change, with one to spare.
		maxCalls = 4
	)
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(context.Background())
		defer cancel()
		store := kvtest.New()
		store.Put("config", "1")
		c := &cluster{store: store, needsRegistration: true, fullCopyTime: 100 * time.Millisecond}
		c.putRegistrations(size)
		c.start(ctx, size)
		time.Sleep(5 * time.Second)
		large := strings.Repeat("route ", 100_000)
		store.Put("config", large)
		before := store.Calls()
		time.Sleep(propagationLimit)
		qt.Check(t, c.withoutValue("config", large), qt.HasLen, 0)
		qt.Check(t, store.Calls()-before <= maxCalls, qt.IsTrue, qt.Commentf("%d calls", store.Calls()-before))
		cancel()
		time.Sleep(5 * time.Second)
	})
}

// TestReturnOverANarrowLink starts the VMs of the region without the store when 300 VMs return after a power failure:
// 150 VMs in two zones, with 3,000 backend servers. An entry has about 450 bytes and the link to the store carries 30
// Mbit/s. When all VMs read the registrations of their zone and some of them the full store, calls exceeded their
// timeout, and then every VM read the full store. VMs start up to 0.3 s apart.
func TestReturnOverANarrowLink(t *testing.T) {
	const (
		size           = 150
		servers        = 3000
		itemsPerSecond = 8300
		// contactLimit is the time after which the users expect a VM that starts to be in contact.
		contactLimit = 3 * time.Second
	)
	for _, isRestart := range []bool{true, false} {
		t.Run(fmt.Sprintf("restart %t", isRestart), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				ctx, cancel := context.WithCancel(context.Background())
				defer cancel()
				store := kvtest.New()
				c := &cluster{
					store: store, zones: 2, needsRegistration: true, isRestart: isRestart, fullCopyTime: 5 * time.Millisecond,
					startsWithin: 300 * time.Millisecond,
				}
				store.Put("config", "1")
				c.putRegistrations(size)
				for n := range servers {
					store.Put(fmt.Sprintf("servers/%d", n), "1")
				}
				store.SetLinkRate(itemsPerSecond)
				c.start(ctx, size)
				time.Sleep(contactLimit)
				qt.Check(t, c.withoutValue("config", "1"), qt.HasLen, 0)
				cancel()
				time.Sleep(5 * time.Second)
			})
		})
	}
}
