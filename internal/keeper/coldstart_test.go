package keeper

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/primroseladder/primroseladder/internal/catalogue"
	"github.com/primroseladder/primroseladder/internal/fleet"
	"github.com/primroseladder/primroseladder/internal/standin/memstore"
	"github.com/primroseladder/primroseladder/internal/store"
)

// TestWholeFleetRestart checks that a fleet whose keepers all restart without state recovers from a snapshot and the
// changes after it, with few calls to the store.
func TestWholeFleetRestart(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(12, 1)
		defer c.stopAll()
		const changes = 3*minSnapshotChanges + 50
		state := catalogue.NewState()
		for range changes {
			revision, operation := state.Position()
			change := testChange(revision + 1)
			change.PreviousOperationID = operation
			qt.Assert(t, store.NewChangeLog(c.kv).Append(context.Background(), change), qt.IsNil)
			_, err := state.Apply(change)
			qt.Assert(t, err, qt.IsNil)
			time.Sleep(100 * time.Millisecond)
		}
		time.Sleep(healLimit)
		covered, err := store.NewSnapshotStore(c.kv).Revision(context.Background())
		qt.Assert(t, err, qt.IsNil)
		qt.Check(t, covered >= 2*minSnapshotChanges, qt.IsTrue, qt.Commentf("snapshot at %d of %d", covered, changes))
		for _, vm := range c.view.Entries {
			c.stop(vm.Name)
		}
		calls := c.kv.Calls()
		for _, vm := range c.view.Entries {
			c.start(vm)
		}
		time.Sleep(inForceLimit)
		qt.Check(t, c.areAllAt(changes), qt.IsTrue, qt.Commentf("%s", c.describe()))
		storeCalls := c.kv.Calls() - calls
		t.Logf("snapshot at %d of %d changes, %d store calls in the first %v", covered, changes, storeCalls, inForceLimit)
		qt.Check(t, storeCalls < 250, qt.IsTrue, qt.Commentf("%d calls", storeCalls))
	})
}

// TestSeedsFindTheFleet checks that a keeper which can read neither the VM list nor the store starts by means of its
// seeds.
func TestSeedsFindTheFleet(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(8, 1)
		defer c.stopAll()
		_, err := c.write(context.Background(), "ann")
		qt.Assert(t, err, qt.IsNil)
		time.Sleep(healLimit)
		c.kv.SetFault(memstore.Fault{Down: true})
		vm := c.view.Entries[3]
		c.stop(vm.Name)
		view := c.view
		c.view = fleet.NewView(0, nil)
		c.seeds = []string{"entry-00", "entry-01"}
		c.start(vm)
		c.view = view
		time.Sleep(inForceLimit)
		qt.Check(t, c.areAllAt(1), qt.IsTrue, qt.Commentf("%s", c.describe()))
	})
}
