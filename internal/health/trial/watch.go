package trial

import (
	"time"

	"github.com/primroseladder/primroseladder/internal/health"
)

// watch measures what a run shows.
type watch struct {
	lastAt    time.Duration
	wasOut    map[[2]int]bool
	caught    bool
	lastWork  time.Duration
	firstPass time.Duration
	returned  bool
}

// hasSick reports whether some backend servers, not all of them nor a path, have a fault.
func (s *simulation) hasSick() bool {
	switch s.config.Fault {
	case FaultNone, FaultOwnPath, FaultOneWayZone, FaultAllSlow, FaultAllErrors:
		return false
	default:
		return s.config.UnhealthyServers > 0
	}
}

func (s *simulation) isFaultTime() bool {
	return s.now >= s.config.Onset && s.now < s.config.Onset+s.config.FaultTime
}

// dispatched notes a request to a backend server.
func (w *watch) dispatched(s *simulation, to *server, isTrial bool) {
	if !to.sick || !s.hasSick() || !s.isFaultTime() {
		return
	}
	if isTrial {
		s.result.UnhealthyTrials++
		return
	}
	s.result.UnhealthyWork++
	w.lastWork = s.now - s.config.Onset
	s.result.LastWorkMS = millis(w.lastWork)
	if !w.isCaught(s) {
		w.firstPass = w.lastWork
	}
}

// isCaught reports whether all VMs had all sick backend servers out at some moment since the onset.
func (w *watch) isCaught(s *simulation) bool {
	if w.caught {
		return true
	}
	for _, e := range s.entries {
		for _, server := range s.servers {
			if server.sick && !e.judge.isOut(server.name) {
				return false
			}
		}
	}
	w.caught = true
	return true
}

// observe looks at what is out, once a tick.
func (w *watch) observe(s *simulation) {
	elapsed := s.now - w.lastAt
	w.lastAt = s.now
	if w.wasOut == nil {
		w.wasOut = map[[2]int]bool{}
	}
	for _, e := range s.entries {
		budget := s.config.Servers - health.Floor(s.config.Servers, s.config.FloorPercent)
		if len(e.judge.out()) > budget {
			s.result.FloorBroken++
		}
		for _, server := range s.servers {
			w.observeOne(s, e, server, elapsed)
		}
	}
	if s.hasSick() && s.isFaultTime() {
		w.isCaught(s)
	}
	w.observeReturn(s)
}

func (w *watch) observeOne(s *simulation, e *entry, server *server, elapsed time.Duration) {
	isOut := e.judge.isOut(server.name)
	key := [2]int{e.index, server.index}
	isHealthy := !s.hasSick() || !server.sick
	if isOut && isHealthy && !s.isReachable(e, server) {
		s.result.AvoidedSeconds += elapsed.Seconds() / float64(s.config.Entries)
	} else if isOut && isHealthy {
		s.result.FalseOutSeconds += elapsed.Seconds() / float64(s.config.Entries)
		if !w.wasOut[key] {
			s.result.FalseEjections++
		}
	}
	w.wasOut[key] = isOut
}

func (w *watch) observeReturn(s *simulation) {
	end := s.config.Onset + s.config.FaultTime
	if w.returned || !w.caught || s.now < end {
		return
	}
	for _, e := range s.entries {
		if len(e.judge.out()) > 0 {
			return
		}
	}
	w.returned = true
	s.result.ReturnMS = millis(s.now - end)
}

func (s *simulation) finish() {
	if s.watch.caught {
		s.result.DetectionMS = millis(s.watch.firstPass)
	}
}

func millis(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }
