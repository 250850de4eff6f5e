package keeper

import (
	pb "github.com/primroseladder/primroseladder/api/primrosev1"
	"github.com/primroseladder/primroseladder/internal/fleet"
	"github.com/primroseladder/primroseladder/internal/keeperpeer"
	"github.com/primroseladder/primroseladder/internal/placement"
)

// maxFullListBackends is the number of backend servers up to which an entry gets the whole VM list. With the whole
// list, an entry can serve a service even when it reaches no member of the service's group.
const maxFullListBackends = 2000

// listFeed produces the VM list updates for the entry of one VM: a complete list first, then deltas.
type listFeed struct {
	vm   string
	sent *fleet.View
}

// next returns the update from the list that was last sent to the one in view, or nil if view is not newer.
func (f *listFeed) next(view *fleet.View) *pb.VMList {
	if f.sent == nil && view.Index > 0 {
		f.sent = EntryView(f.vm, view)
		return keeperpeer.ViewToProto(f.sent)
	}
	if f.sent == nil || view.Index <= f.sent.Index {
		return nil
	}
	needed := EntryView(f.vm, view)
	base := f.sent.Index
	delta := needed.Diff(f.sent)
	f.sent = needed
	return keeperpeer.DeltaToProto(base, delta)
}

// EntryView returns the part of the list that the entry on vm needs: all entry VMs, and the backend servers of the
// services whose group includes vm. A short list is returned whole.
func EntryView(vm string, view *fleet.View) *fleet.View {
	self, found := view.Entry(vm)
	if !found || view.BackendServerCount() <= maxFullListBackends {
		return view
	}
	return view.SelectServices(func(service string) bool {
		return placement.IsMember(vm, service, self.Region, view, placement.DefaultGroupSize)
	})
}
