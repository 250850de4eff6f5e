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
	// silentAfter is how long a VM may be silent towards its monitors: three heartbeats, one of which may be lost.
	silentAfter = 800 * time.Millisecond
	// forgetAfter is how long a silent VM is remembered that is not registered. Leases end well before.
	forgetAfter = 30 * time.Second
	// settleTime is how long after its own start a VM trusts registrations instead of heartbeats.
	settleTime = time.Second
)

// Member is what a VM tells of itself, in heartbeats and in its registration. Fields have short names there: each VM sends
// dozens of heartbeats a second.
type Member struct {
	Name   string `json:"n"`
	Zone   string `json:"z"`
	Region string `json:"r"`
	// CallerAddress is where callers connect.
	CallerAddress string `json:"c"`
	// PeerAddress is where other VMs send datagrams.
	PeerAddress string `json:"p"`
	// IsLeaving tells that the VM takes no new callers.
	IsLeaving bool `json:"l,omitempty"`
	// IsStoreUnreachable tells that the VM's last call to the store failed.
	IsStoreUnreachable bool `json:"o,omitempty"`
	// IsReader tells that the VM reads the store for its region.
	IsReader bool `json:"s,omitempty"`
	// IsWithoutConfig tells that the VM has no configuration yet.
	IsWithoutConfig bool `json:"w,omitempty"`
	// AgeMS is how many milliseconds ago the VM's copy of the store was last known to be complete.
	AgeMS int64 `json:"a,omitempty"`
	// Revision is the store's revision up to which the VM's copy is complete.
	Revision uint64 `json:"v,omitempty"`
	// Capacity is how many requests a second the VM can take.
	Capacity float64 `json:"k,omitempty"`
	// Rates are how many requests a second the VM takes, by host.
	Rates map[string]float64 `json:"q,omitempty"`
}

// staleAfter is the age of a copy of the store from which on callers are sent to other VMs where there are any.
const staleAfter = 3 * time.Second

func (m *Member) isStale() bool {
	return m.IsWithoutConfig || time.Duration(m.AgeMS)*time.Millisecond > staleAfter
}

// Fleet holds the known VMs. It may be used by several goroutines.
type Fleet struct {
	self    string
	zone    string
	regions map[string]string
	started time.Time
	log     zerolog.Logger
	updates chan struct{}

	mu         sync.Mutex
	registered map[string]Member
	// zoneHeartbeats are the VMs of the own availability zone.
	zoneHeartbeats map[string]heartbeat
	// remoteReaders are the VMs of other zones of the region that have told that they read the store.
	remoteReaders map[string]heartbeat
	monitoring    monitorState
	// meshSize is the largest zone in which all VMs hear all others regularly.
	meshSize int
	// pendingReports are the silent VMs that this one still has to report, with how often.
	pendingReports map[string]int
	// nextRefresh is where in the list of neighbours the next ones stand that get a heartbeat by turns.
	nextRefresh int
}

type heartbeat struct {
	Member
	receivedAt time.Time
	// isSilent tells that heartbeats are missing, here or at a monitor of the VM.
	isSilent bool
	// isReported tells that a monitor has reported it as silent since.
	isReported bool
}

// confirmedAt is when the VM's copy of the store was last known to be complete.
func (h heartbeat) confirmedAt() time.Time {
	return h.receivedAt.Add(-time.Duration(h.AgeMS) * time.Millisecond)
}

