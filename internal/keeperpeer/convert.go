// Package keeperpeer is the gRPC client of keepers, with the conversions to and from protobuf. It is used by the entry on
// the same VM and by other keepers.
package keeperpeer

import (
	"time"

	pb "github.com/primroseladder/primroseladder/api/primrosev1"
	"github.com/primroseladder/primroseladder/internal/catalogue"
	"github.com/primroseladder/primroseladder/internal/fleet"
)

var roleToProto = map[fleet.Role]pb.VMRole{
	fleet.RoleEntry:         pb.VMRole_VM_ROLE_ENTRY,
	fleet.RoleBackendServer: pb.VMRole_VM_ROLE_BACKEND_SERVER,
}

var stateToProto = map[fleet.State]pb.VMState{
	fleet.StateLive:    pb.VMState_VM_STATE_LIVE,
	fleet.StateLeaving: pb.VMState_VM_STATE_LEAVING,
}

// VMToProto converts a VM to protobuf.
func VMToProto(vm fleet.VM) *pb.VM {
	return &pb.VM{
		Name: vm.Name, Role: roleToProto[vm.Role], State: stateToProto[vm.State], Region: vm.Region, Zone: vm.Zone,
		Service: vm.Service, Address: vm.Address, CallerAddress: vm.CallerAddress, EntryAddress: vm.EntryAddress,
		KeeperAddress: vm.KeeperAddress, KeeperCallerAddress: vm.KeeperCallerAddress,
		EntryOperatorAddress: vm.EntryOperatorAddress, KeeperOperatorAddress: vm.KeeperOperatorAddress,
	}
}

// VMFromProto converts a VM from protobuf. An unknown state becomes leaving, and an unknown role becomes entry.
func VMFromProto(vm *pb.VM) fleet.VM {
	out := fleet.VM{
		Name: vm.GetName(), Role: fleet.RoleEntry, State: fleet.StateLeaving, Region: vm.GetRegion(), Zone: vm.GetZone(),
		Service: vm.GetService(), Address: vm.GetAddress(), CallerAddress: vm.GetCallerAddress(),
		EntryAddress: vm.GetEntryAddress(), KeeperAddress: vm.GetKeeperAddress(),
		KeeperCallerAddress: vm.GetKeeperCallerAddress(), EntryOperatorAddress: vm.GetEntryOperatorAddress(),
		KeeperOperatorAddress: vm.GetKeeperOperatorAddress(),
	}
	if vm.GetRole() == pb.VMRole_VM_ROLE_BACKEND_SERVER {
		out.Role = fleet.RoleBackendServer
	}
	if vm.GetState() == pb.VMState_VM_STATE_LIVE {
		out.State = fleet.StateLive
	}
	return out
}

// ViewToProto converts a VM list to a complete protobuf list.
func ViewToProto(v *fleet.View) *pb.VMList {
	list := &pb.VMList{Index: v.Index}
	for _, vm := range v.Entries {
		list.Vms = append(list.Vms, VMToProto(vm))
	}
	for _, servers := range v.Backends {
		for _, vm := range servers {
			list.Vms = append(list.Vms, VMToProto(vm))
		}
	}
	return list
}

// ViewFromProto converts a complete VM list from protobuf.
func ViewFromProto(list *pb.VMList) *fleet.View {
	vms := make([]fleet.VM, 0, len(list.GetVms()))
	for _, vm := range list.GetVms() {
		vms = append(vms, VMFromProto(vm))
	}
	return fleet.NewView(list.GetIndex(), vms)
}

// EntriesToProto converts catalogue entries to protobuf.
func EntriesToProto(entries []catalogue.EncodedEntry) []*pb.CatalogueEntry {
	out := make([]*pb.CatalogueEntry, 0, len(entries))
	for _, e := range entries {
		out = append(out, &pb.CatalogueEntry{Service: e.Service, Content: e.Content})
	}
	return out
}

// EntriesFromProto converts catalogue entries from protobuf.
func EntriesFromProto(entries []*pb.CatalogueEntry) []catalogue.EncodedEntry {
	out := make([]catalogue.EncodedEntry, 0, len(entries))
	for _, e := range entries {
		out = append(out, catalogue.EncodedEntry{Service: e.GetService(), Content: e.GetContent()})
	}
	return out
}

// ChangeToProto converts a change to protobuf. The time is truncated to milliseconds.
func ChangeToProto(c *catalogue.Change) *pb.Change {
	return &pb.Change{
		Revision: c.Revision, OperationId: c.OperationID, Author: c.Author, Message: c.Message,
		UnixMs: c.Time.UnixMilli(), Entries: EntriesToProto(c.Entries), Removed: c.Removed,
		PreviousOperationId: c.PreviousOperationID,
	}
}

// ChangeFromProto converts a change from protobuf.
func ChangeFromProto(c *pb.Change) *catalogue.Change {
	return &catalogue.Change{
		Revision: c.GetRevision(), OperationID: c.GetOperationId(), Author: c.GetAuthor(), Message: c.GetMessage(),
		Time: time.UnixMilli(c.GetUnixMs()), Entries: EntriesFromProto(c.GetEntries()), Removed: c.GetRemoved(),
		PreviousOperationID: c.GetPreviousOperationId(),
	}
}
