package once

import (
	"sync"
	"time"

	"github.com/primroseladder/primroseladder/internal/fleet"
	"github.com/primroseladder/primroseladder/internal/placement"
)

// maxListAgeDivisor divides the retention window into the age from which on a VM list is stale.
const maxListAgeDivisor = 4

// HomeTracker determines of which keys this VM is the home, and for which of them it has been the home long enough to be
// authoritative: no other VM can have granted a send of the key within the retention window. It evaluates only the VM lists
// that this VM has received, and allows for other VMs that still use an older list until it is stale.
//
// Two VMs are never both authoritative for a key within one window: each must have ranked first for the window plus the
// maximum list age, and a VM with a stale list grants nothing.
type HomeTracker struct {
	self       string
	window     time.Duration
	maxListAge time.Duration

	mu sync.Mutex
	// index and live are the index and the live entry VMs of the last observed list.
	index uint64
	live  map[string]fleet.VM
	// liveSince is when the current unbroken series of fresh lists in which this VM is live began.
	liveSince   time.Time
	confirmedAt time.Time
	// removed and handOvers are kept by VM name for the settling time.
	removed   map[string]removal
	handOvers map[string]handOver
}

// removal is a VM that is no longer live in the list, and when this VM observed that.
type removal struct {
	vm fleet.VM
	at time.Time
}

// handOver is the announcement of a stopped VM that it handed over all its grants made after since.
type handOver struct {
	since    time.Time
	received time.Time
	// index is that of the VM list by which the stopped VM chose the next homes.
	index uint64
}

// NewHomeTracker returns the tracker of the entry VM self for records that are kept for window.
func NewHomeTracker(self string, window time.Duration) *HomeTracker {
	return &HomeTracker{
		self: self, window: window, maxListAge: window / maxListAgeDivisor,
		live: map[string]fleet.VM{}, removed: map[string]removal{}, handOvers: map[string]handOver{},
	}
}

// settlingTime is how long a change of the VM list affects which VM is authoritative: another VM may use the older list for
// maxListAge, and the last grant that it makes by that list counts for the window.
func (t *HomeTracker) settlingTime() time.Duration { return t.window + t.maxListAge }

// ObserveList replaces the VM list and records which VMs were removed from it.
func (t *HomeTracker) ObserveList(view *fleet.View) {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := time.Now()
	current := map[string]fleet.VM{}
	for _, vm := range view.SharedLiveEntries("") {
		current[vm.Name] = vm
	}
	for name, vm := range t.live {
		if _, found := current[name]; !found {
			t.removed[name] = removal{vm: vm, at: now}
		}
	}
	_, wasLive := t.live[t.self]
	_, isLive := current[t.self]
	if isLive && !wasLive {
		t.liveSince = now
	}
	t.live = current
	t.index = view.Index
	t.prune()
}

// prune deletes removals and hand-overs that are older than the settling time.
func (t *HomeTracker) prune() {
	for name, r := range t.removed {
		if time.Since(r.at) > t.settlingTime() {
			delete(t.removed, name)
		}
	}
	for name, h := range t.handOvers {
		if time.Since(h.received) > t.settlingTime() {
			delete(t.handOvers, name)
		}
	}
}

// ConfirmList records that the observed list was the platform's newest at the given time. During a gap longer than
// maxListAge between two confirmations another VM may have become home in place of this one, so liveSince is reset.
func (t *HomeTracker) ConfirmList(at time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if !at.After(t.confirmedAt) {
		return
	}
	if at.Sub(t.confirmedAt) > t.maxListAge {
		t.liveSince = time.Now()
	}
	t.confirmedAt = at
}

// RecordHandOver records that a stopped VM handed over its records, which hold all its grants of the last covered period.
// The next homes were chosen by the VM list with index listIndex.
func (t *HomeTracker) RecordHandOver(vm string, covered time.Duration, listIndex uint64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := time.Now()
	t.handOvers[vm] = handOver{since: now.Add(-covered), received: now, index: listIndex}
}

// IsHome reports whether this VM ranks first for the key, by a VM list that is not stale.
func (t *HomeTracker) IsHome(k Key) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.isListFresh() && t.ranksFirst(k, t.candidates(false))
}

// IsAuthoritative reports whether this VM has ranked first for the key for long enough that each grant of the key within the
// window was made by this VM or handed over by a stopped one.
func (t *HomeTracker) IsAuthoritative(k Key) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if !t.isListFresh() || time.Since(t.liveSince) < t.settlingTime() {
		return false
	}
	return t.ranksFirst(k, t.candidates(true))
}

// HasFreshList reports whether the VM list was confirmed within maxListAge.
func (t *HomeTracker) HasFreshList() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.isListFresh()
}

func (t *HomeTracker) isListFresh() bool { return time.Since(t.confirmedAt) <= t.maxListAge }

func (t *HomeTracker) ranksFirst(k Key, vms []fleet.VM) bool {
	top, found := placement.Top(k.rankKey(), vms)
	return found && top.Name == t.self
}

// candidates returns the live entry VMs. With withRemoved it adds the VMs that were removed within the settling time and
// did not hand over, because they may have granted sends of which this VM has no record.
func (t *HomeTracker) candidates(withRemoved bool) []fleet.VM {
	vms := make([]fleet.VM, 0, len(t.live)+len(t.removed))
	for _, vm := range t.live {
		vms = append(vms, vm)
	}
	if !withRemoved {
		return vms
	}
	for name, r := range t.removed {
		if time.Since(r.at) <= t.settlingTime() && !t.hasHandedOver(name) {
			vms = append(vms, r.vm)
		}
	}
	return vms
}

// hasHandedOver reports whether the records that a removed VM handed over, together with the time since then, cover a whole
// window. The hand-over counts only once this VM has the list by which the next homes were chosen, or a newer one.
func (t *HomeTracker) hasHandedOver(name string) bool {
	h, found := t.handOvers[name]
	if !found || t.index < h.index || time.Since(h.received) > t.settlingTime() {
		return false
	}
	return time.Since(h.since) >= t.window
}
