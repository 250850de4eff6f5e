package keeper

import (
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/primroseladder/primroseladder/internal/fleet"
)

// readers returns the running keepers that read the platform's VM list.
func (c *cluster) readers() []*node {
	var out []*node
	for _, n := range c.nodes {
		if n.isUp && n.x.roles.IsListReader() {
			out = append(out, n)
		}
	}
	return out
}

// publishList sets the list on the keepers that read it from the platform.
func (c *cluster) publishList(v *fleet.View) {
	for _, n := range c.readers() {
		n.state.SetList(v)
		n.state.ConfirmList(time.Now())
	}
}

// countLacking returns for how many running keepers a condition is not met.
func (c *cluster) countLacking(isMet func(*State) bool) int {
	missing := 0
	for _, n := range c.nodes {
		if n.isUp && !isMet(n.state) {
			missing++
		}
	}
	return missing
}

// await waits until a condition is met for all running keepers.
func (c *cluster) await(t *testing.T, bound time.Duration, what string, isMet func(*State) bool) {
	t.Helper()
	for begin := time.Now(); c.countLacking(isMet) > 0; time.Sleep(10 * time.Millisecond) {
		if time.Since(begin) > bound {
			t.Fatalf("after %s %d keepers lack %s", bound, c.countLacking(isMet), what)
		}
	}
}

// TestListReachesAllKeepers sets each new VM list on the readers of two large regions and waits until all keepers
// have it: at once by pushes, or by comparisons where the keepers in between are unavailable.
func TestListReachesAllKeepers(t *testing.T) {
	const size, bound = 140, 6 * time.Second
	tests := []struct {
		name   string
		inject func(c *cluster)
		bound  time.Duration
	}{
		{"no fault", func(*cluster) {}, bound},
		{"a tenth of the keepers stopped but listed", func(c *cluster) {
			for i, vm := range c.view.Entries {
				if i%10 == 7 && !c.nodes[vm.Name].x.roles.IsListReader() {
					c.stop(vm.Name)
				}
			}
		}, bound},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := newCluster(size, 1)
				defer c.stopAll()
				_, err := c.write(t.Context(), "ann")
				qt.Assert(t, err, qt.IsNil)
				time.Sleep(5 * time.Second)
				qt.Assert(t, c.readers(), qt.HasLen, 2*listReaders)
				test.inject(c)
				view := c.view
				for i := range 10 {
					vm := view.Entries[3*i]
					vm.State = fleet.StateLeaving
					view = view.With(fleet.Delta{Index: view.Index + 1, Changed: []fleet.VM{vm}})
					c.publishList(view)
					c.await(t, test.bound, "the newest list", func(s *State) bool { return s.List().Index == view.Index })
				}
				confirmed := time.Now()
				c.publishList(view)
				// A relayed confirmation counts from the start of each call, so that it is never too recent.
				c.await(t, 20*time.Second, "the confirmation of the list", func(s *State) bool {
					return s.ListConfirmed().After(confirmed.Add(-100 * time.Millisecond))
				})
			})
		})
	}
}

func TestListDeltasAddUp(t *testing.T) {
	c := qt.New(t)
	state := NewState()
	vm := func(name string, s fleet.State) fleet.VM {
		return fleet.VM{Name: name, Role: fleet.RoleBackendServer, Service: "deposits", State: s}
	}
	lists := [][]fleet.VM{
		{vm("a", fleet.StateLive), vm("b", fleet.StateLive)},
		{vm("a", fleet.StateLeaving), vm("b", fleet.StateLive), vm("c", fleet.StateLive)},
		{vm("b", fleet.StateLive)},
		{vm("a", fleet.StateLive), vm("b", fleet.StateLive)},
	}
	for i, vms := range lists {
		state.SetList(fleet.NewView(uint64(i+1), vms))
	}
	for i, vms := range lists {
		lagging := NewState()
		lagging.SetList(fleet.NewView(uint64(i+1), vms))
		lagging.adoptList(state.listUpdateFrom(uint64(i + 1)))
		c.Check(lagging.List().Index, qt.Equals, uint64(len(lists)))
		c.Check(lagging.List().Backends, qt.DeepEquals, state.List().Backends)
	}
}

// TestListRemovesWhatALaggingKeeperMissed guards against a keeper that keeps a removed backend server since the keeper that it compares
// with was started after the removal, or was away at the time, and never had the list in between.
func TestListRemovesWhatALaggingKeeperMissed(t *testing.T) {
	vm := func(name string) fleet.VM {
		return fleet.VM{Name: name, Role: fleet.RoleBackendServer, Service: "deposits", State: fleet.StateLive}
	}
	after := fleet.NewView(3, []fleet.VM{vm("b")})
	for name, seen := range map[string][]*fleet.View{
		"started after the removal":  {after},
		"was away during the change": {fleet.NewView(1, nil), after},
	} {
		t.Run(name, func(t *testing.T) {
			state := NewState()
			for _, v := range seen {
				state.SetList(v)
			}
			lagging := NewState()
			lagging.SetList(fleet.NewView(2, []fleet.VM{vm("a"), vm("b"), vm("c")}))
			lagging.adoptList(state.listUpdateFrom(lagging.List().Index))
			qt.Check(t, lagging.List().Backends, qt.DeepEquals, after.Backends)
		})
	}
}
