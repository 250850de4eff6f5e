package membership

import (
	"math/rand/v2"
	"slices"
	"time"

	"github.com/primroseladder/primroseladder/internal/placement"
)

// ProofSource returns the VM to ask for a proof that the configuration is the newest one, after the given number of questions in
// vain, from 0. The first ones are those that have the youngest proofs: the first two VMs of the zone, which read the store or ask
// a VM that does, and the store readers of other zones. The first VM of a zone asks these readers first. Then any VM of
// the zone, of the region and of other regions is asked, and so on in turn: a VM whose path to the store and to its readers is cut
// may have one to any other VM.
func (f *Fleet) ProofSource(attempt int, now time.Time) (Member, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	near := f.provenPeers(now)
	isFirst := len(near) == 0 || placement.Precedes(f.zone, f.self, near[0].Name)
	near = near[:min(len(near), readersPerZone)]
	first := near
	var readers []Member
	for _, h := range f.remoteReaders {
		if h.IsReader && !h.IsUnproven && now.Sub(h.receivedAt) <= readerSilentAfter {
			readers = append(readers, h.Member)
		}
	}
	if isFirst {
		first = append(readers, near...)
	} else {
		first = append(first, readers...)
	}
	if turn := attempt % (len(first) + areas); turn < len(first) {
		return first[turn], true
	}
	return f.anyPeer(attempt)
}

// provenPeers returns the other live VMs of the zone that have not lost their proof, in the order in which they read the store for
// the zone. The caller holds f.mu.
func (f *Fleet) provenPeers(now time.Time) []Member {
	var out []Member
	for _, h := range f.zoneHeartbeats {
		if h.Name != f.self && f.isAlive(h, now) && !h.IsLeaving && !h.IsStoreUnreachable && !h.IsUnproven {
			out = append(out, h.Member)
		}
	}
	slices.SortFunc(out, func(a, b Member) int {
		if placement.Precedes(f.zone, a.Name, b.Name) {
			return -1
		}
		return 1
	})
	return out
}

// areas are those among whose VMs anyPeer chooses by turns: the zone, the region and all regions.
const areas = 3

// anyPeer returns a random VM of an area, or of the next one that has any. The caller holds f.mu.
func (f *Fleet) anyPeer(turn int) (Member, bool) {
	var area [areas][]Member
	for name, m := range f.registered {
		if name == f.self {
			continue
		}
		area[2] = append(area[2], m)
		if f.regions[m.Zone] == f.regions[f.zone] {
			area[1] = append(area[1], m)
		}
		if m.Zone == f.zone {
			area[0] = append(area[0], m)
		}
	}
	for i := range areas {
		if members := area[(turn+i)%areas]; len(members) > 0 {
			return members[rand.IntN(len(members))], true
		}
	}
	return Member{}, false
}
