package once

import (
	"sync"
	"time"

	"github.com/primroseladder/primroseladder/internal/fleet"
	"github.com/primroseladder/primroseladder/internal/placement"
)

// maxListAgeDivisor gives the age at which a VM list is stale, as a part of the window.
const maxListAgeDivisor = 4

// HomeTracker knows for which keys this VM has been the home over the whole window. It looks only at VM lists that this VM
// has seen, and takes into account that every other VM may see an older list until that is stale.
//
// Two VMs never both vouch for a key within one window: each has to have ranked first for the window and the staleness
// bound on top, and neither grants with a stale list.
type HomeTracker struct {
	self       string
	window     time.Duration
	maxListAge time.Duration

	mu          sync.Mutex
	index       uint64
	live        map[string]fleet.VM
	liveSince   time.Time
	confirmedAt time.Time
	removed     map[string]removal
	handOvers   map[string]handOver
}

type removal struct {
	vm fleet.VM
	at time.Time
}

// handOver says that a stopped VM handed over all its grants since a time.
type handOver struct {
	since    time.Time
	received time.Time
	index    uint64
}

// NewHomeTracker returns the tenure of the entry VM self for a memory window.
func NewHomeTracker(self string, window time.Duration) *HomeTracker {
	return &HomeTracker{
		self: self, window: window, maxListAge: window / maxListAgeDivisor,
		live: map[string]fleet.VM{}, removed: map[string]removal{}, handOvers: map[string]handOver{},
	}
}

// settlingTime is how long a change of the VM list matters.
func (t *HomeTracker) settlingTime() time.Duration { return t.window + t.maxListAge }

// ObserveList takes a VM list into account.
func (t *HomeTracker) ObserveList(view *fleet.View) {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := time.Now()
	current := map[string]fleet.VM{}
	for _, vm := range view.Live("") {
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

// prune drops what no longer matters.
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

// ConfirmList says that the observed list was the platform's newest at a time. After a gap longer than the staleness bound
// this VM may have been replaced in the meantime, so that its tenure begins anew.
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

// RecordHandOver says that a stopped VM handed over its memory, which held all its grants of the last reach. The next homes
// were chosen by the VM list of the given index.
func (t *HomeTracker) RecordHandOver(vm string, covered time.Duration, listIndex uint64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := time.Now()
	t.handOvers[vm] = handOver{since: now.Add(-covered), received: now, index: listIndex}
}

// IsHome reports whether this VM ranks first for the key in a VM list that is not stale.
func (t *HomeTracker) IsHome(k Key) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.isListFresh() && t.ranksFirst(k, t.candidates(false))
}

// IsAuthoritative reports whether no other VM can have granted the key during the window without this VM knowing it.
func (t *HomeTracker) IsAuthoritative(k Key) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if !t.isListFresh() || time.Since(t.liveSince) < t.settlingTime() {
		return false
	}
	return t.ranksFirst(k, t.candidates(true))
}

// HasFreshList reports whether the VM list was confirmed a short time ago.
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

// candidates returns the live entry VMs, and on request those that left too short a time ago without handing over.
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

func (t *HomeTracker) hasHandedOver(name string) bool {
	h, found := t.handOvers[name]
	if !found || t.index < h.index || time.Since(h.received) > t.settlingTime() {
		return false
	}
	return time.Since(h.since) >= t.window
}
