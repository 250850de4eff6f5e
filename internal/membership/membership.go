// Package membership tracks the VMs of the fleet and selects the VMs that serve a host in an availability zone.
//
// VMs register themselves in the store under a lease. Within an availability zone they also exchange heartbeats, which
// reveal the loss of a VM in less than a second and continue while the store is down. A VM that receives no heartbeats
// from its zone falls back on the registrations. Two VMs may temporarily disagree on the group that serves a host; this
// costs accuracy but breaks nothing.
package membership

import (
	"maps"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"github.com/primroseladder/primroseladder/internal/kv"
	"github.com/primroseladder/primroseladder/internal/logevent"
)

const (
	// HeartbeatInterval is the interval at which a VM sends heartbeats to its targets in the availability zone.
	HeartbeatInterval = 250 * time.Millisecond
	// silentAfter is how long a VM may send nothing to its monitors before they consider it silent: three heartbeats,
	// one of which may be lost.
	silentAfter = 800 * time.Millisecond
	// forgetAfter is how long a silent VM without a registration is kept. Its lease ends well before.
	forgetAfter = 30 * time.Second
	// settleTime is how long after its start a VM relies on registrations rather than heartbeats.
	settleTime = time.Second
)

// Member is what a VM announces about itself in heartbeats and in its registration. The JSON names are short because
// each VM sends dozens of heartbeats a second.
type Member struct {
	Name   string `json:"n"`
	Zone   string `json:"z"`
	Region string `json:"r"`
	// CallerAddress is the address that callers connect to.
	CallerAddress string `json:"c"`
	// PeerAddress is the address that other VMs send datagrams to.
	PeerAddress string `json:"p"`
	// IsLeaving is set if the VM accepts no new callers.
	IsLeaving bool `json:"l,omitempty"`
	// IsStoreUnreachable is set if the VM's last call to the store failed.
	IsStoreUnreachable bool `json:"o,omitempty"`
	// IsReader is set if the VM reads the store for its region.
	IsReader bool `json:"s,omitempty"`
	// IsWithoutConfig is set if the VM has no configuration yet.
	IsWithoutConfig bool `json:"w,omitempty"`
	// IsUnproven is set if the VM cannot show that its configuration is the newest one, and so serves no keys.
	IsUnproven bool `json:"u,omitempty"`
	// IsOverloaded is set if the VM was recently too late to take requests.
	IsOverloaded bool `json:"b,omitempty"`
	// AgeMS is the time in milliseconds since the VM's copy of the store was last known to be complete.
	AgeMS int64 `json:"a,omitempty"`
	// Revision is the store revision up to which the VM's copy is complete.
	Revision uint64 `json:"v,omitempty"`
	// Era is the era of the store that Revision belongs to.
	Era uint64 `json:"e,omitempty"`
	// Capacity is the number of requests per second that the VM can handle.
	Capacity float64 `json:"k,omitempty"`
	// Rates holds the requests per second that the VM receives, by host.
	Rates map[string]float64 `json:"q,omitempty"`
}

// Position returns the position in the store's history up to which the VM's copy is complete.
func (m *Member) Position() kv.Position { return kv.Position{Era: m.Era, Revision: m.Revision} }

// staleAfter is the age of a VM's copy of the store beyond which callers are sent to other VMs, if there are any. They are also sent
// to others by a VM that serves no keys.
const staleAfter = 3 * time.Second

func (m *Member) isStale() bool {
	return m.IsWithoutConfig || m.IsUnproven || time.Duration(m.AgeMS)*time.Millisecond > staleAfter
}

// Fleet holds the known VMs. It is safe for concurrent use.
type Fleet struct {
	self    string
	zone    string
	regions map[string]string
	started time.Time
	log     zerolog.Logger
	updates chan struct{}

	mu         sync.Mutex
	registered map[string]Member
	// zoneHeartbeats holds the last heartbeat of each VM of the local zone, including this VM.
	zoneHeartbeats map[string]heartbeat
	// remoteReaders holds the last heartbeat of the VMs in other zones of the region that announced themselves as store
	// readers.
	remoteReaders map[string]heartbeat
	// demandReported holds when a VM of the local zone last reported requests to a host.
	demandReported map[string]time.Time
	monitoring     monitorState
	// meshSize is the largest zone in which every VM sends its regular heartbeats to every other.
	meshSize int
	// pendingReports holds the silent VMs that this VM still has to report, with the number of reports left.
	pendingReports map[string]int
	// nextRefresh is the index into ZonePeers of the next VM that gets a refresh heartbeat.
	nextRefresh int
}

