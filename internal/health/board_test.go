package health

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"github.com/primroseladder/primroseladder/internal/catalogue"
)

func drawHealth(t *rapid.T) catalogue.Health {
	policies := []catalogue.DetectionPolicy{catalogue.DetectionQuick, catalogue.DetectionCareful}
	return catalogue.Health{
		Detection:    rapid.SampledFrom(policies).Draw(t, "detection"),
		FloorPercent: rapid.IntRange(1, 100).Draw(t, "floor"),
	}
}

func drawObserver(t *rapid.T) Observer {
	n := rapid.IntRange(1, 5).Draw(t, "observer")
	return Observer{fmt.Sprintf("entry-%d", n), []string{"perth-a", "perth-b"}[n%2]}
}

func quickHealth(floor int) catalogue.Health {
	return catalogue.Health{Detection: catalogue.DetectionQuick, FloorPercent: floor}
}

// group is a set of boards that share opinions without delay.
type group struct {
	clock  *fakeClock
	boards []*Board
	// unreachable reports whether a VM cannot open connections to a backend server.
	unreachable func(vm int, backend string) bool
}

func newGroup(policy catalogue.DetectionPolicy, members, servers int) *group {
	g := &group{clock: newClock(), unreachable: func(int, string) bool { return false }}
	settings := SettingsFor(catalogue.Health{Detection: policy, FloorPercent: 60})
	settings.Now = g.clock.Now
	settings.Jitter = func(d time.Duration) time.Duration { return d }
	for i := range members {
		self := Observer{fmt.Sprintf("entry-%d", i), []string{"perth-a", "perth-b"}[i%2]}
		board := NewBoard(self, settings, Hooks{
			ShareOpinion: func(o Opinion) {
				for other, b := range g.boards {
					if other != i {
						b.ReceiveOpinion(o)
					}
				}
			},
			Verify: func(backend string) { g.boards[i].RecordVerification(backend, !g.unreachable(i, backend)) },
		})
		board.SetBackends(vmsOf(serverNames(servers)...), 2)
		g.boards = append(g.boards, board)
	}
	return g
}

func (g *group) attempt(vm int, backend string, result Result, latency time.Duration) {
	a := g.boards[vm].Begin(backend)
	g.clock.now = g.clock.now.Add(latency)
	a.End(result)
}

// addReferenceLatencies lets every VM measure enough latencies to recognise slow requests.
func (g *group) addReferenceLatencies(servers int) {
	for vm := range g.boards {
		for i := range 2 * referenceMin {
			g.attempt(vm, fmt.Sprintf("deposits-%d", i%servers), ResultSuccess, 10*time.Millisecond)
		}
	}
}

func TestSharedEjectionNeedsTwoObserversInTwoZones(t *testing.T) {
	const unhealthy = "deposits-0"
	tests := []struct {
		name string
		vms  []int
		want string
	}{
		{"one VM", []int{0, 0, 0, 0}, "local"},
		{"two VMs of one zone", []int{0, 2, 0, 2}, "local"},
		{"two VMs of two zones", []int{0, 1}, "shared"},
		{"one VM, and a little from another zone", []int{0, 0, 0, 0, -1}, "local"},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			g := newGroup(catalogue.DetectionQuick, 4, 8)
			for _, vm := range test.vms {
				if vm < 0 {
					g.boards[1].RecordProbeFailure(unhealthy)
					continue
				}
				g.attempt(vm, unhealthy, ResultFailure, time.Millisecond)
			}
			explanation, _ := g.boards[0].Explain(unhealthy)
			c.Assert(explanation.Scope, qt.Equals, test.want)
			c.Assert(g.boards[3].IsExcluded(unhealthy), qt.Equals, test.want == "shared")
		})
	}
}

// TestUnreachableIsConfirmedByVerification checks that one refused connection ejects a backend server on all VMs, because
// each of them opens a connection to verify it.
func TestUnreachableIsConfirmedByVerification(t *testing.T) {
	c := qt.New(t)
	g := newGroup(catalogue.DetectionCareful, 4, 8)
	g.unreachable = func(int, string) bool { return true }
	g.attempt(0, "deposits-0", ResultUnreachable, time.Millisecond)
	for _, b := range g.boards {
		c.Assert(b.Out(), qt.DeepEquals, []string{"deposits-0"})
	}
}

