package poison_test

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"github.com/primroseladder/primroseladder/internal/poison"
)

const window = 10 * time.Minute

// TestAtMostTwoBackendServersAreLost sends a request many times, from several goroutines and after random pauses. The
// request crashes each backend server that runs it; the test counts these backend servers.
func TestAtMostTwoBackendServersAreLost(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		pauses := rapid.SliceOfN(rapid.IntRange(0, 2000), 1, 30).Draw(rt, "pauses")
		synctest.Test(t, func(t *testing.T) {
			r := poison.NewRegistry(window)
			f := poison.FingerprintOf("deposits", "POST", "/deposits", []byte("bad"))
			// The first send has crashed a backend server.
			r.RecordCrash(f, "first")
			lost := 1
			var mu sync.Mutex
			var wg sync.WaitGroup
			for i, pause := range pauses {
				wg.Go(func() {
					time.Sleep(time.Duration(pause) * time.Millisecond)
					done, allowed := r.Begin(context.Background(), f)
					if !allowed {
						return
					}
					time.Sleep(5 * time.Millisecond)
					mu.Lock()
					lost++
					mu.Unlock()
					r.RecordCrash(f, fmt.Sprint("backend-", i))
					done()
				})
			}
			wg.Wait()
			if lost > 2 {
				t.Fatalf("%d backend servers were lost", lost)
			}
		})
	})
}

func TestAnswerUnblocksRequest(t *testing.T) {
	c := qt.New(t)
	r := poison.NewRegistry(window)
	f := poison.FingerprintOf("schedules", "GET", "/schedules", nil)
	r.RecordCrash(f, "a")
	r.RecordCrash(f, "b")
	c.Assert(r.IsBlocked(f), qt.IsTrue)
	c.Assert(r.RecordAnswer(f), qt.IsTrue)
	_, allowed := r.Begin(context.Background(), f)
	c.Assert(allowed, qt.IsTrue)
	c.Assert(r.IsEmpty(), qt.IsTrue)
}

func TestBlockEndsAfterWindow(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		r := poison.NewRegistry(window)
		f := poison.FingerprintOf("schedules", "GET", "/schedules", nil)
		r.RecordCrash(f, "a")
		r.RecordCrash(f, "b")
		time.Sleep(window - time.Second)
		c.Assert(r.IsBlocked(f), qt.IsTrue)
		time.Sleep(2 * time.Second)
		c.Assert(r.IsBlocked(f), qt.IsFalse)
	})
}