// heartbeat is the last heartbeat of a VM.
type heartbeat struct {
	Member
	receivedAt time.Time
	// isSilent is set if heartbeats are overdue, at this VM or at a monitor of the other VM.
	isSilent bool
	// isReported is set if a monitor has reported the VM as silent since its last heartbeat.
	isReported bool
}

// confirmedAt returns the time at which the VM's copy of the store was last known to be complete.
func (h heartbeat) confirmedAt() time.Time {
	return h.receivedAt.Add(-time.Duration(h.AgeMS) * time.Millisecond)
}

// New returns a Fleet that contains only the VM itself. regions maps each zone to its region.
func New(self Member, regions map[string]string, log zerolog.Logger) *Fleet {
	return &Fleet{
		self: self.Name, zone: self.Zone, regions: regions, started: time.Now(), log: log,
		updates:    make(chan struct{}, 1),
		registered: map[string]Member{}, zoneHeartbeats: map[string]heartbeat{}, remoteReaders: map[string]heartbeat{},
		demandReported: map[string]time.Time{},
		monitoring:     monitorState{isMesh: true}, meshSize: defaultMeshSize, pendingReports: map[string]int{},
	}
}

// Register adds or replaces a registration.
func (f *Fleet) Register(m Member) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.registered[m.Name] = m
}

// Unregister removes a registration.
func (f *Fleet) Unregister(name string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	delete(f.registered, name)
}

// ReceiveHeartbeat records a heartbeat. It reports whether the sender is a VM of the local zone that was unknown or
// silent before.
func (f *Fleet) ReceiveHeartbeat(m Member, now time.Time) (isNew bool) {
	f.mu.Lock()
	senders := f.zoneHeartbeats
	if m.Zone != f.zone {
		senders = f.remoteReaders
	}
	old, isKnown := senders[m.Name]
	senders[m.Name] = heartbeat{Member: m, receivedAt: now}
	if m.Zone == f.zone {
		for host := range m.Rates {
			f.demandReported[host] = now
		}
	}
	f.mu.Unlock()
	if old.isSilent {
		logevent.VMSilenceEnded.Log(f.log).Str("neighbour", m.Name).Send()
	}
	if m.Name != f.self && (m.Zone != f.zone || m.Position().After(old.Position()) || m.IsStoreUnreachable != old.IsStoreUnreachable) {
		select {
		case f.updates <- struct{}{}:
		default:
		}
	}
	return m.Zone == f.zone && (!isKnown || old.isSilent)
}

// Updates returns a channel that receives a value after another VM has announced a newer copy of the store or a change
// of its access to the store, and after each heartbeat of a store reader in another zone.
func (f *Fleet) Updates() <-chan struct{} { return f.updates }

// UpdateLiveness marks the VMs that have become silent and removes those that have expired. It returns the silent VMs
// that this VM has to report to the zone. Each is returned by several calls, since a report may be lost on the way.
func (f *Fleet) UpdateLiveness(now time.Time) (report []string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	maps.DeleteFunc(f.remoteReaders, func(_ string, h heartbeat) bool { return now.Sub(h.receivedAt) > forgetAfter })
	maps.DeleteFunc(f.demandReported, func(_ string, at time.Time) bool { return now.Sub(at) > demandLifetime })
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
		if _, isRegistered := f.registered[name]; f.zoneHeartbeats[name].isSilent && !isRegistered &&
			now.Sub(h.receivedAt) > forgetAfter {
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

// markSilent records that a VM has become silent. The caller holds f.mu.
func (f *Fleet) markSilent(name string, h heartbeat, now time.Time) {
	h.isSilent = true
	f.zoneHeartbeats[name] = h
	f.noteSilence(now)
	logevent.VMSilent.Log(f.log).Str("neighbour", name).Dur("silent_for", now.Sub(h.receivedAt)).Send()
}

// isAlive reports whether a VM of the zone is considered alive. Between two calls of UpdateLiveness it also detects
// overdue heartbeats of the VMs that send all of theirs to this one. The caller holds f.mu.
func (f *Fleet) isAlive(h heartbeat, now time.Time) bool {
	if h.Name == f.self {
		return now.Sub(h.receivedAt) <= silentAfter
	}
	isOverdue, _ := f.isOverdue(h.Name, h, now)
	return !h.isSilent && !isOverdue
}

// ZonePeers returns the other known VMs of the local zone, including silent ones, sorted by name.
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

// RegisteredPeers returns the other registered VMs of all zones, sorted by name.
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
