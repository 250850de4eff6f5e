package keeper

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/primroseladder/primroseladder/internal/capacity"
	"github.com/primroseladder/primroseladder/internal/fleet"
	"github.com/primroseladder/primroseladder/internal/keeperpeer"
	"github.com/primroseladder/primroseladder/internal/placement"
)

// TestFeedContainsServicesOfTheGroup feeds an entry from a list of 2,500 backend servers and checks that it has the
// servers of exactly the services whose group includes its VM, also after an entry VM was removed and a backend
// server replaced.
func TestFeedContainsServicesOfTheGroup(t *testing.T) {
	c := qt.New(t)
	size := capacity.Target.ScaledDown(48)
	view := fleet.NewView(1, size.VMs())
	self := view.Entries[0]
	feed := listFeed{vm: self.Name}
	got, err := keeperpeer.UpdatedViewFromProto(nil, feed.next(view))
	c.Assert(err, qt.IsNil)
	requireEntryView(c, got, view, self)
	c.Assert(feed.next(view), qt.IsNil)

	fresh := size.BackendServer(7)
	fresh.Name = "backend-replaced"
	step := fleet.Delta{
		Index: 2, Changed: []fleet.VM{fresh},
		Removed: []fleet.Ref{size.BackendServer(7).Ref(), size.EntryVM(size.Regions * size.Zones / 2).Ref()},
	}
	view = view.With(step)
	message := feed.next(view)
	c.Assert(message.GetBaseIndex(), qt.Equals, uint64(1))
	_, err = keeperpeer.UpdatedViewFromProto(nil, message)
	c.Assert(err, qt.ErrorIs, keeperpeer.ErrBaseMismatch)
	got, err = keeperpeer.UpdatedViewFromProto(got, message)
	c.Assert(err, qt.IsNil)
	requireEntryView(c, got, view, self)
}

func requireEntryView(c *qt.C, got, view *fleet.View, self fleet.VM) {
	c.Helper()
	c.Assert(got.Index, qt.Equals, view.Index)
	c.Assert(got.Entries, qt.DeepEquals, view.Entries)
	for service, servers := range view.Backends {
		member := placement.IsMember(self.Name, service, self.Region, view, placement.DefaultGroupSize)
		if !member {
			servers = nil
		}
		c.Assert(got.Backends[service], qt.DeepEquals, servers, qt.Commentf("service %s", service))
	}
	c.Assert(got.BackendServerCount() > 0, qt.IsTrue)
	c.Assert(got.BackendServerCount() < view.BackendServerCount(), qt.IsTrue)
}
