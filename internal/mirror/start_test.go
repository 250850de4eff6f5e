package mirror_test

import (
	"context"
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
		putRegistrations(store, size)
		z := &zone{store: store, needsRegistration: true, wholeCopyTime: 30 * time.Millisecond}
		z.start(ctx, size)
		time.Sleep(600 * time.Millisecond)
		qt.Check(t, z.lacking("config", "1"), qt.HasLen, 0)
		cancel()
		time.Sleep(5 * time.Second)
	})
}
