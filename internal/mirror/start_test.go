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
// with a copy was asked for it by all others at once, none got it within 2 s, and the median VM served after 2.6 s.
func TestCopySpreadsOverSlowLinks(t *testing.T) {
	const size = 28
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(context.Background())
		defer cancel()
		store := kvtest.New()
		store.Put("config", "1")
		for n := range size {
			store.Put(registration(fmt.Sprintf("vm-%d", n)), "1")
		}
		z := &zone{store: store, needsRegistration: true, wholeCopyTime: 120 * time.Millisecond}
		z.start(ctx, size)
		time.Sleep(1500 * time.Millisecond)
		qt.Check(t, z.lacking("config", "1"), qt.HasLen, 0)
		cancel()
		time.Sleep(5 * time.Second)
	})
}
