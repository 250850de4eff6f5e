package allowance_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/primroseladder/primroseladder/internal/allowance"
	"github.com/primroseladder/primroseladder/internal/organisation"
)

const (
	step       = 5 * time.Millisecond
	window     = 5 * time.Second
	over       = 0.1
	slack      = 20.0
	entryBytes = 34
)

var limits = allowance.Limits{Window: window, Over: over, Slack: slack}

type vm struct {
	address     string
	region      int
	ledger      *allowance.Ledger
	startedAt   time.Duration
	downUntil   time.Duration
	frozenUntil time.Duration
	cutUntil    time.Duration
	bytes       int
	isUrgent    bool
}

// fleet runs ledgers in simulated time. Datagrams take 1 ms within a region and 12 ms between regions.
type fleet struct {
	t        *testing.T
	random   *rand.Rand
	start    time.Time
	now      time.Duration
	vms      []*vm
	due      map[time.Duration][]func()
	loss     float64
	accepted map[string][]time.Duration
	asked    map[string]int
	counters int
}

func newFleet(t *testing.T, size int, seed uint64) *fleet {
	f := &fleet{
		t: t, random: rand.New(rand.NewPCG(seed, 1)), start: time.Unix(1000, 0), due: map[time.Duration][]func(){},
		accepted: map[string][]time.Duration{}, asked: map[string]int{}, counters: 8,
	}
	for i := range size {
		f.vms = append(f.vms, &vm{address: fmt.Sprint("vm", i), region: i % 2})
		f.restart(f.vms[i])
	}
	return f
}

func (f *fleet) restart(v *vm) {
	v.ledger, v.startedAt = allowance.NewLedger(limits, uint64(f.now)+1), f.now
}

func (f *fleet) at() time.Time { return f.start.Add(f.now) }

func (f *fleet) isUp(v *vm) bool { return f.now >= v.downUntil && f.now >= v.frozenUntil }

// list returns the counters as the store knows them: VMs that ended are listed for 4 s.
func (f *fleet) list(of *vm) []allowance.Counter {
	var near, far []allowance.Counter
	for _, v := range f.vms {
		if v.downUntil > f.now && f.now > v.startedAt+4*time.Second {
			continue
		}
		c := allowance.Counter{Address: v.address, IsSelf: v == of}
		if v.region == of.region {
			near = append(near, c)
		} else {
			far = append(far, c)
		}
		if len(near)+len(far) == f.counters {
			break
		}
	}
	return append(near, far...)
}

func (f *fleet) find(address string) *vm {
	var i int
	_, _ = fmt.Sscanf(address, "vm%d", &i)
	return f.vms[i]
}

func (f *fleet) send(from, to *vm, bytes int, deliver func()) {
	from.bytes += bytes + 28
	if from.cutUntil > f.now || to.cutUntil > f.now || f.random.Float64() < f.loss {
		return
	}
	delay := step
	if from.region != to.region {
		delay = 3 * step
	}
	f.due[f.now+delay] = append(f.due[f.now+delay], func() {
		if f.isUp(to) {
			deliver()
		}
	})
}

func (f *fleet) sendAll(from *vm, messages []allowance.Message) {
	for _, m := range messages {
		for _, address := range m.To {
			to := f.find(address)
			f.send(from, to, 16+entryBytes*len(m.Report.Entries), func() {
				f.sendAll(to, to.ledger.ReceiveReport(f.at(), from.address, m.Report))
			})
		}
	}
}

// request lets a caller send a request to a VM, which asks up to three counters.
func (f *fleet) request(v *vm, o *organisation.Organisation, tries int) {
	if !f.isUp(v) {
		return
	}
	d := v.ledger.Take(f.at(), o)
	v.isUrgent = v.isUrgent || d.IsUrgent
	switch {
	case d.Outcome == allowance.Accepted:
		f.accepted[o.Name] = append(f.accepted[o.Name], f.now)
	case d.Outcome == allowance.MustAsk && tries > 0:
		to, q, _, isNew := v.ledger.Ask(f.at(), o)
		again := func() { f.request(v, o, tries-1) }
		if !isNew {
			f.due[f.now+16*step] = append(f.due[f.now+16*step], again)
			return
		}
		isAnswered := false
		asked := f.find(to)
		f.send(v, asked, 24, func() {
			a, isUrgent := asked.ledger.ReceiveQuestion(f.at(), q)
			asked.isUrgent = asked.isUrgent || isUrgent
			f.send(asked, v, 24, func() {
				isAnswered = true
				v.ledger.ReceiveAnswer(f.at(), to, a)
				again()
			})
		})
		f.due[f.now+17*step] = append(f.due[f.now+17*step], func() {
			if !isAnswered {
				again()
			}
		})
	}
}

