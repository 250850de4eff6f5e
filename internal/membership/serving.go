package membership

import (
	"cmp"
	"slices"
	"time"

	"github.com/primroseladder/primroseladder/internal/placement"
)

const (
	// unknownDemandShare is the share of an area's capacity that a host is assumed to need while no VM has reported requests
	// to it.
	unknownDemandShare = 0.25
	// demandLifetime is how long after the last report of requests to a host its demand counts as known.
	demandLifetime = 30 * time.Second
)

// Serving returns the VMs that serve a host for callers of an availability zone, best first: see View.Serving.
func (f *Fleet) Serving(host, zone string, now time.Time) []Member {
	return f.View(now).Serving(host, zone)
}

// View is what a VM knows of the fleet at one time. Several groups that are looked up at once share it, since it takes a pass over
// all VMs.
type View struct {
	regions map[string]string
	// alive holds the VMs that callers may be sent to, and byZone the same by their availability zones.
	alive  []Member
	byZone map[string][]Member
	// demand holds the requests per second to the hosts whose demand is known.
	demand map[string]float64
}

// View returns the current view. The demand of a host is what the VMs of the local zone report. Those of other zones report
// nothing here, and their demand is taken to be the same. It is unknown if there has been no report for demandLifetime.
func (f *Fleet) View(now time.Time) *View {
	f.mu.Lock()
	defer f.mu.Unlock()
	v := &View{regions: f.regions, alive: f.servingCandidates(now), byZone: map[string][]Member{}, demand: map[string]float64{}}
	for host, at := range f.demandReported {
		if now.Sub(at) <= demandLifetime {
			v.demand[host] = 0
		}
	}
	for _, m := range v.alive {
		v.byZone[m.Zone] = append(v.byZone[m.Zone], m)
		if m.Zone == f.zone {
			for host, perSecond := range m.Rates {
				v.demand[host] += perSecond
			}
		}
	}
	return v
}

// Serving returns the VMs that serve a host for callers of an availability zone, best first. If the zone has none, VMs
// of its region serve, and if the region has none, VMs of other regions.
func (v *View) Serving(host, zone string) []Member {
	if group := v.choose(host, v.byZone[zone]); len(group) > 0 {
		return group
	}
	var inRegion []Member
	for _, m := range v.alive {
		if m.Region == v.regions[zone] {
			inRegion = append(inRegion, m)
		}
	}
	if group := v.choose(host, inRegion); len(group) > 0 {
		return group
	}
	return v.choose(host, v.alive)
}

// choose returns the VMs of an area that serve a host.
func (v *View) choose(host string, area []Member) []Member {
	candidates := fittest(area)
	demand, isKnown := v.demand[host]
	if !isKnown {
		demand = unknownDemandShare * totalCapacity(candidates)
	}
	return chooseServing(host, candidates, demand)
}

// fittest returns those VMs of an area to which callers are best sent. Overloaded VMs serve only if there are no others, and VMs with
// a stale copy of the store only after them.
func fittest(area []Member) []Member {
	var overloaded, stale []Member
	fit := make([]Member, 0, len(area))
	for _, m := range area {
		switch {
		case m.IsLeaving:
		case m.isStale():
			stale = append(stale, m)
		case m.IsOverloaded:
			overloaded = append(overloaded, m)
		default:
			fit = append(fit, m)
		}
	}
	switch {
	case len(fit) > 0:
		return fit
	case len(overloaded) > 0:
		return overloaded
	}
	return stale
}

// Largest returns the VMs with the highest capacities, n of each region, starting with the given availability zone and its region. All VMs that
// see the same fleet choose the same ones.
func (v *View) Largest(n int, zone string) []Member {
	candidates := slices.DeleteFunc(slices.Clone(v.alive), func(m Member) bool { return m.IsLeaving })
	ranked := make([]Member, 0, len(candidates))
	for _, i := range placement.RankWeighted("", weights(candidates)) {
		ranked = append(ranked, candidates[i])
	}
	slices.SortStableFunc(ranked, func(a, b Member) int { return cmp.Compare(b.Capacity, a.Capacity) })
	chosen := map[string]int{}
	ranked = slices.DeleteFunc(ranked, func(m Member) bool {
		chosen[m.Region]++
		return chosen[m.Region] > n
	})
	distance := func(m Member) int {
		switch {
		case m.Zone == zone:
			return 0
		case m.Region == v.regions[zone]:
			return 1
		}
		return 2
	}
	slices.SortStableFunc(ranked, func(a, b Member) int { return cmp.Compare(distance(a), distance(b)) })
	return ranked
}

func totalCapacity(members []Member) float64 {
	sum := 0.0
	for _, m := range members {
		sum += m.Capacity
	}
	return sum
}

// chooseServing returns the candidates that serve a host: as few as can each handle an equal share of the demand, since
// callers choose among them at random. A VM that receives all requests to a host gains the most evidence from each of them,
// and its loss is detected within silentAfter. If no number of VMs is enough, all serve.
func chooseServing(host string, candidates []Member, demand float64) []Member {
	capacities := make([]float64, 0, len(candidates))
	for _, m := range candidates {
		capacities = append(capacities, m.Capacity)
	}
	slices.SortFunc(capacities, func(a, b float64) int { return cmp.Compare(b, a) })
	size, minCapacity := len(candidates), 0.0
	for i, capacity := range capacities {
		if n := float64(i + 1); n*capacity >= demand {
			// The quotient may be rounded up above the capacity.
			size, minCapacity = i+1, min(demand/n, capacity)
			break
		}
	}
	var out []Member
	for _, i := range placement.RankWeighted(host, weights(candidates)) {
		if len(out) < size && candidates[i].Capacity >= minCapacity {
			out = append(out, candidates[i])
		}
	}
	return out
}

func weights(members []Member) []placement.Weighted {
	out := make([]placement.Weighted, 0, len(members))
	for _, m := range members {
		out = append(out, placement.Weighted{Name: m.Name, Weight: max(m.Capacity, 1)})
	}
	return out
}

// servingCandidates returns the VMs that callers may be sent to. While heartbeats can be relied on, it ignores the
// registrations of the local zone. The caller holds f.mu.
func (f *Fleet) servingCandidates(now time.Time) []Member {
	out := make([]Member, 0, len(f.registered)+len(f.zoneHeartbeats))
	hasPeerHeartbeat := false
	for _, h := range f.zoneHeartbeats {
		if f.isAlive(h, now) {
			out = append(out, h.Member)
			hasPeerHeartbeat = hasPeerHeartbeat || h.Name != f.self
		}
	}
	canRelyOnHeartbeats := hasPeerHeartbeat && now.Sub(f.started) > settleTime
	for _, m := range f.registered {
		h, hasHeartbeat := f.zoneHeartbeats[m.Name]
		if hasHeartbeat && f.isAlive(h, now) {
			continue
		}
		if m.Zone == f.zone && (canRelyOnHeartbeats || m.Name == f.self) {
			continue
		}
		out = append(out, m)
	}
	return out
}