// TestUnhealthyLocalPathEjectsNobody checks that a VM that cannot reach any backend server distrusts its own network path
// instead of ejecting them.
func TestUnhealthyLocalPathEjectsNobody(t *testing.T) {
	c := qt.New(t)
	g := newGroup(catalogue.DetectionQuick, 6, 18)
	for _, name := range serverNames(18) {
		g.attempt(0, name, ResultUnreachable, time.Millisecond)
	}
	for vm, b := range g.boards {
		c.Check(b.Out(), qt.HasLen, 0)
		c.Check(b.View().LocalPathUnhealthy, qt.Equals, vm == 0)
	}
}

// TestOverloadEjectsNobody checks that no backend server is ejected for a fault that all of them have.
func TestOverloadEjectsNobody(t *testing.T) {
	tests := []struct {
		name    string
		result  Result
		latency time.Duration
	}{
		{"all slow", ResultSuccess, 100 * time.Millisecond},
		{"all failing", ResultFailure, 10 * time.Millisecond},
		{"all shedding", ResultIgnored, time.Millisecond},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			g := newGroup(catalogue.DetectionCareful, 4, 8)
			g.addReferenceLatencies(8)
			for round := range 40 {
				for i := range 8 {
					g.attempt((round+i)%4, fmt.Sprintf("deposits-%d", i), test.result, test.latency)
				}
				for vm, b := range g.boards {
					c.Assert(b.Out(), qt.HasLen, 0, qt.Commentf("round %d, VM %d", round, vm))
				}
			}
		})
	}
}

// TestOverdueRequestsCountBeforeTheyEnd checks that a backend server that never answers is ejected while the requests are
// in flight.
func TestOverdueRequestsCountBeforeTheyEnd(t *testing.T) {
	c := qt.New(t)
	g := newGroup(catalogue.DetectionQuick, 4, 8)
	g.addReferenceLatencies(8)
	for vm := range 4 {
		g.boards[vm].Begin("deposits-0")
	}
	g.tick(10)
	c.Assert(g.boards[0].Out(), qt.DeepEquals, []string{"deposits-0"})
}

// tick advances the clock by n ticks and calls Tick on all boards each time.
func (g *group) tick(n int) {
	for range n {
		g.clock.now = g.clock.now.Add(TickInterval)
		for _, b := range g.boards {
			b.Tick()
		}
	}
}

// TestPausesEjectNobody checks that neither a stall of the VMs nor a short pause of a backend server ejects it.
func TestPausesEjectNobody(t *testing.T) {
	tests := []struct {
		name string
		// pause advances the clock by the length of the pause.
		pause func(*group)
	}{
		{"of the VMs themselves", func(g *group) { g.clock.now = g.clock.now.Add(10 * time.Second) }},
		{"of the backend server", func(g *group) { g.tick(4) }},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			g := newGroup(catalogue.DetectionQuick, 4, 8)
			g.addReferenceLatencies(8)
			g.tick(1)
			var attempts []*Attempt
			for _, b := range g.boards {
				for range 3 {
					attempts = append(attempts, b.Begin("deposits-0"))
				}
			}
			test.pause(g)
			for _, a := range attempts {
				a.End(ResultSuccess)
			}
			for i := range 40 {
				g.attempt(i%4, "deposits-0", ResultSuccess, 10*time.Millisecond)
				if i%5 == 0 {
					g.tick(1)
				}
			}
			for _, b := range g.boards {
				c.Check(b.Report().MostOut, qt.Equals, 0)
			}
		})
	}
}

