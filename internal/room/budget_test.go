package room_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/primroseladder/primroseladder/internal/room"
)

const (
	ratio = 0.2
	step  = 5 * time.Millisecond
	// dividedShare is the part of the slack that is divided among the VMs.
	dividedShare = 0.8
)

// fleet is the VMs of a region that share the retry budget of a service. What one VM does, the others hear a step later, unless it
// is lost. A refused request asks for one retry.
type fleet struct {
	vms         []*room.RetryBudget
	slack, lost float64
	random      *rand.Rand
	now         time.Time
	pending     []func()
	// requests and retries are counted by second, asked and got by claim.
	requests, retries []float64
	asked, got        map[room.Claim]float64
	byVM              []float64
}

func newFleet(vms int, slack, lost float64) *fleet {
	f := &fleet{
		slack: slack, lost: lost, random: rand.New(rand.NewPCG(uint64(vms), 1)), now: time.Unix(1000, 0),
		asked: map[room.Claim]float64{}, got: map[room.Claim]float64{}, byVM: make([]float64, vms),
	}
	for range vms {
		f.vms = append(f.vms, room.NewRetryBudget(ratio, 10*time.Second, f.now))
	}
	return f
}

func (f *fleet) tell(from int, apply func(*room.RetryBudget)) {
	for i, vm := range f.vms {
		if i != from && f.random.Float64() >= f.lost {
			f.pending = append(f.pending, func() { vm.Hear(fmt.Sprint(from), f.now); apply(vm) })
		}
	}
}

// second plays one second with a number of requests, a share of which is refused.
func (f *fleet) second(requests int, refused float64, claim func() room.Claim) {
	f.requests, f.retries = append(f.requests, float64(requests)), append(f.retries, 0)
	steps := int(time.Second / step)
	for s := range steps {
		heard := f.pending
		f.pending = nil
		for _, deliver := range heard {
			deliver()
		}
		for range (s+1)*requests/steps - s*requests/steps {
			f.request(f.random.IntN(len(f.vms)), refused, claim)
		}
		f.now = f.now.Add(step)
	}
}

func (f *fleet) request(vm int, refused float64, claim func() room.Claim) {
	f.vms[vm].AddRequest(f.now)
	f.tell(vm, func(b *room.RetryBudget) { b.AddPeerRequests(f.now, 1) })
	if f.random.Float64() >= refused {
		return
	}
	c, divided := claim(), dividedShare*f.slack
	f.asked[c]++
	if f.vms[vm].Take(f.now, c, room.Allowance{Own: divided / float64(len(f.vms)), Region: divided}) {
		f.got[c]++
		f.byVM[vm]++
		f.retries[len(f.retries)-1]++
		f.tell(vm, func(b *room.RetryBudget) { b.AddPeerRetry(f.now) })
	}
}

// share returns which share of the retries that were asked for with a claim were sent.
func (f *fleet) share(c room.Claim) float64 { return f.got[c] / f.asked[c] }

// limit returns how many retries the window from a second may have by the users' rule, and sent how many it has.
func (f *fleet) limit(from int) float64 {
	most := max(sum(f.requests, from), sum(f.requests, from-10), sum(f.requests, from-5))
	return ratio*most + f.slack
}

func (f *fleet) sent(from int) float64 { return sum(f.retries, from) }

func sum(counts []float64, from int) (total float64) {
	for i := max(0, from); i < min(from+10, len(counts)); i++ {
		total += counts[i]
	}
	return total
}

// playShortage plays a service whose servers refuse more than half of their requests for 8 s, after 12 s without refusals.
func (f *fleet) playShortage(claim func() room.Claim) {
	for s := range 20 {
		f.second(400, map[bool]float64{true: 0.55}[s >= 12], claim)
	}
}

// TestRetriesStayWithinTheWindow checks that no window has more retries of all VMs than the users' rule allows, for one VM and for
// several, while the load and the share of refusals change and a tenth of the evidence is lost.
func TestRetriesStayWithinTheWindow(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		vms := rapid.SampledFrom([]int{1, 2, 6}).Draw(rt, "VMs")
		f := newFleet(vms, rapid.Float64Range(3, 40).Draw(rt, "slack"), rapid.SampledFrom([]float64{0, 0.1}).Draw(rt, "lost"))
		requests := rapid.SliceOfN(rapid.IntRange(0, 60), 12, 12).Draw(rt, "requests")
		refused := rapid.SliceOfN(rapid.SampledFrom([]float64{0, 0.5, 1}), 12, 12).Draw(rt, "refused")
		for s := range 48 {
			f.second(requests[s/4], refused[s/4], func() room.Claim { return room.Claim{} })
		}
		for from := range 38 {
			// One retry is always allowed.
			if sent, limit := f.sent(from), f.limit(from)+1; sent > limit {
				rt.Fatalf("%v retries in the window from %d s, limit %.1f", sent, from, limit)
			}
		}
	})
}

// TestAllServersRefuseAPart answers the load of a service whose servers all refuse a part of their requests: most of the retries
// that the rule allows are sent, some of them in every second, and no VM is left out.
func TestAllServersRefuseAPart(t *testing.T) {
	for _, vms := range []int{1, 2, 20} {
		f := newFleet(vms, 160, 0.02)
		f.playShortage(func() room.Claim { return room.Claim{} })
		if sent, limit := f.sent(12), f.limit(12); sent < 0.75*limit || sent > limit {
			t.Errorf("%d VMs: %v retries, limit %.0f", vms, sent, limit)
		}
		if least, mean := slices.Min(f.byVM), f.sent(12)/float64(vms); least < 0.7*mean {
			t.Errorf("%d VMs: one sent %v retries, the mean is %.0f", vms, least, mean)
		}
		for s, sent := range f.retries[12:] {
			if sent < 40 {
				t.Errorf("%d VMs: %v retries in second %d of the shortage", vms, sent, s)
			}
		}
	}
}

// TestBurstOfLessUrgentRequests answers the load of four times as many less urgent requests beside urgent ones, also of late ones
// beside those that can be answered in time: the first get nearly all the retries that they ask for, the others the rest.
func TestBurstOfLessUrgentRequests(t *testing.T) {
	for _, burst := range []room.Claim{{Priority: 1}, {IsLate: true}} {
		f := newFleet(20, 160, 0.02)
		f.playShortage(func() room.Claim { return []room.Claim{{}, burst}[min(1, f.random.IntN(5))] })
		if share := f.share(room.Claim{}); share < 0.9 {
			t.Errorf("beside %+v urgent requests got %.2f of the retries that they asked for", burst, share)
		}
		if sent, limit := f.sent(12), f.limit(12); sent < 0.65*limit {
			t.Errorf("%v retries, limit %.0f", sent, limit)
		}
	}
}

// TestFloodOfOneOrganisation answers the load of one organisation that sends half of all requests beside 20 others: none of the
// others gets less than nine tenths of the share of retries that all get.
func TestFloodOfOneOrganisation(t *testing.T) {
	f := newFleet(10, 160, 0.02)
	f.playShortage(func() room.Claim {
		return room.Claim{Organisation: fmt.Sprint("organisation ", max(0, f.random.IntN(40)-19))}
	})
	asked, got := 0.0, 0.0
	for c := range f.asked {
		asked, got = asked+f.asked[c], got+f.got[c]
	}
	for c := range f.asked {
		if share := f.share(c); c.Organisation != "organisation 0" && share < 0.9*got/asked {
			t.Errorf("%s got %.2f of the retries that it asked for, all %.2f", c.Organisation, share, got/asked)
		}
	}
}
