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

// Serving returns the VMs that serve a host for callers of an availability zone, best first. If the zone has none, VMs
// of its region serve, and if the region has none, VMs of other regions.
func (f *Fleet) Serving(host, zone string, now time.Time) []Member {
	f.mu.Lock()
	defer f.mu.Unlock()
	alive := f.servingCandidates(now)
	demand, isKnown := f.demand(host, alive, now)
	inZone := func(m Member) bool { return m.Zone == zone }
	inRegion := func(m Member) bool { return m.Region == f.regions[zone] }
	anywhere := func(Member) bool { return true }
	for _, isInArea := range []func(Member) bool{inZone, inRegion, anywhere} {
		candidates := fittest(alive, isInArea)
		if !isKnown {
			demand = unknownDemandShare * totalCapacity(candidates)
		}
		if group := chooseServing(host, candidates, demand); len(group) > 0 {
			return group
		}
	}
	return nil
}

// demand returns the requests per second to a host that the VMs of the local zone report. Those of other zones report
// nothing here, and their demand is taken to be the same. isKnown is false if there has been no report for demandLifetime.
// The caller holds f.mu.
func (f *Fleet) demand(host string, alive []Member, now time.Time) (perSecond float64, isKnown bool) {
	for _, m := range alive {
		if m.Zone == f.zone {
			perSecond += m.Rates[host]
		}
	}
	reportedAt, wasReported := f.demandReported[host]
	return perSecond, wasReported && now.Sub(reportedAt) <= demandLifetime
}

// fittest returns the VMs of an area that callers may be sent to. Overloaded VMs serve only if there are no others, and VMs with
// a stale copy of the store only after them.
func fittest(alive []Member, isInArea func(Member) bool) []Member {
	var fit, overloaded, stale []Member
	for _, m := range alive {
		switch {
		case !isInArea(m) || m.IsLeaving:
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
	size, share := len(candidates), 0.0
	for i, capacity := range capacities {
		if n := float64(i + 1); n*capacity >= demand {
			size, share = i+1, demand/n
			break
		}
	}
	var out []Member
	for _, i := range placement.RankWeighted(host, weights(candidates)) {
		if len(out) < size && candidates[i].Capacity >= share {
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
	var out []Member
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
