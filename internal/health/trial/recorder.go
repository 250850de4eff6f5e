package trial

import (
	"time"

	"github.com/primroseladder/primroseladder/internal/health"
)

// recorder collects the measurements of a run.
type recorder struct {
	lastAt time.Duration
	// wasOut holds whether a VM had a backend server ejected at the last tick, by the indices of both.
	wasOut map[[2]int]bool
	// allEjected caches hasEjectedAll.
	allEjected bool
	// lastWork is the time of the last request, other than a trial, to an unhealthy backend server; lastWorkBeforeEjection
	// is the last such time before hasEjectedAll became true. Both are counted from the onset.
	lastWork               time.Duration
	lastWorkBeforeEjection time.Duration
	returned               bool
}

// hasUnhealthyServers reports whether the fault is one of single backend servers, rather than of a network path or of the
// whole service.
func (s *simulation) hasUnhealthyServers() bool {
	switch s.config.Fault {
	case FaultNone, FaultOwnPath, FaultOneWayZone, FaultAllSlow, FaultAllErrors:
		return false
	default:
		return s.config.UnhealthyServers > 0
	}
}

// isInFaultPeriod reports whether the fault has begun and not ended, even if it is flapping and inactive now.
func (s *simulation) isInFaultPeriod() bool {
	return s.now >= s.config.Onset && s.now < s.config.Onset+s.config.FaultTime
}

// recordDispatch records a request to an unhealthy backend server during the fault. It ignores other requests.
func (r *recorder) recordDispatch(s *simulation, to *server, isTrial bool) {
	if !to.unhealthy || !s.hasUnhealthyServers() || !s.isInFaultPeriod() {
		return
	}
	if isTrial {
		s.result.UnhealthyTrials++
		return
	}
	s.result.UnhealthyWork++
	r.lastWork = s.now - s.config.Onset
	s.result.LastWorkMS = millis(r.lastWork)
	if !r.hasEjectedAll(s) {
		r.lastWorkBeforeEjection = r.lastWork
	}
}

// hasEjectedAll reports whether all VMs had all unhealthy backend servers ejected at some moment since the onset.
func (r *recorder) hasEjectedAll(s *simulation) bool {
	if r.allEjected {
		return true
	}
	for _, e := range s.entries {
		for _, server := range s.servers {
			if server.unhealthy && !e.ejector.isOut(server.name) {
				return false
			}
		}
	}
	r.allEjected = true
	return true
}

// observe records which backend servers are ejected. It is called once a tick.
func (r *recorder) observe(s *simulation) {
	elapsed := s.now - r.lastAt
	r.lastAt = s.now
	if r.wasOut == nil {
		r.wasOut = map[[2]int]bool{}
	}
	for _, e := range s.entries {
		budget := s.config.Servers - health.Floor(s.config.Servers, s.config.FloorPercent)
		if len(e.ejector.out()) > budget {
			s.result.FloorBroken++
		}
		for _, server := range s.servers {
			r.observeServer(s, e, server, elapsed)
		}
	}
	if s.hasUnhealthyServers() && s.isInFaultPeriod() {
		r.hasEjectedAll(s)
	}
	r.observeReturn(s)
}

func (r *recorder) observeServer(s *simulation, e *entry, server *server, elapsed time.Duration) {
	isOut := e.ejector.isOut(server.name)
	key := [2]int{e.index, server.index}
	isHealthy := !s.hasUnhealthyServers() || !server.unhealthy
	if isOut && isHealthy && !s.isReachable(e, server) {
		s.result.AvoidedSeconds += elapsed.Seconds() / float64(s.config.Entries)
	} else if isOut && isHealthy {
		s.result.FalseOutSeconds += elapsed.Seconds() / float64(s.config.Entries)
		if !r.wasOut[key] {
			s.result.FalseEjections++
		}
	}
	r.wasOut[key] = isOut
}

// observeReturn records the time after the fault at which no VM has a backend server ejected any more.
func (r *recorder) observeReturn(s *simulation) {
	end := s.config.Onset + s.config.FaultTime
	if r.returned || !r.allEjected || s.now < end {
		return
	}
	for _, e := range s.entries {
		if len(e.ejector.out()) > 0 {
			return
		}
	}
	r.returned = true
	s.result.ReturnMS = millis(s.now - end)
}

func (s *simulation) finish() {
	if s.recorder.allEjected {
		s.result.DetectionMS = millis(s.recorder.lastWorkBeforeEjection)
	}
}

func millis(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }
