package health

import "time"

// advance moves one backend server to its next state. It returns whether the opinion of this VM should be shared.
func (b *Board) advance(s *server, now time.Time) bool {
	scope := b.scopeOf(s)
	a := s.assessment
	switch s.state {
	case StateOut:
		b.advanceOut(s, a, scope, now)
	case StateTrial:
		if scope == ScopeShared {
			b.eject(s, a.kind, scope, a.highest(), now)
		} else if now.Sub(s.stateSince) >= b.settings.TrialMaxWait {
			b.beginSlowStart(s, now)
		}
	default:
		if scope != ScopeNone {
			b.eject(s, a.kind, scope, a.highest(), now)
			return true
		}
		if s.state == StateSlowStart && now.Sub(s.stateSince) >= b.settings.SlowStart {
			s.state = StateInService
		}
	}
	return false
}

// advanceOut starts the trial of an ejected backend server when the lease expires. The lease ends early if the service as
// a whole turns out to be unhealthy or the evidence is withdrawn.
func (b *Board) advanceOut(s *server, a assessment, scope Scope, now time.Time) {
	if scope == ScopeShared {
		s.scope = ScopeShared
		s.severity = max(s.severity, a.highest())
	}
	if scope == ScopeNone && s.scope == ScopeLocal && a.local == 0 {
		// The evidence of this VM is distrusted. It is kept, so that this VM stays distrusted while its network path fails.
		s.state = StateInService
		return
	}
	if b.isServiceUnhealthy(s, s.kind, now) {
		s.leaseEnd = now
	}
	if now.Before(s.leaseEnd) {
		return
	}
	s.state = StateTrial
	s.stateSince = now
	s.trialSuccesses = 0
	s.lastTrial = time.Time{}
	s.suspectSince = time.Time{}
	b.clearScores(s, now)
}

// isServiceUnhealthy reports whether the service as a whole has a fault of the given kind. Such a fault is no reason to
// eject the backend server.
func (b *Board) isServiceUnhealthy(s *server, kind Kind, now time.Time) bool {
	switch kind {
	case KindFailing:
		return b.isServiceFailing(s, now)
	case KindSlow:
		return b.references[s.region].isServiceSlow()
	default:
		return false
	}
}

// ejections returns how many times in a row the backend server has been ejected without staying healthy in between.
func (s *server) ejections() int { return s.repeatLevel + s.failedTrials + 1 }

// eject takes a backend server out of service for the time of a lease. Repeated ejections have longer leases.
func (b *Board) eject(s *server, kind Kind, scope Scope, severity float64, now time.Time) {
	switch {
	case s.state == StateTrial:
		s.failedTrials++
	case !s.returnedAt.IsZero() && now.Sub(s.returnedAt) < b.settings.ResetTime:
		s.repeatLevel++
	default:
		s.repeatLevel = 0
	}
	s.state = StateOut
	b.mostEjections = max(b.mostEjections, s.ejections())
	s.wantsConfirmation = false
	s.scope, s.kind, s.severity = scope, kind, severity
	s.stateSince = now
	s.leaseEnd = now.Add(b.settings.Jitter(b.ejectionTime(s.repeatLevel + min(s.failedTrials, maxTrialLevel))))
	b.needsReassessment = true
	b.pendingTransitions = append(b.pendingTransitions, b.explain(s))
}

// maxTrialLevel is the maximum number of times that failed trials double the lease.
const maxTrialLevel = 2

// ejectionTime returns the length of a lease: the first one doubled level times, up to the maximum.
func (b *Board) ejectionTime(level int) time.Duration {
	d := b.settings.EjectionTime
	for range level {
		d *= 2
		if d >= b.settings.MaxEjectionTime {
			return b.settings.MaxEjectionTime
		}
	}
	return d
}

// beginSlowStart returns a backend server to service with a small share of requests, and clears the evidence on it.
func (b *Board) beginSlowStart(s *server, now time.Time) {
	b.isViewStale = true
	s.state = StateSlowStart
	s.stateSince = now
	s.returnedAt = now
	s.failedTrials = 0
	s.kind, s.scope, s.severity = KindNone, ScopeNone, 0
	s.suspectSince = time.Time{}
	b.clearScores(s, now)
	b.needsReassessment = true
	b.pendingTransitions = append(b.pendingTransitions, b.explain(s))
}
