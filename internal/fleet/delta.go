package fleet

import (
	"maps"
	"slices"
	"strings"
)

// Ref identifies a VM of a view. Service is empty for entry VMs.
type Ref struct {
	Name    string
	Service string
}

// Ref returns the reference by which a view finds the VM.
func (v VM) Ref() Ref { return Ref{Name: v.Name, Service: v.Service} }

// Delta is the difference from one VM list to another.
type Delta struct {
	// Index is the index of the list that results.
	Index   uint64
	Changed []VM
	Removed []Ref
}

// IsEmpty reports whether no VM differs.
func (d Delta) IsEmpty() bool { return len(d.Changed) == 0 && len(d.Removed) == 0 }

// Diff returns the delta from old to v.
func (v *View) Diff(old *View) Delta {
	d := Delta{Index: v.Index}
	d.compare(old.Entries, v.Entries)
	for service, servers := range v.Backends {
		d.compare(old.Backends[service], servers)
	}
	for service, servers := range old.Backends {
		if v.Backends[service] == nil {
			d.compare(servers, nil)
		}
	}
	return d
}

// compare adds the differences between two lists that are sorted by name. Lists that share their memory are equal.
func (d *Delta) compare(old, current []VM) {
	if len(old) > 0 && len(old) == len(current) && &old[0] == &current[0] {
		return
	}
	for len(old) > 0 || len(current) > 0 {
		switch {
		case len(current) == 0 || (len(old) > 0 && old[0].Name < current[0].Name):
			d.Removed = append(d.Removed, old[0].Ref())
			old = old[1:]
		case len(old) == 0 || current[0].Name < old[0].Name:
			d.Changed = append(d.Changed, current[0])
			current = current[1:]
		default:
			if old[0] != current[0] {
				d.Changed = append(d.Changed, current[0])
			}
			old, current = old[1:], current[1:]
		}
	}
}

// MergeDeltas returns one delta with the effect of several that are applied in order.
func MergeDeltas(deltas []Delta) Delta {
	var merged Delta
	changed := map[Ref]VM{}
	removed := map[Ref]bool{}
	for _, d := range deltas {
		merged.Index = d.Index
		for _, ref := range d.Removed {
			delete(changed, ref)
			removed[ref] = true
		}
		for _, vm := range d.Changed {
			changed[vm.Ref()] = vm
			delete(removed, vm.Ref())
		}
	}
	merged.Changed = slices.Collect(maps.Values(changed))
	merged.Removed = slices.Collect(maps.Keys(removed))
	return merged
}

// With returns the view that results from applying the delta. The unchanged lists are shared with v.
func (v *View) With(d Delta) *View {
	next := &View{Index: d.Index, Entries: v.Entries, Backends: v.Backends, live: v.live, memoized: v.memoized}
	if d.IsEmpty() {
		return next
	}
	edit := viewEdit{view: next, copied: map[string]bool{}}
	for _, ref := range d.Removed {
		edit.remove(ref)
	}
	for _, vm := range d.Changed {
		edit.set(internStrings(vm))
	}
	if edit.copied[""] {
		next.indexEntries()
	}
	return next
}

// viewEdit modifies a view. It copies each list before the first write to it.
type viewEdit struct {
	view *View
	// copied holds the services whose lists were copied. The empty service represents the entry VMs.
	copied         map[string]bool
	backendsCopied bool
}

// list returns the current list of a service, or the entry VMs if service is empty.
func (e *viewEdit) list(service string) []VM {
	if service == "" {
		return e.view.Entries
	}
	return e.view.Backends[service]
}

// replaceList sets the list of a service, which must not be shared with another view. An empty list removes the service.
func (e *viewEdit) replaceList(service string, list []VM) {
	e.copied[service] = true
	if service == "" {
		e.view.Entries = list
		return
	}
	if !e.backendsCopied {
		e.view.Backends = maps.Clone(e.view.Backends)
		e.backendsCopied = true
	}
	if len(list) == 0 {
		delete(e.view.Backends, service)
		return
	}
	e.view.Backends[service] = list
}

// copyForWrite returns the list of a service, copied before its first write.
func (e *viewEdit) copyForWrite(service string) []VM {
	if e.copied[service] {
		return e.list(service)
	}
	return slices.Clone(e.list(service))
}

func find(list []VM, name string) (int, bool) {
	return slices.BinarySearchFunc(list, name, func(vm VM, name string) int { return strings.Compare(vm.Name, name) })
}

func (e *viewEdit) remove(ref Ref) {
	list := e.list(ref.Service)
	if i, found := find(list, ref.Name); found {
		list = e.copyForWrite(ref.Service)
		e.replaceList(ref.Service, slices.Delete(list, i, i+1))
	}
}

func (e *viewEdit) set(vm VM) {
	list := e.copyForWrite(vm.Service)
	i, found := find(list, vm.Name)
	if found {
		list[i] = vm
	} else {
		list = slices.Insert(list, i, vm)
	}
	e.replaceList(vm.Service, list)
}

// SelectServices returns the view with only the backend servers of the services for which need returns true.
func (v *View) SelectServices(need func(service string) bool) *View {
	selected := &View{Index: v.Index, Entries: v.Entries, Backends: map[string][]VM{}, live: v.live, memoized: v.memoized}
	for service, servers := range v.Backends {
		if need(service) {
			selected.Backends[service] = servers
		}
	}
	return selected
}

// BackendServerCount returns the number of backend servers.
func (v *View) BackendServerCount() int {
	total := 0
	for _, servers := range v.Backends {
		total += len(servers)
	}
	return total
}

// WithLeaving returns the view with the named VMs marked as leaving.
func (v *View) WithLeaving(names []string) *View {
	d := Delta{Index: v.Index}
	var others []string
	for _, name := range names {
		vm, isEntry := v.Entry(name)
		if !isEntry {
			others = append(others, name)
			continue
		}
		d.markLeaving(vm)
	}
	if len(others) > 0 {
		d.markBackendsLeaving(v, others)
	}
	if d.IsEmpty() {
		return v
	}
	return v.With(d)
}

// markLeaving adds the VM to the delta, marked as leaving, if the VM is live.
func (d *Delta) markLeaving(vm VM) {
	if vm.IsLive() {
		vm.State = StateLeaving
		d.Changed = append(d.Changed, vm)
	}
}

// markBackendsLeaving calls markLeaving for the named backend servers. It searches the backend servers of all services.
func (d *Delta) markBackendsLeaving(v *View, names []string) {
	for _, servers := range v.Backends {
		for i := range servers {
			if slices.Contains(names, servers[i].Name) {
				d.markLeaving(servers[i])
			}
		}
	}
}
