package placement

import (
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/primroseladder/primroseladder/internal/fleet"
)

// groupKey names one group of a view.
type groupKey struct {
	service string
	region  string
	size    int
}

// Group returns the entry VMs of one region that serve a service: the first of each availability zone in turn. The
// view remembers its groups. The caller may change the returned list.
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

func members(key groupKey, view *fleet.View) []*fleet.VM {
	known := view.Memo(key, func() any { return choose(key, view.SharedLiveEntries(key.region)) })
	return known.([]*fleet.VM)
}

// choose takes the best VM of each zone in turn, the zones in the order of their best VMs.
func choose(key groupKey, vms []fleet.VM) []*fleet.VM {
	zones := bestOfZones(key, vms)
	size := min(key.size, len(vms))
	group := make([]*fleet.VM, 0, size)
	for turn := 0; len(group) < size; turn++ {
		for _, zone := range zones {
			if turn < len(zone.best) && len(group) < size {
				group = append(group, zone.best[turn].vm)
			}
		}
	}
	return group
}

// zoneRank is the best VMs of one zone in order.
type zoneRank struct {
	name string
	best []ranked
}

func bestOfZones(key groupKey, vms []fleet.VM) []*zoneRank {
	var zones []*zoneRank
	digest := xxhash.Sum64String(key.service)
	for i := range vms {
		vm := &vms[i]
		at := slices.IndexFunc(zones, func(z *zoneRank) bool { return z.name == vm.Zone })
		if at < 0 {
			at = len(zones)
			zones = append(zones, &zoneRank{name: vm.Zone})
		}
		zones[at].offer(ranked{vm, weight(digest, vm.Name)}, key.size)
	}
	slices.SortFunc(zones, func(a, b *zoneRank) int { return a.best[0].compare(b.best[0]) })
	return zones
}

// offer keeps the VM if it is among the best size ones.
func (z *zoneRank) offer(r ranked, size int) {
	if len(z.best) == max(1, size) && r.compare(z.best[len(z.best)-1]) >= 0 {
		return
	}
	at, _ := slices.BinarySearchFunc(z.best, r, ranked.compare)
	z.best = slices.Insert(z.best, at, r)
	if len(z.best) > max(1, size) {
		z.best = z.best[:len(z.best)-1]
	}
}
