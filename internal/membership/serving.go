package membership

import (
	"time"

	"github.com/primroseladder/primroseladder/internal/placement"
)

// Serving returns the VMs that serve a host for callers of an availability zone, best first. If the zone has none, VMs
// of its region serve, and if the region has none, VMs of other regions.
func (f *Fleet) Serving(host, zone string, now time.Time) []Member {
	f.mu.Lock()
	defer f.mu.Unlock()
	alive := f.servingCandidates(now)
	inZone := func(m Member) bool { return m.Zone == zone }
	inRegion := func(m Member) bool { return m.Region == f.regions[zone] }
	anywhere := func(Member) bool { return true }
	for _, isInArea := range []func(Member) bool{inZone, inRegion, anywhere} {
		if group := chooseServing(host, alive, isInArea); len(group) > 0 {
			return group
		}
	}
	return nil
}

// chooseServing returns the VMs of an area that serve a host: as few as can handle its requests. A VM that receives all
// requests to a host gains the most evidence from each of them, and its loss is detected within silentAfter. VMs with a stale
// copy of the store serve only if there are no others.
func chooseServing(host string, alive []Member, isInArea func(Member) bool) []Member {
	var fresh, stale []Member
	rate := 0.0
	for _, m := range alive {
		if !isInArea(m) {
			continue
		}
		rate += m.Rates[host]
		switch {
		case m.IsLeaving:
		case m.isStale():
			stale = append(stale, m)
		default:
			fresh = append(fresh, m)
		}
	}
	if len(fresh) == 0 {
		fresh = stale
	}
	var out []Member
	capacity := 0.0
	for _, i := range placement.RankWeighted(host, weights(fresh)) {
		out = append(out, fresh[i])
		if capacity += fresh[i].Capacity; capacity >= rate {
			break
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
