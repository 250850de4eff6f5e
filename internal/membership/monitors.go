package membership

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/primroseladder/primroseladder/internal/placement"
)

// In a small zone each VM sends its heartbeats to all others. In a large one the VMs form a ring, and each sends its
// heartbeats to the next few VMs, its monitors, which report to all others when it becomes silent. The number of
// heartbeats a VM sends then does not grow with the zone. Only VMs that serve callers send theirs to all, since the size of
// a host's group depends on their rates. VMs may briefly disagree on the ring. A VM that is wrongly reported as silent
// receives the report too and announces to all others that it is alive.
//
// After several losses at once, VMs may have lost all of their monitors. Each VM then holds a census: it probes the VMs that
// it has not heard since.
const (
	// defaultMeshSize is the largest zone in which every VM monitors every other. With 55 VMs in a zone, a VM would send
	// and receive 220 heartbeats a second, which takes a tenth of 0.16 cores.
	defaultMeshSize = 40
	// meshMargin is the number of VMs above the mesh size up to which a VM still sends heartbeats to all, since a VM
	// that counts a few VMs less may still expect them from all others.
	meshMargin = 8
	// monitorCount is the number of VMs that monitor each VM of a large zone. If a tenth of the zone fails at once, one
	// in 1,000 of the lost VMs loses all of its monitors too; the VMs that replace them then detect the loss.
	monitorCount = 3
	// newMonitorSilentAfter is how long a VM may send nothing to a new monitor. The reports that made it a monitor also
	// reach the monitored VM, whose second heartbeat after that arrives within this time.
	newMonitorSilentAfter = 550 * time.Millisecond
	// reportRepeats is how many times a monitor reports a silent VM, once with each of its next heartbeats. A VM that
	// missed all reports would send callers to the lost VM until three refresh heartbeats are missing.
	reportRepeats = 3
	// refreshInterval is the time within which each VM of a large zone receives at least one heartbeat from every other.
	refreshInterval = 15 * time.Second
)

// ring holds the names of the VMs of a zone in ascending order of their scores. The monitors of a VM are the VMs
// that follow it in the ring. After the last VM the first one follows.
type ring []string

func newRing(zone string, names []string) ring {
	scores := make(map[string]uint64, len(names))
	for _, name := range names {
		scores[name] = placement.Score(zone, name)
	}
	slices.SortFunc(names, func(a, b string) int {
		return cmp.Or(cmp.Compare(scores[a], scores[b]), cmp.Compare(a, b))
	})
	return names
}

// after returns the n VMs that follow the named one.
func (r ring) after(name string, n int) []string { return r.walk(name, n, 1) }

// before returns the n VMs that precede the named one.
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

// monitorState determines when this VM considers another one silent.
type monitorState struct {
	// isMesh is set if all VMs of the zone send their heartbeats to this one.
	isMesh bool
	// meshStart is the time since which isMesh has been set; zero if it was set from the start.
	meshStart time.Time
	// monitoredSince holds, in a large zone, the VMs that this one monitors and the time at which it began.
	monitoredSince map[string]time.Time
	// silences holds when VMs were last marked as silent, for silenceWindow.
	silences []time.Time
	// censusStart is the start of the last census.
	censusStart time.Time
}

const (
	// silenceWindow is the time over which losses count as simultaneous.
	silenceWindow = time.Second
	// censusThreshold is the number of simultaneous losses that start a census. With fewer, every VM keeps a monitor.
	censusThreshold = monitorCount
	// censusLength is the time in which VMs are probed. A VM that does not reply within newMonitorSilentAfter is
	// considered silent. The probes go on, so that one whose replies were lost is known to be alive soon after.
	censusLength = 1500 * time.Millisecond
)

// noteSilence records that a VM was marked as silent, and starts a census after several at once. The caller holds f.mu.
func (f *Fleet) noteSilence(now time.Time) {
	m := &f.monitoring
	m.silences = slices.DeleteFunc(m.silences, func(at time.Time) bool { return now.Sub(at) > silenceWindow })
	m.silences = append(m.silences, now)
	if !m.isMesh && len(m.silences) >= censusThreshold && now.Sub(m.censusStart) > censusLength {
		m.censusStart = now
	}
}

