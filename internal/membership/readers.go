package membership

import (
	"cmp"
	"slices"
	"time"

	"github.com/primroseladder/primroseladder/internal/fleet"
	"github.com/primroseladder/primroseladder/internal/placement"
)

// readers is how many VMs of an availability zone may read the store: one, and one in reserve, since one may be lost at any
// time and the store may turn single VMs away.
const readers = 2

// NoReaderRank is the rank of VMs that do not read the store for their zone.
const NoReaderRank = -1

// readerSilentAfter is how long a reader of another zone may be silent: it tells of each answer of the store, which comes
// after a second at most.
const readerSilentAfter = 1300 * time.Millisecond

// unheardGrace is how long after its own start a VM takes registered VMs for alive that it has not heard yet. Those that
// lost power with it are up within a few tenths of a second of each other.
const unheardGrace = 500 * time.Millisecond

// ReaderRank returns the rank of this VM among those that read the store for the zone, from 0, or NoReader. One zone of a
// region reads for all: the first VM of another zone is in reserve while it hears the reader of a zone before its own.
func (f *Fleet) ReaderRank() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := time.Now()
	rank := f.zoneRank(now)
	if rank == 0 && f.hearsEarlierReader(now) {
		return 1
	}
	return rank
}

// zoneRank is the rank among the VMs of the zone: those that are not cut off from the store go first, the others have a
// rank only where all are. The lock is held.
func (f *Fleet) zoneRank(now time.Time) int {
	var reaching, cutOff []fleet.VM
	for _, h := range f.heard {
		switch {
		case !f.isAlive(h, now) || h.IsLeaving:
		case h.IsStoreUnreachable:
			cutOff = append(cutOff, fleet.VM{Name: h.Name})
		default:
			reaching = append(reaching, fleet.VM{Name: h.Name})
		}
	}
	reaching = append(reaching, f.unheard(now)...)
	if len(reaching) == 0 {
		reaching = cutOff
	}
	ranked := placement.Rank(f.zone, reaching)
	return slices.IndexFunc(ranked[:min(readers, len(ranked))], func(vm fleet.VM) bool { return vm.Name == f.self })
}

// unheard returns the registered VMs of the zone that may still be starting. The lock is held.
func (f *Fleet) unheard(now time.Time) []fleet.VM {
	if now.Sub(f.started) > unheardGrace {
		return nil
	}
	var out []fleet.VM
	for name, m := range f.registered {
		if _, isHeard := f.heard[name]; m.Zone == f.zone && !isHeard {
			out = append(out, fleet.VM{Name: name})
		}
	}
	return out
}

// hearsEarlierReader reports whether a VM reads the store for the region that stands in a zone before the own one, by
// name. The lock is held.
func (f *Fleet) hearsEarlierReader(now time.Time) bool {
	for _, h := range f.readers {
		isUsable := h.IsReader && !h.IsStoreUnreachable && !h.IsLeaving && now.Sub(h.at) <= readerSilentAfter
		if isUsable && h.Zone < f.zone && f.regions[h.Zone] == f.regions[f.zone] {
			return true
		}
	}
	return false
}

// ZoneRelays returns for each other zone of the region the VM that reads the store there as far as registrations tell.
func (f *Fleet) ZoneRelays() []Member {
	f.mu.Lock()
	defer f.mu.Unlock()
	zones := map[string][]fleet.VM{}
	for _, m := range f.registered {
		if m.Zone != f.zone && f.regions[m.Zone] == f.regions[f.zone] {
			zones[m.Zone] = append(zones[m.Zone], fleet.VM{Name: m.Name})
		}
	}
	var out []Member
	for zone, vms := range zones {
		out = append(out, f.registered[placement.Rank(zone, vms)[0].Name])
	}
	return out
}

// Source is a VM of the zone with the age of its copy of the store.
type Source struct {
	Member
	// Confirmed is when its copy was last known to be complete.
	Confirmed time.Time
}

// Sources returns the other VMs of the zone that can be heard and the readers of other zones, the highest revision first,
// then the freshest.
func (f *Fleet) Sources() []Source {
	f.mu.Lock()
	defer f.mu.Unlock()
	var out []Source
	now := time.Now()
	for _, h := range f.heard {
		if h.Name != f.self && f.isAlive(h, now) {
			out = append(out, Source{Member: h.Member, Confirmed: h.confirmed()})
		}
	}
	for _, h := range f.readers {
		if now.Sub(h.at) <= readerSilentAfter {
			out = append(out, Source{Member: h.Member, Confirmed: h.confirmed()})
		}
	}
	slices.SortFunc(out, func(a, b Source) int {
		return cmp.Or(cmp.Compare(b.Revision, a.Revision), b.Confirmed.Compare(a.Confirmed))
	})
	return out
}
