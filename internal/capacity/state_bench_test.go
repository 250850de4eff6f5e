package capacity_test

import (
	"encoding/json"
	"testing"

	"google.golang.org/protobuf/proto"

	pb "github.com/primroseladder/primroseladder/api/primrosev1"
	"github.com/primroseladder/primroseladder/internal/capacity"
	"github.com/primroseladder/primroseladder/internal/catalogue"
	"github.com/primroseladder/primroseladder/internal/fleet"
	"github.com/primroseladder/primroseladder/internal/keeperpeer"
	"github.com/primroseladder/primroseladder/internal/snapshot"
	"github.com/primroseladder/primroseladder/internal/vmlist"
)

func must[T any](value T, err error) T {
	if err != nil {
		panic(err)
	}
	return value
}

// encodedCatalogue returns the protobuf encoding of the whole catalogue.
func encodedCatalogue(s capacity.Size) []byte {
	return must(proto.Marshal(&pb.CatalogueUpdate{
		Revision: 1, Complete: true, Entries: keeperpeer.EntriesToProto(must(capacity.Encode(s.Entries()))),
	}))
}

func decodeCatalogue(wire []byte) *pb.CatalogueUpdate {
	var update pb.CatalogueUpdate
	if err := proto.Unmarshal(wire, &update); err != nil {
		panic(err)
	}
	return &update
}

func keeperCatalogue(wire []byte) *catalogue.State {
	state := catalogue.NewState()
	change := &catalogue.Change{Revision: 1, Entries: keeperpeer.EntriesFromProto(decodeCatalogue(wire).GetEntries())}
	must(state.Apply(change))
	return state
}

func entryHolder(wire []byte) *snapshot.Holder {
	holder := snapshot.NewHolder()
	update := snapshot.CatalogueUpdate{Revision: 1, Complete: true}
	for _, e := range decodeCatalogue(wire).GetEntries() {
		update.Entries = append(update.Entries, must(catalogue.DecodeEntry(e.GetContent())))
	}
	holder.ApplyCatalogue(update)
	return holder
}

func encodedVMList(s capacity.Size) []byte {
	return must(proto.Marshal(keeperpeer.ViewToProto(fleet.NewView(1, s.VMs()))))
}

func decodeView(wire []byte) *fleet.View {
	var list pb.VMList
	if err := proto.Unmarshal(wire, &list); err != nil {
		panic(err)
	}
	return keeperpeer.ViewFromProto(&list)
}

func BenchmarkKeeperCatalogue(b *testing.B) {
	atSizes(b, services, func(b *testing.B, s capacity.Size) {
		wire := encodedCatalogue(s)
		reportHeap(b, func() any { return keeperCatalogue(wire) })
		b.ReportMetric(float64(len(wire)), "wire-B")
	})
}

func BenchmarkKeeperList(b *testing.B) {
	atSizes(b, allVMs, func(b *testing.B, s capacity.Size) {
		wire := encodedVMList(s)
		reportHeap(b, func() any { return decodeView(wire) })
		b.ReportMetric(float64(len(wire)), "wire-B")
	})
}

func BenchmarkEntryCatalogue(b *testing.B) {
	atSizes(b, services, func(b *testing.B, s capacity.Size) {
		wire := encodedCatalogue(s)
		reportHeap(b, func() any { return entryHolder(wire) })
	})
}

func BenchmarkEntryAdoptChange(b *testing.B) {
	atSizes(b, services, func(b *testing.B, s capacity.Size) {
		holder := entryHolder(encodedCatalogue(s))
		contents := must(capacity.Encode(s.Entries()))
		revision := uint64(1)
		for b.Loop() {
			revision++
			e := must(catalogue.DecodeEntry(contents[int(revision)%len(contents)].Content))
			holder.ApplyCatalogue(snapshot.CatalogueUpdate{Revision: revision, Entries: []*catalogue.Entry{e}})
		}
	})
}

func BenchmarkKeeperAdoptChange(b *testing.B) {
	atSizes(b, services, func(b *testing.B, s capacity.Size) {
		state := keeperCatalogue(encodedCatalogue(s))
		contents := must(capacity.Encode(s.Entries()))
		revision := uint64(1)
		for b.Loop() {
			revision++
			change := &catalogue.Change{Revision: revision, Entries: contents[int(revision)%len(contents):][:1]}
			must(state.Apply(change))
		}
	})
}

// BenchmarkWholeListRead decodes a whole VM list and calculates its delta from the previous one.
func BenchmarkWholeListRead(b *testing.B) {
	atSizes(b, allVMs, func(b *testing.B, s capacity.Size) {
		wire := must(json.Marshal(vmlist.List{Index: 2, VMs: s.VMs()}))
		old := fleet.NewView(1, s.VMs())
		b.ResetTimer()
		for b.Loop() {
			var list vmlist.List
			if err := json.Unmarshal(wire, &list); err != nil {
				b.Fatal(err)
			}
			old.With(fleet.NewView(list.Index, list.VMs).Diff(old))
		}
		b.ReportMetric(float64(len(wire)), "wire-B")
	})
}

// BenchmarkListChange applies to a view a delta that replaces one backend server.
func BenchmarkListChange(b *testing.B) {
	atSizes(b, allVMs, func(b *testing.B, s capacity.Size) {
		view := fleet.NewView(1, s.VMs())
		index, n := uint64(1), 0
		for b.Loop() {
			index++
			n++
			old, fresh := s.BackendServer(n%s.BackendServers), s.BackendServer(n%s.BackendServers)
			fresh.Name = fresh.Name + "r"
			view = view.With(fleet.Delta{Index: index, Changed: []fleet.VM{fresh}, Removed: []fleet.Ref{old.Ref()}})
		}
	})
}
