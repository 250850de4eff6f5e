package health

import "time"

// advance moves one backend server to its next standing. It returns whether others should hear of the own score.
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

// advanceOut ends the lease, or ends it early where the service as a whole turned out to be sick or the evidence was
// withdrawn.
func (b *Board) advanceOut(s *server, a assessment, scope Scope, now time.Time) {
	if scope == ScopeShared {
		s.scope = ScopeShared
		s.severity = max(s.severity, a.highest())
	}
	if scope == ScopeNone && s.scope == ScopeLocal && a.local == 0 {
		// This VM's own path is in doubt. The scores stay, so that it remains in doubt while it fails.
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

// isServiceUnhealthy reports whether the service as a whole has what the backend server is to be out for.
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

// ejections is how many times in a row the backend server has been taken out without proving itself in between.
func (s *server) ejections() int { return s.repeatLevel + s.failedTrials + 1 }

// eject takes a backend server out of service for a lease, which is longer each time.
func (b *Board) eject(s *server, kind Kind, scope Scope, badness float64, now time.Time) {
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
	s.scope, s.kind, s.severity = scope, kind, badness
	s.stateSince = now
	s.leaseEnd = now.Add(b.settings.Jitter(b.ejectionTime(s.repeatLevel + min(s.failedTrials, maxTrialLevel))))
	b.needsReassessment = true
	b.pendingTransitions = append(b.pendingTransitions, b.explain(s))
}

// maxTrialLevel is how often failed trials double the absence.
const maxTrialLevel = 2

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
