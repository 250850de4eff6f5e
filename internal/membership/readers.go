package membership

import (
	"cmp"
	"slices"
	"time"

	"github.com/primroseladder/primroseladder/internal/fleet"
	"github.com/primroseladder/primroseladder/internal/placement"
)

// readersPerZone is how many VMs of an availability zone may read the store: one, and one in reserve, since one may be lost at any
// time and the store may turn single VMs away.
const readersPerZone = 2

// NoReaderRank is the rank of VMs that do not read the store for their zone.
const NoReaderRank = -1

// readerSilentAfter is how long a reader of another zone may be silent: it tells of each answer of the store, which comes
// after a second at most.
const readerSilentAfter = 1300 * time.Millisecond

// startupGrace is how long after its own start a VM takes registered VMs for alive that it has not heard yet. Those that
// lost power with it are up within a few tenths of a second of each other.
const startupGrace = 500 * time.Millisecond

// ReaderRank returns the rank of this VM among those that read the store for the zone, from 0, or NoReader. One zone of a
// region reads for all: the first VM of another zone is in reserve while it hears the reader of a zone before its own.
func (f *Fleet) ReaderRank() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := time.Now()
	rank := f.zoneRank(now)
	if rank == 0 && f.hasReaderInEarlierZone(now) {
		return 1
	}
	return rank
}

// zoneRank is the rank among the VMs of the zone: those that are not cut off from the store go first, the others have a
// rank only where all are. The lock is held.
func (f *Fleet) zoneRank(now time.Time) int {
	var reachable, unreachable []fleet.VM
	for _, h := range f.zoneHeartbeats {
		switch {
		case !f.isAlive(h, now) || h.IsLeaving:
		case h.IsStoreUnreachable:
			unreachable = append(unreachable, fleet.VM{Name: h.Name})
		default:
			reachable = append(reachable, fleet.VM{Name: h.Name})
		}
	}
	reachable = append(reachable, f.startingVMs(now)...)
	if len(reachable) == 0 {
		reachable = unreachable
	}
	ranked := placement.Rank(f.zone, reachable)
	return slices.IndexFunc(ranked[:min(readersPerZone, len(ranked))], func(vm fleet.VM) bool { return vm.Name == f.self })
}

// startingVMs returns the registered VMs of the zone that may still be starting. The lock is held.
func (f *Fleet) startingVMs(now time.Time) []fleet.VM {
	if now.Sub(f.started) > startupGrace {
		return nil
	}
	var out []fleet.VM
	for name, m := range f.registered {
		if _, hasHeartbeat := f.zoneHeartbeats[name]; m.Zone == f.zone && !hasHeartbeat {
			out = append(out, fleet.VM{Name: name})
		}
	}
	return out
}

// hasReaderInEarlierZone reports whether a VM reads the store for the region that stands in a zone before the own one, by
// name. The lock is held.
func (f *Fleet) hasReaderInEarlierZone(now time.Time) bool {
	for _, h := range f.remoteReaders {
		isUsable := h.IsReader && !h.IsStoreUnreachable && !h.IsLeaving && now.Sub(h.receivedAt) <= readerSilentAfter
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
	for _, h := range f.zoneHeartbeats {
		if h.Name != f.self && f.isAlive(h, now) {
			out = append(out, Source{Member: h.Member, Confirmed: h.confirmedAt()})
		}
	}
	for _, h := range f.remoteReaders {
		if now.Sub(h.receivedAt) <= readerSilentAfter {
			out = append(out, Source{Member: h.Member, Confirmed: h.confirmedAt()})
		}
	}
	slices.SortFunc(out, func(a, b Source) int {
		return cmp.Or(cmp.Compare(b.Revision, a.Revision), b.Confirmed.Compare(a.Confirmed))
	})
	return out
}
