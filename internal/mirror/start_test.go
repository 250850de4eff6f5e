package mirror_test

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/primroseladder/primroseladder/internal/kv/kvtest"
)

// TestCopySpreadsOverSlowLinks replays the return of power on a zone of 28 VMs whose links carry 10 Mbit/s: the first VM
// with a copy of 37 KB was asked for it by all others at once, and each got it 30 ms after the one before.
func TestCopySpreadsOverSlowLinks(t *testing.T) {
	const size = 28
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(context.Background())
		defer cancel()
		store := kvtest.New()
		store.Put("config", "1")
		z := &zone{store: store, needsRegistration: true, wholeCopyTime: 30 * time.Millisecond}
		z.putRegistrations(size)
		z.start(ctx, size)
		time.Sleep(600 * time.Millisecond)
		qt.Check(t, z.withoutValue("config", "1"), qt.HasLen, 0)
		cancel()
		time.Sleep(5 * time.Second)
	})
}

// TestReturnOverANarrowLink replays the return of 300 VMs after a loss of power, those of the region without the store: 150 VMs
// in two zones and 3,000 backend servers. An entry has about 450 bytes and the link to the store carries 30 Mbit/s. When
// all VMs read the registrations of their zone and some of them the whole store, calls took longer than their timeout, and
// then every VM read the whole. VMs start up to 0.3 s apart.
func TestReturnOverANarrowLink(t *testing.T) {
	const (
		size          = 150
		servers       = 3000
		itemsOverLink = 8300
		// withinContact is the time after which the users count a VM that starts as in touch.
		withinContact = 3 * time.Second
	)
	for _, isRestart := range []bool{true, false} {
		t.Run(fmt.Sprintf("restart %t", isRestart), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				ctx, cancel := context.WithCancel(context.Background())
				defer cancel()
				store := kvtest.New()
				z := &zone{
					store: store, zones: 2, needsRegistration: true, isRestart: isRestart, wholeCopyTime: 5 * time.Millisecond,
					startsWithin: 300 * time.Millisecond,
				}
				store.Put("config", "1")
				z.putRegistrations(size)
				for n := range servers {
					store.Put(fmt.Sprintf("servers/%d", n), "1")
				}
				store.SetLinkRate(itemsOverLink)
				z.start(ctx, size)
				time.Sleep(withinContact)
				qt.Check(t, z.withoutValue("config", "1"), qt.HasLen, 0)
				cancel()
				time.Sleep(5 * time.Second)
			})
		})
	}
}
