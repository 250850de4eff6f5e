package fleet

import (
	"maps"
	"slices"
	"strings"
	"sync"
	"unique"
)

// View is the content of the VM list at one index. It is immutable.
type View struct {
	Index uint64
	// Entries are all entry VMs, sorted by name.
	Entries []VM
	// Backends are the backend servers of each service, sorted by name.
	Backends map[string][]VM

	// live are the live entry VMs of each region. The empty region represents all regions.
	live map[string][]VM
	// memoized holds the results of Memo. Views with the same Entries share it.
	memoized *sync.Map
}

// NewView returns the view of a VM list.
func NewView(index uint64, vms []VM) *View {
	view := &View{Index: index, Backends: map[string][]VM{}}
	counts := map[string]int{}
	for i := range vms {
		counts[vms[i].Service]++
	}
	for i := range vms {
		vm := internStrings(vms[i])
		if vm.Role == RoleEntry {
			view.Entries = append(view.Entries, vm)
			continue
		}
		if view.Backends[vm.Service] == nil {
			view.Backends[vm.Service] = make([]VM, 0, counts[vm.Service])
		}
		view.Backends[vm.Service] = append(view.Backends[vm.Service], vm)
	}
	for _, servers := range view.Backends {
		slices.SortFunc(servers, byName)
	}
	view.Entries = slices.Clip(view.Entries)
	slices.SortFunc(view.Entries, byName)
	view.indexEntries()
	return view
}

func byName(a, b VM) int { return strings.Compare(a.Name, b.Name) }

// internStrings saves memory: VMs with equal role, state, region, zone or service share these strings.
func internStrings(vm VM) VM {
	vm.Role = Role(intern(string(vm.Role)))
	vm.State = State(intern(string(vm.State)))
	vm.Region = intern(vm.Region)
	vm.Zone = intern(vm.Zone)
	vm.Service = intern(vm.Service)
	return vm
}

func intern(s string) string { return unique.Make(s).Value() }

// indexEntries sets the fields that are derived from Entries.
func (v *View) indexEntries() {
	v.memoized = &sync.Map{}
	v.live = map[string][]VM{}
	for _, vm := range v.Entries {
		if vm.IsLive() {
			v.live[vm.Region] = append(v.live[vm.Region], vm)
			v.live[""] = append(v.live[""], vm)
		}
	}
}

// SharedLiveEntries returns the live entry VMs of a region, or of all regions if region is empty. The list is shared
// and must not be modified.
func (v *View) SharedLiveEntries(region string) []VM { return v.live[region] }

// LiveEntries returns a copy of the list that SharedLiveEntries returns.
func (v *View) LiveEntries(region string) []VM { return slices.Clone(v.live[region]) }

// Entry returns the entry VM with the given name.
func (v *View) Entry(name string) (VM, bool) {
	i, found := slices.BinarySearchFunc(v.Entries, name, func(vm VM, name string) int {
		return strings.Compare(vm.Name, name)
	})
	if !found {
		return VM{}, false
	}
	return v.Entries[i], true
}

// Memo returns the result of compute, stored under key by the first call. It is for values that are derived from Entries
// alone, such as groups. Concurrent first calls may each call compute.
func (v *View) Memo(key any, compute func() any) any {
	if v.memoized == nil {
		return compute()
	}
	if known, found := v.memoized.Load(key); found {
		return known
	}
	value, _ := v.memoized.LoadOrStore(key, compute())
	return value
}

// Regions returns the names of the regions that have entry VMs, sorted.
func (v *View) Regions() []string {
	regions := v.Memo(regionsKey{}, func() any { return regionsOf(v.Entries) })
	return slices.Clone(regions.([]string))
}

type regionsKey struct{}

func regionsOf(entries []VM) []string {
	var regions []string
	for _, vm := range entries {
		regions = append(regions, vm.Region)
	}
	slices.Sort(regions)
	return slices.Compact(regions)
}

// VMs returns all VMs of the view, the entry VMs first.
func (v *View) VMs() []VM {
	out := slices.Clone(v.Entries)
	for _, service := range slices.Sorted(maps.Keys(v.Backends)) {
		out = append(out, v.Backends[service]...)
	}
	return out
}

// Find returns the entry VM or backend server with the given name.
func (v *View) Find(name string) (VM, bool) {
	if vm, found := v.Entry(name); found {
		return vm, true
	}
	for _, servers := range v.Backends {
		i, found := slices.BinarySearchFunc(servers, name, func(vm VM, name string) int { return strings.Compare(vm.Name, name) })
		if found {
			return servers[i], true
		}
	}
	return VM{}, false
}
