package placement

import (
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/primroseladder/primroseladder/internal/fleet"
)

// groupKey identifies one group within a view.
type groupKey struct {
	service string
	region  string
	size    int
}

// Group returns the entry VMs of a region that serve a service, spread over the availability zones: the first VM of each
// zone in the service's rendezvous order, then the second of each zone, and so on, up to size VMs. Groups are cached in the
// view. The returned slice is a copy that can be modified.
func Group(service, region string, view *fleet.View, size int) []fleet.VM {
	members := members(groupKey{service, region, size}, view)
	group := make([]fleet.VM, 0, len(members))
	for _, vm := range members {
		group = append(group, *vm)
	}
	return group
}

// IsMember reports whether the entry VM of the given name is in the group of a service.
func IsMember(name, service, region string, view *fleet.View, size int) bool {
	return slices.ContainsFunc(members(groupKey{service, region, size}, view), func(vm *fleet.VM) bool {
		return vm.Name == name
	})
}

// members returns the group from the view's cache, and computes it on first use.
func members(key groupKey, view *fleet.View) []*fleet.VM {
	known := view.Memo(key, func() any { return selectMembers(key, view.SharedLiveEntries(key.region)) })
	return known.([]*fleet.VM)
}

// selectMembers takes the highest-ranked remaining VM of each zone in turn. The zones are in the order of their first VMs.
func selectMembers(key groupKey, vms []fleet.VM) []*fleet.VM {
	zones := rankZones(key, vms)
	size := min(key.size, len(vms))
	group := make([]*fleet.VM, 0, size)
	for round := 0; len(group) < size; round++ {
		for _, zone := range zones {
			if round < len(zone.best) && len(group) < size {
				group = append(group, zone.best[round].vm)
			}
		}
	}
	return group
}

// zoneRank holds the highest-ranked VMs of one zone in rendezvous order.
type zoneRank struct {
	name string
	best []ranked
}

// rankZones returns the zones of the VMs in the order of their highest-ranked VMs.
func rankZones(key groupKey, vms []fleet.VM) []*zoneRank {
	var zones []*zoneRank
	digest := xxhash.Sum64String(key.service)
	for i := range vms {
		vm := &vms[i]
		at := slices.IndexFunc(zones, func(z *zoneRank) bool { return z.name == vm.Zone })
		if at < 0 {
			at = len(zones)
			zones = append(zones, &zoneRank{name: vm.Zone})
		}
		zones[at].insert(ranked{vm, hashScore(digest, vm.Name)}, key.size)
	}
	slices.SortFunc(zones, func(a, b *zoneRank) int { return a.best[0].compare(b.best[0]) })
	return zones
}

// insert adds the VM if it is among the size highest-ranked VMs of the zone so far. At least one VM is kept.
func (z *zoneRank) insert(r ranked, size int) {
	if len(z.best) == max(1, size) && r.compare(z.best[len(z.best)-1]) >= 0 {
		return
	}
	at, _ := slices.BinarySearchFunc(z.best, r, ranked.compare)
	z.best = slices.Insert(z.best, at, r)
	if len(z.best) > max(1, size) {
		z.best = z.best[:len(z.best)-1]
	}
}