// TestReturnByTrial checks that failed trials lengthen the ejection to at most four times its first length, and that
// successful ones return the backend server through slow start.
func TestReturnByTrial(t *testing.T) {
	c := qt.New(t)
	g := newGroup(catalogue.DetectionQuick, 2, 8)
	b := g.boards[0]
	const unhealthy = "deposits-0"
	eject := func() {
		g.attempt(0, unhealthy, ResultFailure, time.Millisecond)
		g.attempt(1, unhealthy, ResultFailure, time.Millisecond)
	}
	eject()
	c.Assert(b.ejectionTimeOf(unhealthy), qt.Equals, b.settings.EjectionTime)
	for _, factor := range []time.Duration{2, 4, 4} {
		g.waitFor(t, b, unhealthy, "trial")
		c.Assert(b.IsExcluded(unhealthy), qt.IsTrue)
		c.Assert(b.View().Trials, qt.DeepEquals, []string{unhealthy})
		c.Assert(b.ClaimTrial(unhealthy), qt.IsTrue)
		c.Assert(b.ClaimTrial(unhealthy), qt.IsFalse)
		g.attempt(0, unhealthy, ResultFailure, time.Millisecond)
		c.Assert(b.ejectionTimeOf(unhealthy), qt.Equals, factor*b.settings.EjectionTime)
	}
	g.waitFor(t, b, unhealthy, "trial")
	for range b.settings.TrialSuccesses {
		g.clock.now = g.clock.now.Add(b.settings.TrialInterval)
		c.Assert(b.ClaimTrial(unhealthy), qt.IsTrue)
		g.attempt(0, unhealthy, ResultSuccess, time.Millisecond)
	}
	c.Assert(b.IsExcluded(unhealthy), qt.IsFalse)
	c.Assert(b.View().Share(unhealthy, g.clock.now) < 0.5, qt.IsTrue)
	g.waitFor(t, b, unhealthy, "in")
}

// TestFlappingMeansLongerEjections checks that the ejections of a backend server get longer when it fails soon after each
// return, and that the length is reset when the backend server fails only after Settings.ResetTime in service.
func TestFlappingMeansLongerEjections(t *testing.T) {
	c := qt.New(t)
	g := newGroup(catalogue.DetectionQuick, 2, 8)
	b := g.boards[0]
	const unhealthy = "deposits-0"
	want := b.settings.EjectionTime
	for range 8 {
		g.attempt(0, unhealthy, ResultFailure, time.Millisecond)
		g.attempt(1, unhealthy, ResultFailure, time.Millisecond)
		c.Assert(b.ejectionTimeOf(unhealthy), qt.Equals, want)
		want = min(2*want, b.settings.MaxEjectionTime)
		g.waitFor(t, b, unhealthy, "in")
		g.waitFor(t, g.boards[1], unhealthy, "in")
	}
	g.clock.now = g.clock.now.Add(b.settings.ResetTime)
	g.attempt(0, unhealthy, ResultFailure, time.Millisecond)
	g.attempt(1, unhealthy, ResultFailure, time.Millisecond)
	c.Assert(b.ejectionTimeOf(unhealthy), qt.Equals, b.settings.EjectionTime)
}

// ejectionTimeOf returns the length of the current ejection's lease, or 0 if the backend server is not ejected.
func (b *Board) ejectionTimeOf(backend string) time.Duration {
	e, _ := b.Explain(backend)
	if e.State != "out" {
		return 0
	}
	return e.Until.Sub(*e.Since)
}

// waitFor ticks the board until the backend server reaches the state, and fails the test after 10,000 ticks.
func (g *group) waitFor(t *testing.T, b *Board, backend, state string) {
	t.Helper()
	for range 10_000 {
		if e, _ := b.Explain(backend); e.State == state {
			return
		}
		g.clock.now = g.clock.now.Add(TickInterval)
		b.Tick()
	}
	t.Fatalf("%s did not reach the state %q", backend, state)
}

func TestDrainingIsSharedAndUsesTheBudget(t *testing.T) {
	c := qt.New(t)
	g := newGroup(catalogue.DetectionQuick, 2, 8)
	g.boards[0].SetDraining("deposits-7")
	for _, b := range g.boards {
		c.Assert(b.IsExcluded("deposits-7"), qt.IsTrue)
		r := b.Report()
		c.Assert([]int{r.Live, r.Floor, r.Budget, r.InService}, qt.DeepEquals, []int{8, 5, 2, 7})
	}
}

// BenchmarkAttempt measures View, Begin and End of one attempt on a board without suspected backend servers.
func BenchmarkAttempt(b *testing.B) {
	settings := SettingsFor(quickHealth(60))
	board := NewBoard(Observer{"entry-0", "perth-a"}, settings, Hooks{})
	names := serverNames(18)
	board.SetBackends(vmsOf(names...), 2)
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		name := names[i%len(names)]
		if board.View().IsExcluded(name) {
			b.Fatal("out")
		}
		board.Begin(name).End(ResultSuccess)
	}
}
