package keeper

import (
	"fmt"
	"testing"

	"google.golang.org/protobuf/proto"

	"github.com/primroseladder/primroseladder/internal/capacity"
	"github.com/primroseladder/primroseladder/internal/fleet"
	"github.com/primroseladder/primroseladder/internal/keeperpeer"
)

// BenchmarkFeed measures what an entry is sent: a complete list, a delta with one backend server, and a delta with
// one entry VM. The benchmark's name gives the number of VMs in the list.
func BenchmarkFeed(b *testing.B) {
	for _, divisor := range []int{8, 2, 1} {
		size := capacity.Target.ScaledDown(divisor)
		n := size.EntryVMs + size.BackendServers
		b.Run(fmt.Sprintf("complete/n=%d", n), func(b *testing.B) { feedComplete(b, size) })
		b.Run(fmt.Sprintf("backend/n=%d", n), func(b *testing.B) {
			feedSteps(b, size, func(i int) fleet.VM { return size.BackendServer(i % size.BackendServers) })
		})
		b.Run(fmt.Sprintf("entry/n=%d", n), func(b *testing.B) {
			feedSteps(b, size, func(i int) fleet.VM { return size.EntryVM(1 + i%(size.EntryVMs-1)) })
		})
	}
}

func feedComplete(b *testing.B, size capacity.Size) {
	view := fleet.NewView(1, size.VMs())
	var bytes int
	for b.Loop() {
		feed := listFeed{vm: view.Entries[0].Name}
		bytes = proto.Size(feed.next(view))
	}
	b.ReportMetric(float64(bytes), "wire-B")
}

// feedSteps marks one VM after the other as leaving and sends each delta.
func feedSteps(b *testing.B, size capacity.Size, vmAt func(i int) fleet.VM) {
	view := fleet.NewView(1, size.VMs())
	feed := listFeed{vm: view.Entries[0].Name}
	list, err := keeperpeer.UpdatedViewFromProto(nil, feed.next(view))
	if err != nil {
		b.Fatal(err)
	}
	bytes, steps := 0, 0
	for b.Loop() {
		steps++
		vm := vmAt(steps)
		vm.State = fleet.StateLeaving
		view = view.With(fleet.Delta{Index: view.Index + 1, Changed: []fleet.VM{vm}})
		message := feed.next(view)
		bytes += proto.Size(message)
		if list, err = keeperpeer.UpdatedViewFromProto(list, message); err != nil {
			b.Fatal(err)
		}
	}
	b.ReportMetric(float64(bytes)/float64(steps), "wire-B")
	b.ReportMetric(float64(list.BackendServerCount()), "backends")
}

// BenchmarkKeeperListStep measures how long a keeper takes to adopt a delta of the VM list that another keeper relays. The
// benchmark's name gives the number of VMs in the list.
func BenchmarkKeeperListStep(b *testing.B) {
	for _, divisor := range []int{8, 2, 1} {
		size := capacity.Target.ScaledDown(divisor)
		b.Run(fmt.Sprintf("n=%d", size.EntryVMs+size.BackendServers), func(b *testing.B) {
			state := NewState()
			state.SetList(fleet.NewView(1, size.VMs()))
			for index := uint64(1); b.Loop(); index++ {
				vm := size.BackendServer(int(index) % size.BackendServers)
				vm.State = fleet.StateLeaving
				state.adoptList(keeperpeer.DeltaToProto(index, fleet.Delta{Index: index + 1, Changed: []fleet.VM{vm}}))
			}
		})
	}
}
