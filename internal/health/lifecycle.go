package health

import "time"

// advance moves one backend server to its next standing. It returns whether others should hear of the own score.
func (b *Board) advance(s *server, now time.Time) bool {
	scope := b.scopeOf(s)
	v := s.verdict
	switch s.standing {
	case StateOut:
		b.advanceOut(s, v, scope, now)
	case StateTrial:
		if scope == ScopeShared {
			b.eject(s, v.kind, scope, v.highest(), now)
		} else if now.Sub(s.since) >= b.settings.TrialMaxWait {
			b.beginSlowStart(s, now)
		}
	default:
		if scope != ScopeNone {
			b.eject(s, v.kind, scope, v.highest(), now)
			return true
		}
		if s.standing == StateSlowStart && now.Sub(s.since) >= b.settings.SlowStart {
			s.standing = StateInService
		}
	}
	return false
}

// advanceOut ends the lease, or ends it early where the service as a whole turned out to be sick or the evidence was
// withdrawn.
func (b *Board) advanceOut(s *server, v verdict, scope Scope, now time.Time) {
	if scope == ScopeShared {
		s.scope = ScopeShared
		s.badness = max(s.badness, v.highest())
	}
	if scope == ScopeNone && s.scope == ScopeLocal && v.alone == 0 {
		// This VM's own path is in doubt. The scores stay, so that it remains in doubt while it fails.
		s.standing = StateInService
		return
	}
	if b.isServiceSick(s, s.kind, now) {
		s.until = now
	}
	if now.Before(s.until) {
		return
	}
	s.standing = StateTrial
	s.since = now
	s.trialSuccesses = 0
	s.lastTrial = time.Time{}
	s.suspectSince = time.Time{}
	b.clearScores(s, now)
}

// isServiceSick reports whether the service as a whole has what the backend server is to be out for.
func (b *Board) isServiceSick(s *server, kind Kind, now time.Time) bool {
	switch kind {
	case KindFailing:
		return b.isServiceFailing(s, now)
	case KindSlow:
		return b.references[s.region].isServiceSlow()
	default:
		return false
	}
}

// absences is how many times in a row the backend server has been taken out without proving itself in between.
func (s *server) absences() int { return s.level + s.failedTrials + 1 }

// eject takes a backend server out of service for a lease, which is longer each time.
func (b *Board) eject(s *server, kind Kind, scope Scope, badness float64, now time.Time) {
	switch {
	case s.standing == StateTrial:
		s.failedTrials++
	case !s.returned.IsZero() && now.Sub(s.returned) < b.settings.ResetTime:
		s.level++
	default:
		s.level = 0
	}
	s.standing = StateOut
	b.mostAbsences = max(b.mostAbsences, s.absences())
	s.isSuspect = false
	s.scope, s.kind, s.badness = scope, kind, badness
	s.since = now
	s.until = now.Add(b.settings.Jitter(b.ejectionTime(s.level + min(s.failedTrials, maxTrialLevel))))
	b.suspicion = true
	b.moved = append(b.moved, b.explain(s))
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
	b.isStale = true
	s.standing = StateSlowStart
	s.since = now
	s.returned = now
	s.failedTrials = 0
	s.kind, s.scope, s.badness = KindNone, ScopeNone, 0
	s.suspectSince = time.Time{}
	b.clearScores(s, now)
	b.suspicion = true
	b.moved = append(b.moved, b.explain(s))
}