// New returns a fleet that knows only the VM itself.
func New(self Member, regions map[string]string, log zerolog.Logger) *Fleet {
	return &Fleet{
		self: self.Name, zone: self.Zone, regions: regions, started: time.Now(), log: log,
		updates:    make(chan struct{}, 1),
		registered: map[string]Member{}, zoneHeartbeats: map[string]heartbeat{}, remoteReaders: map[string]heartbeat{},
		monitoring: monitorState{isMesh: true}, meshSize: defaultMeshSize, pendingReports: map[string]int{},
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

// ReceiveHeartbeat takes a heartbeat. It reports whether the VM was unknown or silent before.
func (f *Fleet) ReceiveHeartbeat(m Member, now time.Time) (isNew bool) {
	f.mu.Lock()
	senders := f.zoneHeartbeats
	if m.Zone != f.zone {
		senders = f.remoteReaders
	}
	old, isKnown := senders[m.Name]
	senders[m.Name] = heartbeat{Member: m, receivedAt: now}
	f.mu.Unlock()
	if old.isSilent {
		logevent.VMHeard.Log(f.log).Str("neighbour", m.Name).Send()
	}
	if m.Name != f.self && (m.Zone != f.zone || m.Revision > old.Revision || m.IsStoreUnreachable != old.IsStoreUnreachable) {
		select {
		case f.updates <- struct{}{}:
		default:
		}
	}
	return m.Zone == f.zone && (!isKnown || old.isSilent)
}

// Updates returns a channel that gets a value after another VM has told of a newer copy of the store, or a reader of another
// zone of its last answer.
func (f *Fleet) Updates() <-chan struct{} { return f.updates }

// UpdateLiveness notes which VMs have fallen silent, and forgets those that are gone. It returns the silent ones that this VM has to
// tell the others of, each several times, since a report may be lost on the way.
func (f *Fleet) UpdateLiveness(now time.Time) (report []string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	maps.DeleteFunc(f.remoteReaders, func(_ string, h heartbeat) bool { return now.Sub(h.receivedAt) > forgetAfter })
	f.updateMonitoring(now)
	for name, h := range f.zoneHeartbeats {
		if name == f.self {
			continue
		}
		isOverdue, mustReport := f.isOverdue(name, h, now)
		if !h.isSilent && isOverdue {
			f.markSilent(name, h, now)
			if mustReport {
				f.pendingReports[name] = reportRepeats
			}
		}
		if _, isRegistered := f.registered[name]; f.zoneHeartbeats[name].isSilent && !isRegistered && now.Sub(h.receivedAt) > forgetAfter {
			delete(f.zoneHeartbeats, name)
		}
	}
	for name, left := range f.pendingReports {
		if left == 0 || !f.zoneHeartbeats[name].isSilent {
			delete(f.pendingReports, name)
			continue
		}
		f.pendingReports[name]--
		report = append(report, name)
	}
	return report
}

// markSilent notes that a VM has fallen silent. The lock is held.
func (f *Fleet) markSilent(name string, h heartbeat, now time.Time) {
	h.isSilent = true
	f.zoneHeartbeats[name] = h
	logevent.VMSilent.Log(f.log).Str("neighbour", name).Dur("silent_for", now.Sub(h.receivedAt)).Send()
}

// isAlive reports whether a VM of the zone is taken for alive. Between two calls of Expire the silence of those whose
// heartbeats all come here is seen as well. The lock is held.
func (f *Fleet) isAlive(h heartbeat, now time.Time) bool {
	if h.Name == f.self {
		return now.Sub(h.receivedAt) <= silentAfter
	}
	isOverdue, _ := f.isOverdue(h.Name, h, now)
	return !h.isSilent && !isOverdue
}

// ZonePeers returns the other known VMs of the availability zone, silent ones included, by name.
func (f *Fleet) ZonePeers() []Member {
	f.mu.Lock()
	defer f.mu.Unlock()
	known := map[string]Member{}
	for name, h := range f.zoneHeartbeats {
		known[name] = h.Member
	}
	for name, m := range f.registered {
		if m.Zone == f.zone {
			known[name] = m
		}
	}
	delete(known, f.self)
	return sortedByName(known)
}

// RegisteredPeers returns the other registered VMs by name.
func (f *Fleet) RegisteredPeers() []Member {
	f.mu.Lock()
	defer f.mu.Unlock()
	known := map[string]Member{}
	for name, m := range f.registered {
		known[name] = m
	}
	delete(known, f.self)
	return sortedByName(known)
}

func sortedByName(known map[string]Member) []Member {
	out := make([]Member, 0, len(known))
	for _, m := range known {
		out = append(out, m)
	}
	slices.SortFunc(out, func(a, b Member) int { return strings.Compare(a.Name, b.Name) })
	return out
}
