package health

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"github.com/primroseladder/primroseladder/internal/fleet"
)

// fakeClock is a clock that the test advances.
type fakeClock struct{ now time.Time }

func (c *fakeClock) Now() time.Time { return c.now }

func newClock() *fakeClock { return &fakeClock{now: time.Unix(1_800_000_000, 0)} }

func vmsOf(names ...string) []fleet.VM {
	var out []fleet.VM
	for _, name := range names {
		out = append(out, fleet.VM{Name: name, Region: "perth", State: fleet.StateLive})
	}
	return out
}

func serverNames(n int) []string {
	var out []string
	for i := range n {
		out = append(out, fmt.Sprintf("deposits-%d", i))
	}
	return out
}

// TestFloorHoldsUnderArbitraryEvidence gives a board arbitrary results, opinions of peers, VM lists, drain signals and
// floors, and checks after each step that no more backend servers are out than the floor allows for the current list.
func TestFloorHoldsUnderArbitraryEvidence(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		clock := newClock()
		settings := SettingsFor(drawHealth(t))
		settings.Now = clock.Now
		board := NewBoard(Observer{"entry-0", "perth-a"}, settings, Hooks{})
		names := serverNames(12)
		live := names
		draining := map[string]bool{}
		board.SetBackends(vmsOf(live...), 2)
		var attempts []*Attempt
		sequence := uint64(0)
		check := func() {
			out := board.Out()
			drainingCount := 0
			for _, name := range live {
				if draining[name] {
					drainingCount++
				}
			}
			needed := (len(live)*settings.FloorPercent + 99) / 100
			usable := len(live) - drainingCount - len(out)
			if len(out) > 0 && usable < needed {
				t.Fatalf("live %d, draining %d, out %d, floor %d", len(live), drainingCount, len(out), needed)
			}
		}
		steps := map[string]func(*rapid.T){
			"": func(*rapid.T) { check() },
			"begin": func(t *rapid.T) {
				attempts = append(attempts, board.Begin(rapid.SampledFrom(names).Draw(t, "backend")))
			},
			"end": func(t *rapid.T) {
				if len(attempts) == 0 {
					t.Skip()
				}
				attempts[0].End(Result(rapid.IntRange(0, int(ResultUnreachable)).Draw(t, "result")))
				attempts = attempts[1:]
			},
			"receive": func(t *rapid.T) {
				sequence++
				board.ReceiveOpinion(Opinion{
					Backend:  rapid.SampledFrom(names).Draw(t, "backend"),
					Observer: drawObserver(t), Kind: Kind(rapid.IntRange(0, 3).Draw(t, "kind")),
					Failing: rapid.Float64Range(-1, 3).Draw(t, "failing"), Slow: rapid.Float64Range(-1, 3).Draw(t, "slow"),
					Epoch: 1, Sequence: sequence, Lifetime: OpinionLifetime,
				})
			},
			"drain": func(t *rapid.T) {
				name := rapid.SampledFrom(live).Draw(t, "backend")
				draining[name] = true
				board.SetDraining(name)
			},
			"list": func(t *rapid.T) {
				live = rapid.SliceOfNDistinct(rapid.SampledFrom(names), 1, len(names), rapid.ID[string]).Draw(t, "live")
				for name := range draining {
					// A backend server that was removed from the list and is listed again counts as a new one.
					if !contains(live, name) {
						delete(draining, name)
					}
				}
				board.SetBackends(vmsOf(live...), 2)
			},
			"floor": func(t *rapid.T) {
				settings.FloorPercent = rapid.IntRange(1, 100).Draw(t, "percent")
				board.SetSettings(settings)
			},
			"wait": func(t *rapid.T) {
				clock.now = clock.now.Add(time.Duration(rapid.IntRange(1, 5000).Draw(t, "ms")) * time.Millisecond)
				board.Tick()
			},
			"trial": func(t *rapid.T) { board.ClaimTrial(rapid.SampledFrom(names).Draw(t, "backend")) },
		}
		t.Repeat(steps)
	})
}

// TestRaisedFloorReturnsLeastSevere checks that the least severe cases return to service when the floor is raised and
// when live VMs are removed.
func TestRaisedFloorReturnsLeastSevere(t *testing.T) {
	c := qt.New(t)
	clock := newClock()
	settings := SettingsFor(quickHealth(50))
	settings.Now = clock.Now
	board := NewBoard(Observer{"entry-0", "perth-a"}, settings, Hooks{})
	names := serverNames(8)
	board.SetBackends(vmsOf(names...), 2)
	for i, name := range names[:4] {
		for _, o := range []Observer{{"entry-1", "perth-a"}, {"entry-2", "perth-b"}} {
			board.ReceiveOpinion(Opinion{
				Backend: name, Observer: o, Kind: KindFailing, Failing: 0.6 + float64(i)/10, Epoch: 1,
				Sequence: uint64(i + 1), Lifetime: OpinionLifetime,
			})
		}
	}
	c.Assert(board.Out(), qt.DeepEquals, names[:4])
	settings.FloorPercent = 75
	board.SetSettings(settings)
	c.Assert(board.Out(), qt.DeepEquals, names[2:4])
	board.SetBackends(vmsOf(append(names[:4:4], "deposits-4")...), 2)
	c.Assert(board.Out(), qt.DeepEquals, names[3:4])
	kept, _ := board.Explain(names[0])
	c.Assert(kept.KeptInByFloor, qt.IsTrue)
}

func contains(list []string, name string) bool {
	for _, other := range list {
		if other == name {
			return true
		}
	}
	return false
}