// Unheard returns, during a census, the VMs that have sent nothing since it began. It leaves out those that were lost long
// before.
func (f *Fleet) Unheard(now time.Time) []Member {
	f.mu.Lock()
	defer f.mu.Unlock()
	start := f.monitoring.censusStart
	if f.monitoring.isMesh || now.Sub(start) > censusLength {
		return nil
	}
	var out []Member
	for name, h := range f.zoneHeartbeats {
		isLostBefore := h.isSilent && start.Sub(h.receivedAt) > forgetAfter
		if name != f.self && !isLostBefore && h.receivedAt.Before(start) {
			out = append(out, h.Member)
		}
	}
	return out
}

// ZonePeer returns another known VM of the zone by its name.
func (f *Fleet) ZonePeer(name string) (Member, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if h, known := f.zoneHeartbeats[name]; known && name != f.self {
		return h.Member, true
	}
	m, known := f.registered[name]
	return m, known && m.Zone == f.zone && name != f.self
}

// updateMonitoring determines f.monitoring from the VMs that are considered alive. The caller holds f.mu.
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

// liveNames returns the names of the VMs of the zone that are considered alive, including this one. The caller holds f.mu.
func (f *Fleet) liveNames() []string {
	names := []string{f.self}
	for name, h := range f.zoneHeartbeats {
		if name != f.self && !h.isSilent {
			names = append(names, name)
		}
	}
	return names
}

// isOverdue reports whether a heartbeat that this VM should have received is missing, whether a monitor has reported the
// other VM as silent, or whether the other VM has not replied in a census. mustReport is set if the zone is large and this
// VM itself monitors the other one: this VM must then report the other one as silent. The caller holds f.mu.
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
	if start := f.monitoring.censusStart; !f.monitoring.isMesh && start.After(expected) {
		expected = start
	}
	last := h.receivedAt
	if expected.After(last) {
		last, limit = expected, newMonitorSilentAfter
	}
	return now.Sub(last) > limit, isMonitor && !f.monitoring.isMesh
}

// SetMeshSize sets the largest zone in which every VM monitors every other. It must be called before the Fleet is used.
func (f *Fleet) SetMeshSize(n int) { f.meshSize = n }

// HeartbeatTargets returns the VMs that get this VM's regular heartbeat: all others of a small zone; in a large one the
// monitors of this VM and, in rotation, some of the others. The first-ranked VM of a zone, which reads the store or
// relays its changes into the zone, sends to all, since the others rely on the revision and the age of its copy, and so do
// the VMs that serve callers.
func (f *Fleet) HeartbeatTargets(now time.Time) []Member {
	all := f.ZonePeers()
	f.mu.Lock()
	defer f.mu.Unlock()
	names := f.liveNames()
	servesCallers := len(f.zoneHeartbeats[f.self].Rates) > 0
	if len(names) <= f.meshSize+meshMargin || servesCallers || f.zoneRank(now) == 0 {
		return all
	}
	monitors := newRing(f.zone, names).after(f.self, monitorCount)
	// refreshes is the number of other VMs that get this heartbeat, so that all have received one after
	// refreshInterval.
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

// IsLargeZone reports whether regular heartbeats go to only a few VMs of the zone, so that changes have to be announced
// to the others.
func (f *Fleet) IsLargeZone() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return len(f.liveNames()) > f.meshSize+meshMargin
}

// ReceiveSilenceReport records a monitor's report that a VM has become silent. It reports whether the silent VM is this
// VM itself, which must then announce to all others that it is alive.
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
	// A monitor relies on its own observation, so that all monitors report: a report may be lost on the way.
	if !isMonitor {
		f.markSilent(name, h, now)
	}
	return false
}

// materialRateShare is the fraction of a VM's capacity by which the rate of a host must change to be announced at once.
// The size of a host's group depends on the sum of its rates.
const materialRateShare = 0.2

// DiffersMateriallyFrom reports whether the VM has changed so much since the announced state that all others of its
// zone must be notified at once.
func (m *Member) DiffersMateriallyFrom(announced *Member) bool {
	if m.IsLeaving != announced.IsLeaving || m.IsStoreUnreachable != announced.IsStoreUnreachable ||
		m.IsReader != announced.IsReader || m.IsOverloaded != announced.IsOverloaded || m.isStale() != announced.isStale() {
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
