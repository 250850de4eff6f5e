package keeper

import (
	pb "github.com/primroseladder/primroseladder/api/primrosev1"
	"github.com/primroseladder/primroseladder/internal/fleet"
	"github.com/primroseladder/primroseladder/internal/keeperpeer"
	"github.com/primroseladder/primroseladder/internal/placement"
)

// maxFullListBackends is up to how many backend servers an entry gets the whole VM list. An entry with the whole list
// can serve a service of which it reaches no member of the group.
const maxFullListBackends = 2000

// listFeed feeds the entry of one VM: a complete list first, then the steps.
type listFeed struct {
	vm   string
	sent *fleet.View
}

// next returns what the entry lacks of the view, or nil where it lacks nothing.
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

// EntryView returns all entry VMs with the backend servers of those services whose group has the VM.
func EntryView(vm string, view *fleet.View) *fleet.View {
	self, found := view.Entry(vm)
	if !found || view.BackendServers() <= maxFullListBackends {
		return view
	}
	return view.Select(func(service string) bool {
		return placement.IsMember(vm, service, self.Region, view, placement.DefaultGroupSize)
	})
}