// load is what callers send of an organisation each second, to VMs up to the given one.
type load struct {
	organisation *organisation.Organisation
	perSecond    float64
	vms          int
}

// run sends loads for a time.
func (f *fleet) run(d time.Duration, loads ...load) {
	for end := f.now + d; f.now < end; f.now += step {
		for _, deliver := range f.due[f.now] {
			deliver()
		}
		delete(f.due, f.now)
		for i, v := range f.vms {
			isTick := f.now%allowance.Interval == time.Duration(i%20)*step
			if f.isUp(v) && (isTick || v.isUrgent && f.now%(4*step) == 0) {
				v.isUrgent = false
				f.sendAll(v, v.ledger.Update(f.at(), f.list(v)))
			}
		}
		for _, l := range loads {
			for n := l.perSecond * step.Seconds(); n > 0; n-- {
				if f.random.Float64() < n {
					f.asked[l.organisation.Name]++
					f.request(f.vms[f.random.IntN(l.vms)], l.organisation, 3)
				}
			}
		}
	}
}

func (f *fleet) kill(v *vm, d time.Duration) {
	v.downUntil, v.startedAt = f.now+d, f.now
	f.due[v.downUntil] = append(f.due[v.downUntil], func() { f.restart(v) })
}

// peak returns the most accepted requests in a window, and by how many they exceed the limit.
func (f *fleet) peak(o *organisation.Organisation, from time.Duration) (most int, excess float64) {
	times := f.accepted[o.Name]
	first := 0
	for i, at := range times {
		for times[first] < at-window || times[first] < from {
			if first++; first > i {
				break
			}
		}
		most = max(most, i-first+1)
	}
	return most, float64(most) - ((o.PerSecond*window.Seconds()+o.Burst)*(1+over) + slack)
}

func (f *fleet) checkLimit(from time.Duration, all ...*organisation.Organisation) {
	for _, o := range all {
		most, excess := f.peak(o, from)
		qt.Check(f.t, excess <= 0, qt.IsTrue, qt.Commentf("%s: %d requests in a window, %.1f too many", o.Name, most, excess))
	}
}

func (f *fleet) acceptedSince(o *organisation.Organisation, from time.Duration) float64 {
	n := 0
	for _, at := range f.accepted[o.Name] {
		if at >= from {
			n++
		}
	}
	return float64(n)
}

func organisations() (large, medium, small *organisation.Organisation) {
	return &organisation.Organisation{Name: "large", PerSecond: 200, Burst: 60},
		&organisation.Organisation{Name: "medium", PerSecond: 12, Burst: 5}, &organisation.Organisation{Name: "small", PerSecond: 0.4, Burst: 1}
}

// calm is the usual load, which lies within the allowances.
func calm(large, medium, small *organisation.Organisation) []load {
	return []load{{large, 125, 10}, {medium, 7.5, 10}, {small, 0.25, 10}}
}

var sizes = []int{40, 89, 181, 444}

// TestFloodUsesTheAllowanceAndNoMore floods organisations through few VMs and through all of them, after a calm.
func TestFloodUsesTheAllowanceAndNoMore(t *testing.T) {
	for i, size := range sizes {
		for _, entry := range []int{1, 3, 10, size} {
			t.Run(fmt.Sprint(size, "/", entry), func(t *testing.T) {
				f := newFleet(t, size, uint64(i))
				f.loss = 0.025
				large, medium, small := organisations()
				f.run(10 * time.Second)
				f.run(20*time.Second, calm(large, medium, small)...)
				for _, o := range []*organisation.Organisation{large, medium, small} {
					served := f.acceptedSince(o, 0) / float64(f.asked[o.Name])
					qt.Check(t, served >= 0.98, qt.IsTrue, qt.Commentf("%s: %.3f of %d served in calm", o.Name, served, f.asked[o.Name]))
				}
				calmBytes := f.vms[0].bytes / 30
				from := f.now
				f.run(20*time.Second, load{large, 940, entry}, load{medium, 56, entry}, load{small, 30, entry})
				f.checkLimit(0, large, medium, small)
				for _, o := range []*organisation.Organisation{large, medium, small} {
					used := f.acceptedSince(o, from) / (20 * o.PerSecond)
					most, excess := f.peak(o, 0)
					t.Logf("flood: %s %.3f of the allowance used, most %d, excess %.1f", o.Name, used, most, excess)
					qt.Check(t, used >= 0.9, qt.IsTrue, qt.Commentf("%s: %.3f used", o.Name, used))
				}
				t.Logf("bytes a second of a counter: calm %d, with flood %d; of the last VM %d",
					calmBytes, (f.vms[0].bytes-30*calmBytes)/20, f.vms[size-1].bytes/40)
			})
		}
	}
}

