package keeper

import (
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/primroseladder/primroseladder/internal/fleet"
	"github.com/primroseladder/primroseladder/internal/placement"
)

const (
	// watchersPerRegion is how many keepers of a region wait at the store for changes.
	watchersPerRegion = 2
	// pullArity is how many keepers on average ask one keeper for the newest revision.
	pullArity = 4
	// pushArity is how many keepers one keeper pushes each change to.
	pushArity = 2
	// fullRateRegionSize is the number of keepers in a region beyond which the interval between comparisons of revisions
	// grows in proportion, up to maxIntervalFactor times the setting.
	fullRateRegionSize = 100
	maxIntervalFactor  = 2
	// unlistedCandidates is the assumed number of substitutes for lost watchers in a region in which this VM is not
	// listed.
	unlistedCandidates = 10
	// watcherLossTimeout is the age of the store's confirmation beyond which a region's watchers count as lost. It is
	// extended for keepers that a confirmation reaches over several hops.
	watcherLossTimeout = 1500 * time.Millisecond
)

// Roles ranks the keepers of each region by rendezvous hashing. The first ones watch the store and compare revisions
// with keepers of other regions. Each other keeper asks one of two keepers of a better rank for the newest revision, and
// changes are pushed down another tree of the ranks. Either way a change reaches a region of n keepers in log(n) hops
// and costs each keeper the same however large n is.
type Roles struct {
	settings *Settings
	state    *State

	mu      sync.Mutex
	view    *fleet.View
	regions map[string][]fleet.VM
	rank    int
}

// NewRoles returns the roles that follow from the VM list in state.
func NewRoles(s *Settings, state *State) *Roles { return &Roles{settings: s, state: state} }

// rankedRegions returns the live entry VMs of each region by rank, and the rank of this VM in its region, or -1 if it
// is not listed.
func (r *Roles) rankedRegions() (map[string][]fleet.VM, int) {
	view := r.state.View()
	r.mu.Lock()
	defer r.mu.Unlock()
	if view == r.view {
		return r.regions, r.rank
	}
	r.view = view
	r.regions = map[string][]fleet.VM{}
	for _, vm := range view.LiveEntries("") {
		r.regions[vm.Region] = append(r.regions[vm.Region], vm)
	}
	for region, vms := range r.regions {
		r.regions[region] = placement.Rank("store-watch", vms)
	}
	r.rank = slices.IndexFunc(r.regions[r.settings.Region], func(vm fleet.VM) bool { return vm.Name == r.settings.VM })
	return r.regions, r.rank
}

// IsWatcher reports whether this keeper waits at the store for its region.
func (r *Roles) IsWatcher() bool {
	_, rank := r.rankedRegions()
	return rank >= 0 && rank < watchersPerRegion
}

// RegionSize returns how many keepers the local region has.
func (r *Roles) RegionSize() int {
	regions, _ := r.rankedRegions()
	return len(regions[r.settings.Region])
}

// ExchangeInterval returns the mean time between two comparisons.
func (r *Roles) ExchangeInterval() time.Duration {
	factor := min(max(1, float64(r.RegionSize())/fullRateRegionSize), maxIntervalFactor)
	return time.Duration(factor * float64(r.settings.ExchangeInterval.Std()))
}

// WatcherLossTimeout returns the age of the store's confirmation at which this keeper considers the watchers of the
// region lost.
func (r *Roles) WatcherLossTimeout() time.Duration {
	_, rank := r.rankedRegions()
	return watcherLossTimeout + time.Duration(hopsFromWatchers(rank))*r.ExchangeInterval()
}

// SubstituteCandidates returns about how many keepers detect lost watchers no later than this one.
func (r *Roles) SubstituteCandidates() int {
	regions, rank := r.rankedRegions()
	if rank < 0 {
		return unlistedCandidates
	}
	last := watchersPerRegion - 1
	for range hopsFromWatchers(rank) {
		// The new value is the last rank whose parents' ranks are at most the old value.
		last = last*pullArity - 1
	}
	return max(1, min(last+1, len(regions[r.settings.Region]))-watchersPerRegion)
}

// hopsFromWatchers returns over how many hops a confirmation reaches the keeper with the given rank.
func hopsFromWatchers(rank int) int {
	hops := 0
	for rank >= watchersPerRegion {
		rank = rank/pullArity + 1
		hops++
	}
	return hops
}

// Parent returns a keeper to ask for the newest revision: one of two of a better rank, or for a watcher the other
// watcher. The keeper that pushes changes to this one may be another: see IsPushedBy.
func (r *Roles) Parent() (fleet.VM, bool) {
	regions, rank := r.rankedRegions()
	keepers := regions[r.settings.Region]
	switch {
	case rank < 0:
		return r.randomOther(keepers)
	case rank < watchersPerRegion:
		return r.randomOther(keepers[:min(len(keepers), watchersPerRegion)])
	}
	return r.randomOther(keepers[rank/pullArity : rank/pullArity+2])
}

// Children returns the keepers to which this one pushes each change.
func (r *Roles) Children() []fleet.VM {
	regions, rank := r.rankedRegions()
	keepers := regions[r.settings.Region]
	first := watchersPerRegion + pushArity*rank
	if rank < 0 || first >= len(keepers) {
		return nil
	}
	return keepers[first:min(first+pushArity, len(keepers))]
}

// IsPushedBy reports whether the named keeper pushes each change to this one.
func (r *Roles) IsPushedBy(name string) bool {
	regions, rank := r.rankedRegions()
	return rank >= watchersPerRegion && regions[r.settings.Region][(rank-watchersPerRegion)/pushArity].Name == name
}

// RegionPeer returns a random other keeper of the local region.
func (r *Roles) RegionPeer() (fleet.VM, bool) {
	regions, _ := r.rankedRegions()
	return r.randomOther(regions[r.settings.Region])
}

// RemoteRegionPeer returns a random keeper of another region: a watcher, or any keeper if all is set.
func (r *Roles) RemoteRegionPeer(all bool) (fleet.VM, bool) {
	regions, _ := r.rankedRegions()
	var candidates []fleet.VM
	for region, vms := range regions {
		if region == r.settings.Region {
			continue
		}
		if !all {
			vms = vms[:min(len(vms), watchersPerRegion)]
		}
		candidates = append(candidates, vms...)
	}
	return r.randomOther(candidates)
}

// randomOther returns a random one of the VMs except this one, and false if there is none.
func (r *Roles) randomOther(vms []fleet.VM) (fleet.VM, bool) {
	others := slices.DeleteFunc(slices.Clone(vms), func(vm fleet.VM) bool { return vm.Name == r.settings.VM })
	if len(others) == 0 {
		return fleet.VM{}, false
	}
	return others[rand.IntN(len(others))], true
}
