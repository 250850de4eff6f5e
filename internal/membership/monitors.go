package membership

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/primroseladder/primroseladder/internal/placement"
)

// In a small zone each VM sends its heartbeats to all others. In a large one the VMs stand in a ring, and each sends them to the
// next few, its monitors, which tell all others when it falls silent: a VM's heartbeats then do not grow with the zone. Views of
// the ring differ for moments. A VM that is wrongly reported as silent hears of it, and tells all that it lives.
const (
	// defaultMeshSize is the largest zone in which every VM is a monitor of every other. Groups follow rates sooner there: in the
	// users' sweep with 75 VMs in a zone 0.89 were served with heartbeats to all, and 0.84 without.
	defaultMeshSize = 96
	// meshMargin is how many VMs above the mesh's size still get all heartbeats, so that VMs that count a few less do not miss them.
	meshMargin = 8
	// monitorCount is how many VMs watch each VM of a large zone. All of them fail together with it in one loss of 1,000 where a
	// tenth of the zone fails; those that take their place find it out then.
	monitorCount = 3
	// newMonitorSilentAfter is how long a VM may be silent towards a new monitor: the reports that made it one reach the VM as well,
	// and its next heartbeat but one comes within that time.
	newMonitorSilentAfter = 550 * time.Millisecond
	// reportRepeats is how often a monitor reports a silent VM, once with each of its next heartbeats. A VM that missed all reports
	// would name the lost one to callers until three refreshes are missing.
	reportRepeats = 3
	// refreshInterval is the time in which each VM of a large zone hears from each other one at least.
	refreshInterval = 15 * time.Second
)

// ring is the order of the VMs of a zone in which each has the next ones as monitors.
type ring []string

func newRing(zone string, names []string) ring {
	positions := make(map[string]uint64, len(names))
	for _, name := range names {
		positions[name] = placement.Position(zone, name)
	}
	slices.SortFunc(names, func(a, b string) int {
		return cmp.Or(cmp.Compare(positions[a], positions[b]), cmp.Compare(a, b))
	})
	return names
}

// after returns the n VMs that follow one.
func (r ring) after(name string, n int) []string { return r.walk(name, n, 1) }

// before returns the n VMs that stand before one.
func (r ring) before(name string, n int) []string { return r.walk(name, n, -1) }

func (r ring) walk(name string, n, step int) []string {
	at := slices.Index(r, name)
	if at < 0 {
		return nil
	}
	var out []string
	for i := 1; i <= min(n, len(r)-1); i++ {
		out = append(out, r[(at+i*step+i*len(r))%len(r)])
	}
	return out
}

// monitorState tells how this VM judges the silence of the others.
type monitorState struct {
	// isMesh tells that all VMs send their heartbeats to this one.
	isMesh bool
	// meshStart is when that began.
	meshStart time.Time
	// monitoredSince tells, in a large zone, which VMs this one is a monitor of, and from when on.
	monitoredSince map[string]time.Time
}

// updateMonitoring brings the watch up to date with the VMs that are taken for alive. The lock is held.
func (f *Fleet) updateMonitoring(now time.Time) {
	names := f.liveNames()
	wasMesh := f.monitoring.isMesh
	f.monitoring.isMesh = len(names) <= f.meshSize
	if f.monitoring.isMesh && !wasMesh {
		f.monitoring.meshStart = now
	}
	if f.monitoring.isMesh {
		f.monitoring.monitoredSince = nil
		return
	}
	since := map[string]time.Time{}
	for _, name := range newRing(f.zone, names).before(f.self, monitorCount) {
		since[name] = now
		if from, found := f.monitoring.monitoredSince[name]; found {
			since[name] = from
		}
	}
	f.monitoring.monitoredSince = since
}

// liveNames returns the names of the VMs of the zone that are taken for alive, this one included. The lock is held.
func (f *Fleet) liveNames() []string {
	names := []string{f.self}
	for name, h := range f.zoneHeartbeats {
		if name != f.self && !h.isSilent {
			names = append(names, name)
		}
	}
	return names
}

