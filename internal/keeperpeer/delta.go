package keeperpeer

import (
	"errors"

	pb "github.com/primroseladder/primroseladder/api/primrosev1"
	"github.com/primroseladder/primroseladder/internal/fleet"
)

// DeltaToProto converts a delta to protobuf. base is the index of the VM list that the delta applies to.
func DeltaToProto(base uint64, d fleet.Delta) *pb.VMList {
	list := &pb.VMList{Index: d.Index, BaseIndex: base}
	for _, vm := range d.Changed {
		list.Vms = append(list.Vms, VMToProto(vm))
	}
	for _, ref := range d.Removed {
		list.Removed = append(list.Removed, &pb.VMRef{Name: ref.Name, Service: ref.Service})
	}
	return list
}

// ErrBaseMismatch means that a delta does not apply to the receiver's VM list: its base index differs.
var ErrBaseMismatch = errors.New("the delta applies to another VM list")

// UpdatedViewFromProto returns the view of a complete list, or the result of applying a delta to old. It returns
// ErrBaseMismatch if the delta applies to another list than old.
func UpdatedViewFromProto(old *fleet.View, list *pb.VMList) (*fleet.View, error) {
	if list.GetBaseIndex() == 0 {
		return ViewFromProto(list), nil
	}
	if old == nil || old.Index != list.GetBaseIndex() {
		return nil, ErrBaseMismatch
	}
	d := fleet.Delta{Index: list.GetIndex()}
	for _, vm := range list.GetVms() {
		d.Changed = append(d.Changed, VMFromProto(vm))
	}
	for _, ref := range list.GetRemoved() {
		d.Removed = append(d.Removed, fleet.Ref{Name: ref.GetName(), Service: ref.GetService()})
	}
	return old.With(d), nil
}
