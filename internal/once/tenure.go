package once

import (
	"sync"
	"time"

	"github.com/primroseladder/primroseladder/internal/fleet"
	"github.com/primroseladder/primroseladder/internal/placement"
)

// freshnessDivisor gives the age at which a VM list is stale, as a part of the window.
const freshnessDivisor = 4

// Tenure knows for which keys this VM has been the home over the whole window. It looks only at VM lists that this VM
// has seen, and takes into account that every other VM may see an older list until that is stale.
//
// Two VMs never both vouch for a key within one window: each has to have ranked first for the window and the staleness
// bound on top, and neither grants with a stale list.
type Tenure struct {
	self      string
	window    time.Duration
	freshness time.Duration

	mu        sync.Mutex
	index     uint64
	live      map[string]fleet.VM
	liveSince time.Time
	confirmed time.Time
	departed  map[string]departure
	covered   map[string]coverage
}

type departure struct {
	vm fleet.VM
	at time.Time
}

// coverage says that a stopped VM handed over all its grants since a time.
type coverage struct {
	since    time.Time
	received time.Time
	index    uint64
}

// NewTenure returns the tenure of the entry VM self for a memory window.
func NewTenure(self string, window time.Duration) *Tenure {
	return &Tenure{
		self: self, window: window, freshness: window / freshnessDivisor,
		live: map[string]fleet.VM{}, departed: map[string]departure{}, covered: map[string]coverage{},
	}
}

// settled is how long a change of the VM list matters.
func (t *Tenure) settled() time.Duration { return t.window + t.freshness }

// Observe takes a VM list into account.
func (t *Tenure) Observe(view *fleet.View) {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := time.Now()
	current := map[string]fleet.VM{}
	for _, vm := range view.SharedLiveEntries("") {
		current[vm.Name] = vm
	}
	for name, vm := range t.live {
		if _, found := current[name]; !found {
			t.departed[name] = departure{vm: vm, at: now}
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
func (t *Tenure) prune() {
	for name, d := range t.departed {
		if time.Since(d.at) > t.settled() {
			delete(t.departed, name)
		}
	}
	for name, c := range t.covered {
		if time.Since(c.received) > t.settled() {
			delete(t.covered, name)
		}
	}
}

// Confirm says that the observed list was the platform's newest at a time. After a gap longer than the staleness bound
// this VM may have been replaced in the meantime, so that its tenure begins anew.
func (t *Tenure) Confirm(at time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if !at.After(t.confirmed) {
		return
	}
	if at.Sub(t.confirmed) > t.freshness {
		t.liveSince = time.Now()
	}
	t.confirmed = at
}

// Cover says that a stopped VM handed over its memory, which held all its grants of the last reach. The next homes
// were chosen by the VM list of the given index.
func (t *Tenure) Cover(vm string, reach time.Duration, index uint64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := time.Now()
	t.covered[vm] = coverage{since: now.Add(-reach), received: now, index: index}
}

// IsHome reports whether this VM ranks first for the key in a VM list that is not stale.
func (t *Tenure) IsHome(k Key) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.isFresh() && t.isFirst(k, t.candidates(false))
}

// MayVouch reports whether no other VM can have granted the key during the window without this VM knowing it.
func (t *Tenure) MayVouch(k Key) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if !t.isFresh() || time.Since(t.liveSince) < t.settled() {
		return false
	}
	return t.isFirst(k, t.candidates(true))
}

// IsFresh reports whether the VM list was confirmed a short time ago.
func (t *Tenure) IsFresh() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.isFresh()
}

func (t *Tenure) isFresh() bool { return time.Since(t.confirmed) <= t.freshness }

func (t *Tenure) isFirst(k Key, vms []fleet.VM) bool {
	top, found := placement.Top(k.rankKey(), vms)
	return found && top.Name == t.self
}

// candidates returns the live entry VMs, and on request those that left too short a time ago without handing over.
func (t *Tenure) candidates(withDeparted bool) []fleet.VM {
	vms := make([]fleet.VM, 0, len(t.live)+len(t.departed))
	for _, vm := range t.live {
		vms = append(vms, vm)
	}
	if !withDeparted {
		return vms
	}
	for name, d := range t.departed {
		if time.Since(d.at) <= t.settled() && !t.isCovered(name) {
			vms = append(vms, d.vm)
		}
	}
	return vms
}

func (t *Tenure) isCovered(name string) bool {
	c, found := t.covered[name]
	if !found || t.index < c.index || time.Since(c.received) > t.settled() {
		return false
	}
	return time.Since(c.since) >= t.window
}