// isOverdue reports whether a heartbeat that this VM should have had is missing, or a monitor has reported so. isOwn tells that
// this VM is a monitor of the other one itself, so that it has to tell all. The lock is held.
func (f *Fleet) isOverdue(name string, h heartbeat, now time.Time) (isOverdue, mustReport bool) {
	expected, isMonitor := f.monitoring.monitoredSince[name]
	limit := silentAfter
	switch {
	case f.monitoring.isMesh:
		expected = f.monitoring.meshStart
	case !isMonitor && h.isReported:
		return true, false
	case !isMonitor:
		limit = 3 * refreshInterval
	}
	last := h.receivedAt
	if expected.After(last) {
		last, limit = expected, newMonitorSilentAfter
	}
	return now.Sub(last) > limit, isMonitor && !f.monitoring.isMesh
}

// SetMeshSize sets the largest zone in which all VMs hear all others regularly. It must be called before the fleet is used.
func (f *Fleet) SetMeshSize(n int) { f.meshSize = n }

// HeartbeatTargets returns the VMs that get this VM's regular heartbeat: all others of a small zone, and in a large one its monitors and,
// by turns, some of the others. The first VM of a zone, which reads the store or follows the one that does, tells all: they go by
// the revision and the age of its copy.
func (f *Fleet) HeartbeatTargets(now time.Time) []Member {
	all := f.ZonePeers()
	f.mu.Lock()
	defer f.mu.Unlock()
	names := f.liveNames()
	if len(names) <= f.meshSize+meshMargin || f.zoneRank(now) == 0 {
		return all
	}
	monitors := newRing(f.zone, names).after(f.self, monitorCount)
	// refreshes is how many of the others hear this heartbeat, so that all have heard one after refreshInterval.
	refreshes := 1 + int(int64(len(all))*int64(HeartbeatInterval)/int64(refreshInterval))
	first := f.nextRefresh % len(all)
	f.nextRefresh = (first + refreshes) % len(all)
	var out []Member
	for i, m := range all {
		isRefresh := (i-first+len(all))%len(all) < refreshes
		if isRefresh || slices.Contains(monitors, m.Name) {
			out = append(out, m)
		}
	}
	return out
}

// IsLargeZone reports whether the zone is one in which regular heartbeats go to a few VMs, so that the others have to be told of
// what changes.
func (f *Fleet) IsLargeZone() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return len(f.liveNames()) > f.meshSize+meshMargin
}

// ReceiveSilenceReport takes a monitor's report that a VM has fallen silent. It reports whether that is this VM itself, which then
// tells all that it lives.
func (f *Fleet) ReceiveSilenceReport(name string, now time.Time) (isSelf bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if name == f.self {
		return true
	}
	h, known := f.zoneHeartbeats[name]
	_, isMonitor := f.monitoring.monitoredSince[name]
	if !known || h.isSilent || now.Sub(h.receivedAt) <= silentAfter {
		return false
	}
	h.isReported = true
	f.zoneHeartbeats[name] = h
	// A monitor goes by what it hears itself, so that all of them report: a report may be lost on the way.
	if !isMonitor {
		f.markSilent(name, h, now)
	}
	return false
}

// materialRateShare is the part of what a VM can take by which the rate of a host must change for the others to be told: the size of
// a host's group follows from the sum of its rates.
const materialRateShare = 0.2

// DiffersMateriallyFrom reports whether a VM has changed so much that all others of its zone have to know at once.
func (m *Member) DiffersMateriallyFrom(announced *Member) bool {
	if m.IsLeaving != announced.IsLeaving || m.IsStoreUnreachable != announced.IsStoreUnreachable || m.IsReader != announced.IsReader || m.isStale() != announced.isStale() {
		return true
	}
	limit := max(materialRateShare*m.Capacity, 1)
	for host := range announced.Rates {
		if math.Abs(m.Rates[host]-announced.Rates[host]) > limit {
			return true
		}
	}
	for host, rate := range m.Rates {
		if rate-announced.Rates[host] > limit {
			return true
		}
	}
	return false
}
