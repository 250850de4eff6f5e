// Package membership knows the VMs of the fleet and which of them serve a host in an availability zone.
//
// VMs register themselves in the store under a lease. Inside an availability zone they also hear each other's
// heartbeats, which show a loss in under a second and go on while the store is down. A VM without news of its own zone
// falls back on the registrations. Two VMs may disagree on a group for a while; that costs accuracy and breaks nothing.
package membership

import (
	"maps"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"github.com/primroseladder/primroseladder/internal/logevent"
)

const (
	// HeartbeatInterval is the time between two heartbeats to each VM of the availability zone.
	HeartbeatInterval = 250 * time.Millisecond
	// silentAfter is how long a VM may be silent: three heartbeats, one of which may be lost.
	silentAfter = 800 * time.Millisecond
	// forgetAfter is how long a silent VM is remembered that is not registered. Leases end well before.
	forgetAfter = 30 * time.Second
	// settleTime is how long after its own start a VM trusts registrations instead of heartbeats.
	settleTime = time.Second
)

// Member is what a VM tells of itself.
type Member struct {
	Name   string
	Zone   string
	Region string
	// CallerAddress is where callers connect.
	CallerAddress string
	// PeerAddress is where other VMs send datagrams.
	PeerAddress string
	// IsLeaving tells that the VM takes no new callers.
	IsLeaving bool
	// IsCutOff tells that the VM's last call to the store failed.
	IsCutOff bool
	// IsReader tells that the VM reads the store for its region.
	IsReader bool `json:",omitempty"`
	// IsWithoutConfig tells that the VM has no configuration yet.
	IsWithoutConfig bool
	// AgeMS is how many milliseconds ago the VM's copy of the store was last known to be complete.
	AgeMS int64
	// Revision is the store's revision up to which the VM's copy is complete.
	Revision uint64
	// Capacity is how many requests a second the VM can take.
	Capacity float64
	// Rates are how many requests a second the VM takes, by host.
	Rates map[string]float64 `json:",omitempty"`
}

// behindAfter is the age of a copy of the store from which on callers are sent to other VMs where there are any.
const behindAfter = 3 * time.Second

func (m *Member) isBehind() bool {
	return m.IsWithoutConfig || time.Duration(m.AgeMS)*time.Millisecond > behindAfter
}

// Fleet holds the known VMs. It may be used by several goroutines.
type Fleet struct {
	self    string
	zone    string
	regions map[string]string
	started time.Time
	log     zerolog.Logger
	news    chan struct{}

	mu         sync.Mutex
	registered map[string]Member
	// heard are the VMs of the own availability zone.
	heard map[string]heartbeat
	// readers are the VMs of other zones of the region that have told that they read the store.
	readers map[string]heartbeat
}

type heartbeat struct {
	Member
	at       time.Time
	isSilent bool
}

// confirmed is when the VM's copy of the store was last known to be complete.
func (h heartbeat) confirmed() time.Time { return h.at.Add(-time.Duration(h.AgeMS) * time.Millisecond) }

// New returns a fleet that knows only the VM itself.
func New(self Member, regions map[string]string, log zerolog.Logger) *Fleet {
	return &Fleet{
		self: self.Name, zone: self.Zone, regions: regions, started: time.Now(), log: log,
		news:       make(chan struct{}, 1),
		registered: map[string]Member{}, heard: map[string]heartbeat{}, readers: map[string]heartbeat{},
	}
}

// Register adds or replaces a registration.
func (f *Fleet) Register(m Member) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.registered[m.Name] = m
}

// Unregister takes a registration away.
func (f *Fleet) Unregister(name string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	delete(f.registered, name)
}

// Hear takes a heartbeat.
func (f *Fleet) Hear(m Member, now time.Time) {
	f.mu.Lock()
	senders := f.heard
	if m.Zone != f.zone {
		senders = f.readers
	}
	old := senders[m.Name]
	senders[m.Name] = heartbeat{Member: m, at: now}
	f.mu.Unlock()
	if old.isSilent {
		logevent.VMHeard.Log(f.log).Str("neighbour", m.Name).Send()
	}
	if m.Name != f.self && (m.Zone != f.zone || m.Revision > old.Revision || m.IsCutOff != old.IsCutOff) {
		select {
		case f.news <- struct{}{}:
		default:
		}
	}
}

// Heard returns a channel that gets a value after another VM has told of a newer copy of the store, or a reader of another
// zone of its last answer.
func (f *Fleet) Heard() <-chan struct{} { return f.news }

// Expire notes which VMs have fallen silent, and forgets those that are gone.
func (f *Fleet) Expire(now time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	maps.DeleteFunc(f.readers, func(_ string, h heartbeat) bool { return now.Sub(h.at) > forgetAfter })
	for name, h := range f.heard {
		if _, isRegistered := f.registered[name]; !isRegistered && now.Sub(h.at) > forgetAfter {
			delete(f.heard, name)
			continue
		}
		if !h.isSilent && now.Sub(h.at) > silentAfter {
			h.isSilent = true
			f.heard[name] = h
			logevent.VMSilent.Log(f.log).Str("neighbour", name).Dur("silent_for", now.Sub(h.at)).Send()
		}
	}
}

// Neighbours returns the other known VMs of the availability zone, silent ones included, by name.
func (f *Fleet) Neighbours() []Member {
	f.mu.Lock()
	defer f.mu.Unlock()
	known := map[string]Member{}
	for name, h := range f.heard {
		known[name] = h.Member
	}
	for name, m := range f.registered {
		if m.Zone == f.zone {
			known[name] = m
		}
	}
	delete(known, f.self)
	return sorted(known)
}

// All returns the other registered VMs by name.
func (f *Fleet) All() []Member {
	f.mu.Lock()
	defer f.mu.Unlock()
	known := map[string]Member{}
	for name, m := range f.registered {
		known[name] = m
	}
	delete(known, f.self)
	return sorted(known)
}

func sorted(known map[string]Member) []Member {
	out := make([]Member, 0, len(known))
	for _, m := range known {
		out = append(out, m)
	}
	slices.SortFunc(out, func(a, b Member) int { return strings.Compare(a.Name, b.Name) })
	return out
}
