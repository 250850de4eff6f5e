package membership_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/rs/zerolog"

	"github.com/primroseladder/primroseladder/internal/ingress"
	"github.com/primroseladder/primroseladder/internal/membership"
)

// loadedZone simulates an availability zone whose callers ask any VM which ones to use, cache the answer and draw one of
// them for each request. A VM counts the requests that it has the processor time to read, and reports them in heartbeats.
type loadedZone struct {
	fleet *membership.Fleet
	vms   []*loadedVM
}

type loadedVM struct {
	membership.Member
	rates *ingress.Rates
	// received is the number of requests of the current second, read or not.
	received int
	// peak is the largest number of requests that arrived in a second.
	peak int
}

// processingLimit is the number of requests a second that saturate a VM. Capacity is two fifths of it.
func (vm *loadedVM) processingLimit() float64 { return vm.Capacity * 5 / 2 }

func newLoadedZone(large, small int) *loadedZone {
	z := &loadedZone{fleet: membership.New(member(0, "a"), regions, zerolog.Nop())}
	for n := range large + small {
		vm := &loadedVM{Member: member(n, "a"), rates: ingress.NewRates()}
		vm.Capacity = 80
		if n < large {
			vm.Capacity = 520
		}
		z.vms = append(z.vms, vm)
	}
	return z
}

func (z *loadedZone) sendHeartbeats() {
	for _, vm := range z.vms {
		m := vm.Member
		m.Rates = vm.rates.Get(time.Now())
		z.fleet.ReceiveHeartbeat(m, time.Now())
	}
}

// run sends requests to a host for some seconds, in steps of the heartbeat interval.
func (z *loadedZone) run(host string, perSecond, seconds int) {
	const callers = 400
	type cached struct {
		group []membership.Member
		until time.Time
	}
	answers := make([]cached, callers)
	stepsPerSecond := int(time.Second / membership.HeartbeatInterval)
	for range seconds {
		for _, vm := range z.vms {
			vm.received = 0
		}
		for range stepsPerSecond {
			z.sendHeartbeats()
			for i := range perSecond / stepsPerSecond {
				caller := &answers[rand.N(callers)]
				if now := time.Now(); !now.Before(caller.until) {
					lifetime := time.Second
					if rand.N(4) == 0 {
						lifetime = 3 * time.Second
					}
					caller.group, caller.until = z.fleet.Serving(host, "a", now), now.Add(lifetime)
				}
				target := caller.group[rand.N(len(caller.group))]
				at := slices.IndexFunc(z.vms, func(vm *loadedVM) bool { return vm.Name == target.Name })
				vm := z.vms[at]
				vm.received++
				vm.peak = max(vm.peak, vm.received)
				if float64(vm.received) <= vm.processingLimit() {
					vm.rates.Count(host, time.Now())
				}
				if i%10 == 0 {
					time.Sleep(time.Millisecond)
				}
			}
			time.Sleep(membership.HeartbeatInterval - time.Duration(perSecond/stepsPerSecond/10+1)*time.Millisecond)
		}
	}
}

// TestNoVMIsSaturatedByTheLoadOfItsZone guards against groups whose VMs get more requests than they can read: callers were
// sent to a single small VM before any load was reported, and then to a small and a large one in equal parts.
func TestNoVMIsSaturatedByTheLoadOfItsZone(t *testing.T) {
	for n := range 12 {
		host := fmt.Sprintf("host-%d", n)
		t.Run(host, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				z := newLoadedZone(3, 50)
				time.Sleep(2 * time.Second)
				z.run(host, 360, 8)
				for _, vm := range z.vms {
					qt.Check(t, float64(vm.peak) <= vm.processingLimit(), qt.IsTrue,
						qt.Commentf("%s: %d requests in a second, limit %.0f", vm.Name, vm.peak, vm.processingLimit()))
				}
			})
		})
	}
}

// TestGroupMembersCarryEqualShares guards against a group in which a small VM gets more than its capacity, since callers
// draw their VMs at random.
func TestGroupMembersCarryEqualShares(t *testing.T) {
	for _, rate := range []float64{10, 100, 300, 600, 1200, 2500} {
		t.Run(fmt.Sprint(rate), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				z := newLoadedZone(3, 50)
				time.Sleep(2 * time.Second)
				z.sendHeartbeats()
				m := z.vms[9].Member
				m.Rates = map[string]float64{"host": rate}
				z.fleet.ReceiveHeartbeat(m, time.Now())
				group := z.fleet.Serving("host", "a", time.Now())
				for _, m := range group {
					qt.Check(t, rate/float64(len(group)) <= m.Capacity, qt.IsTrue, qt.Commentf("%s: capacity %.0f", m.Name, m.Capacity))
				}
			})
		})
	}
}

// TestGroupIsNeverEmpty checks that rounding does not leave a group without VMs or with fewer than its demand needs.
func TestGroupIsNeverEmpty(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		z := newLoadedZone(0, 53)
		for _, capacity := range []float64{0.16 * 650, 0.32 * 650, 1.0 / 3, 0.1, 7.7} {
			for n := 1.0; n <= 53; n++ {
				for _, vm := range z.vms {
					vm.Capacity = capacity
				}
				z.sendHeartbeats()
				m := z.vms[0].Member
				m.Rates = map[string]float64{"host": n * capacity}
				z.fleet.ReceiveHeartbeat(m, time.Now())
				qt.Check(t, len(z.fleet.Serving("host", "a", time.Now())) >= int(n), qt.IsTrue, qt.Commentf("%g VMs of capacity %g", n, capacity))
			}
		}
	})
}
