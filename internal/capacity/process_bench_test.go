package capacity_test

import (
	"testing"

	"github.com/primroseladder/primroseladder/internal/capacity"
	"github.com/primroseladder/primroseladder/internal/catalogue"
	"github.com/primroseladder/primroseladder/internal/fleet"
	"github.com/primroseladder/primroseladder/internal/keeper"
	"github.com/primroseladder/primroseladder/internal/keeperpeer"
)

// retainedChanges is the number of past changes that a keeper retains for other keepers.
const retainedChanges = 1024

// keeperState is the complete state of one keeper.
type keeperState struct {
	catalogue *catalogue.State
	view      *fleet.View
	entryView *fleet.View
}

func newKeeperState(s capacity.Size, catalogueWire, listWire []byte) keeperState {
	k := keeperState{catalogue: keeperCatalogue(catalogueWire), view: decodeView(listWire)}
	for i := range retainedChanges {
		content := must(capacity.Encode([]*catalogue.Entry{s.Entry(i % s.Services)}))
		must(k.catalogue.Apply(&catalogue.Change{Revision: uint64(i + 2), Author: "operator", Entries: content}))
	}
	k.entryView = keeper.EntryView(k.view.Entries[0].Name, k.view)
	return k
}

// BenchmarkKeeperState measures the heap of one keeper with the catalogue, its last changes, the VM list and the groups of
// all services.
func BenchmarkKeeperState(b *testing.B) {
	atSizes(b, allVMs, func(b *testing.B, s capacity.Size) {
		catalogueWire, listWire := encodedCatalogue(s), encodedVMList(s)
		reportHeap(b, func() any { return newKeeperState(s, catalogueWire, listWire) })
	})
}

// BenchmarkEntryState measures the heap of one entry with the route table and the VMs that its keeper sends to it.
func BenchmarkEntryState(b *testing.B) {
	atSizes(b, allVMs, func(b *testing.B, s capacity.Size) {
		catalogueWire := encodedCatalogue(s)
		view := fleet.NewView(1, s.VMs())
		list := keeperpeer.ViewToProto(keeper.EntryView(view.Entries[0].Name, view))
		reportHeap(b, func() any {
			holder := entryHolder(catalogueWire)
			holder.ApplyView(must(keeperpeer.UpdatedViewFromProto(nil, list)))
			return holder
		})
		needed := keeperpeer.ViewFromProto(list)
		b.ReportMetric(float64(len(needed.Backends)), "services")
		b.ReportMetric(float64(needed.BackendServerCount()), "backends")
	})
}