// TestFailuresInAFloodKeepTheLimit cuts off, kills, freezes and starts VMs while organisations send many times their allowance
// through few VMs or through all.
func TestFailuresInAFloodKeepTheLimit(t *testing.T) {
	failures := map[string]func(f *fleet, share float64){
		"cut": func(f *fleet, share float64) {
			f.each(share, func(v *vm) { v.cutUntil = f.now + 5500*time.Millisecond })
		},
		"kill": func(f *fleet, share float64) { f.each(share, func(v *vm) { f.kill(v, 2*time.Second) }) },
		"freeze": func(f *fleet, share float64) {
			f.each(share, func(v *vm) { v.frozenUntil = f.now + f.between(300, 7000) })
		},
	}
	for name, fail := range failures {
		for i, size := range sizes {
			for _, entry := range []int{3, 10, size} {
				for _, share := range []float64{0.17, 0.55} {
					t.Run(fmt.Sprint(name, "/", size, "/", entry, "/", share), func(t *testing.T) {
						f := newFleet(t, size, uint64(100+i))
						f.loss = 0.025
						large, medium, small := organisations()
						f.run(15*time.Second, calm(large, medium, small)...)
						flood := []load{{large, 940, entry}, {medium, 56, entry}, {small, 30, entry}}
						before, after := f.between(0, 3000), f.between(3000, 9000)
						f.run(before, flood...)
						fail(f, share)
						f.run(after, flood...)
						f.run(f.between(0, 2000), calm(large, medium, small)...)
						fail(f, share)
						f.run(10*time.Second, flood...)
						f.checkLimit(0, large, medium, small)
					})
				}
			}
		}
	}
}

// TestFallenLimitBindsOneWindowLater lowers an allowance far below what the organisation sends, at one VM after the other.
func TestFallenLimitBindsOneWindowLater(t *testing.T) {
	f := newFleet(t, 89, 7)
	before := &organisation.Organisation{Name: "large", PerSecond: 200, Burst: 60}
	after := &organisation.Organisation{Name: "large", PerSecond: 5, Burst: 2}
	f.run(10 * time.Second)
	f.run(10*time.Second, load{before, 125, 10})
	f.run(2*time.Second, load{before, 60, 10}, load{after, 60, 10})
	inForce := f.now
	f.run(15*time.Second, load{after, 125, 10})
	f.checkLimit(inForce, after)
	inLast := f.acceptedSince(after, f.now-5*time.Second)
	qt.Check(t, inLast >= 0.9*5*after.PerSecond, qt.IsTrue, qt.Commentf("%.0f accepted in the last window", inLast))
}

// TestSurvivorsServeWhatLiesWithinTheAllowance kills half of the VMs in calm. The others get their callers at once.
func TestSurvivorsServeWhatLiesWithinTheAllowance(t *testing.T) {
	f := newFleet(t, 89, 8)
	large, medium, small := organisations()
	f.run(20*time.Second, calm(large, medium, small)...)
	for _, v := range f.vms[:4] {
		f.kill(v, 2*time.Second)
	}
	from := f.now
	clear(f.asked)
	f.run(10*time.Second, calm(large, medium, small)...)
	f.checkLimit(0, large, medium, small)
	asked := float64(f.asked[large.Name])
	t.Logf("large: %.3f of all requests served, dead VMs included", f.acceptedSince(large, from)/asked)
	qt.Check(t, f.acceptedSince(large, from) >= 0.85*asked, qt.IsTrue)
}

// TestRetryAfterIsWhenARequestIsAccepted asks one VM of a fleet again at the time that it named.
func TestRetryAfterIsWhenARequestIsAccepted(t *testing.T) {
	f := newFleet(t, 1, 9)
	small := &organisation.Organisation{Name: "small", PerSecond: 0.4, Burst: 1}
	f.run(20 * time.Second)
	ledger := f.vms[0].ledger
	var d allowance.Decision
	for d.Outcome == allowance.Accepted {
		d = ledger.Take(f.at(), small)
	}
	f.run(d.RetryAfter.Truncate(step) + step)
	qt.Check(t, ledger.Take(f.at(), small).Outcome, qt.Equals, allowance.Accepted)
	qt.Check(t, ledger.Take(f.at(), small).Outcome, qt.Equals, allowance.Refused)
	ledger.GiveBack(f.at(), small.Name)
	qt.Check(t, ledger.Take(f.at(), small).Outcome, qt.Equals, allowance.Accepted)
}

// each calls do for a share of the VMs.
func (f *fleet) each(share float64, do func(*vm)) {
	for _, v := range f.vms {
		if f.random.Float64() < share {
			do(v)
		}
	}
}

func (f *fleet) between(minMS, maxMS int) time.Duration {
	return (time.Duration(minMS+f.random.IntN(maxMS-minMS)) * time.Millisecond).Truncate(step)
}
