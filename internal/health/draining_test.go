package health

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/primroseladder/primroseladder/internal/catalogue"
	"github.com/primroseladder/primroseladder/internal/fleet"
)

// TestEndOfDrainingIsNotUndoneByALatePeer checks that a peer's opinion marks a backend server as draining only when the
// peer starts to report the draining. A peer that has not yet seen the end and repeats its report has no effect.
func TestEndOfDrainingIsNotUndoneByALatePeer(t *testing.T) {
	c := qt.New(t)
	b := NewBoard(Observer{VM: "entry-1", Zone: "perth-a"}, SettingsFor(catalogue.Health{FloorPercent: 50}), Hooks{})
	b.SetBackends([]fleet.VM{{Name: "deposits-0"}, {Name: "deposits-1"}}, 1)
	sequence := uint64(0)
	receive := func(draining bool) bool {
		sequence++
		b.ReceiveOpinion(Opinion{
			Backend: "deposits-0", Observer: Observer{VM: "entry-2", Zone: "perth-b"}, Epoch: 1, Sequence: sequence,
			Lifetime: OpinionLifetime, Draining: draining,
		})
		return b.View().IsDraining("deposits-0")
	}
	c.Assert(receive(true), qt.IsTrue)
	b.EndDraining("deposits-0")
	c.Assert(receive(true), qt.IsFalse)
	c.Assert(receive(false), qt.IsFalse)
	c.Assert(receive(true), qt.IsTrue)
}
