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

// sharedCrashes tells all registries of crashes that one of them has seen.
func sharedCrashes(vms []*poison.Registry, by int, f poison.Fingerprint, server string) {
	crash, isNews := vms[by].RecordCrash(f, server)
	for n, vm := range vms {
		if isNews && n != by {
			vm.ReceiveCrash(crash)
		}
	}
}

// TestPopularRequestWhileServersOfAZoneCrash guards against a request of many callers that is blocked for all of them because
// several backend servers that ran it have crashed at the same moment.
func TestPopularRequestWhileServersOfAZoneCrash(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		vms := []*poison.Registry{poison.NewRegistry(window), poison.NewRegistry(window), poison.NewRegistry(window)}
		f := poison.FingerprintOf("", "GET", "shop.example/", nil)
		for outage := range 3 {
			vms[0].ExcuseNext(f)
			vms[1].ExcuseNext(f)
			for n := range 12 {
				sharedCrashes(vms, n%2, f, fmt.Sprint(outage, "-", n))
				time.Sleep(20 * time.Millisecond)
			}
			for n, vm := range vms {
				qt.Check(t, vm.IsBlocked(f), qt.IsFalse, qt.Commentf("outage %d, VM %d", outage, n))
			}
			time.Sleep(time.Minute)
		}
	})
}

// TestRequestThatBeginsToCrash checks that a request which was answered everywhere and then crashes each backend server is blocked
// on all VMs after three crashes.
func TestRequestThatBeginsToCrash(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		vms := make([]*poison.Registry, 40)
		f := poison.FingerprintOf("", "GET", "shop.example/", nil)
		for n := range vms {
			vms[n] = poison.NewRegistry(window)
			vms[n].ExcuseNext(f)
		}
		crashes := 0
		for n := range vms {
			if done, allowed := vms[n].Begin(context.Background(), f); allowed {
				crashes++
				sharedCrashes(vms, n, f, fmt.Sprint("backend-", n))
				done()
			}
			time.Sleep(time.Second)
		}
		qt.Check(t, crashes, qt.Equals, 3)
	})
}

// TestRefusalsInErrorAreCounted checks that refusals are counted as errors once the refused request is answered elsewhere.
func TestRefusalsInErrorAreCounted(t *testing.T) {
	r := poison.NewRegistry(window)
	f := poison.FingerprintOf("", "GET", "shop.example/", nil)
	r.RecordCrash(f, "a")
	r.RecordCrash(f, "b")
	for range 3 {
		_, allowed := r.Begin(context.Background(), f)
		qt.Check(t, allowed, qt.IsFalse)
	}
	qt.Check(t, r.BlockedInError(), qt.Equals, int64(0))
	r.Adopt(poison.Block{Fingerprint: f, Remaining: window, IsAnswered: true})
	qt.Check(t, r.BlockedInError(), qt.Equals, int64(3))
}
