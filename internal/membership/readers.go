package membership

import (
	"cmp"
	"slices"
	"time"

	"github.com/primroseladder/primroseladder/internal/fleet"
	"github.com/primroseladder/primroseladder/internal/placement"
)

// readersPerZone is the number of VMs of an availability zone that may read the store: one, and one in reserve, since a
// VM may be lost at any time and the store may refuse individual VMs.
const readersPerZone = 2

// NoReaderRank is the rank of VMs that do not read the store for their zone.
const NoReaderRank = -1

// readerSilentAfter is how long a store reader of another zone may send nothing. It announces each response of the
// store, which takes one second at most.
const readerSilentAfter = 1300 * time.Millisecond

// startupGrace is how long after its start a VM considers registered VMs alive from which it has received no heartbeat.
// VMs that lost power together start within a few tenths of a second of each other.
const startupGrace = 500 * time.Millisecond

// ReaderRank returns the rank of this VM, from 0, among the VMs that read the store for the zone, or NoReaderRank. One
// zone of a region reads for all: the first-ranked VM of another zone gets the reserve rank 1 while it receives
// heartbeats from a reader in a zone that precedes the local one by name.
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

// zoneRank returns the rank of this VM among the first readersPerZone VMs of its zone, or NoReaderRank. Only VMs that can
// reach the store are ranked, unless none can. The caller holds f.mu.
func (f *Fleet) zoneRank(now time.Time) int {
	reachable, unreachable := rankCounter{self: f.self, zone: f.zone}, rankCounter{self: f.self, zone: f.zone}
	for name, h := range f.zoneHeartbeats {
		switch {
		case !f.isAlive(h, now) || h.IsLeaving:
		case h.IsStoreUnreachable:
			unreachable.add(name)
		default:
			reachable.add(name)
		}
	}
	if now.Sub(f.started) <= startupGrace {
		// The other registered VMs of the zone may still be starting.
		for name, m := range f.registered {
			if _, hasHeartbeat := f.zoneHeartbeats[name]; m.Zone == f.zone && !hasHeartbeat {
				reachable.add(name)
			}
		}
	}
	if reachable.size == 0 {
		return unreachable.rank()
	}
	return reachable.rank()
}

// rankCounter determines the rank of this VM in the rendezvous order of its zone among the VMs that are added.
type rankCounter struct {
	self, zone string
	size       int
	// before is the number of VMs that precede this one.
	before       int
	includesSelf bool
}

func (c *rankCounter) add(name string) {
	c.size++
	switch {
	case name == c.self:
		c.includesSelf = true
	case placement.Precedes(c.zone, name, c.self):
		c.before++
	}
}

func (c *rankCounter) rank() int {
	if !c.includesSelf || c.before >= readersPerZone {
		return NoReaderRank
	}
	return c.before
}

// hasReaderInEarlierZone reports whether a VM in a zone that precedes the local one by name reads the store for the
// region. The caller holds f.mu.
func (f *Fleet) hasReaderInEarlierZone(now time.Time) bool {
	for _, h := range f.remoteReaders {
		isUsable := h.IsReader && !h.IsStoreUnreachable && !h.IsLeaving && now.Sub(h.receivedAt) <= readerSilentAfter
		if isUsable && h.Zone < f.zone && f.regions[h.Zone] == f.regions[f.zone] {
			return true
		}
	}
	return false
}

// ZoneRelays returns, for each other zone of the region, the VM that reads the store there or relays its changes into
// the zone, as far as the registrations show.
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

// Source is another VM whose copy of the store can be fetched.
type Source struct {
	Member
	// Confirmed is the time at which the VM's copy was last known to be complete.
	Confirmed time.Time
}

// Sources returns the other live VMs of the zone and the store readers of other zones, sorted by descending position
// and then by descending time of confirmation.
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
		return cmp.Or(b.Position().Compare(a.Position()), b.Confirmed.Compare(a.Confirmed))
	})
	return out
}
