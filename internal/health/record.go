package health

import "time"

// record adds the result of an attempt to the evidence of this VM. It returns the opinions to share.
func (b *Board) record(a *Attempt, result Result, now time.Time) []Opinion {
	s := a.server
	if a.isTrial {
		s.trialAttempts--
	}
	if b.byName[s.name] != s {
		return nil
	}
	local := b.decayedLocalEvidence(s, now)
	// The score of the result replaces the score that the attempt has added while in flight.
	local.slow = max(minScore, local.slow-a.overdueScore)
	if result == ResultIgnored {
		return nil
	}
	failing, slow := b.scoresOf(s, result, b.latencyOf(a, now))
	if a.isTrial && s.state == StateTrial {
		return b.recordTrial(s, result, failing, slow, now)
	}
	// A success that began before the ejection is no evidence of recovery.
	if s.state == StateOut && a.begin.Before(s.stateSince) && failing <= 0 && slow <= 0 {
		return nil
	}
	suspected := !s.suspectSince.IsZero() && !a.begin.Before(s.suspectSince)
	local.add(failing, slow, suspected)
	switch {
	case result == ResultUnreachable:
		local.kind = KindUnreachable
		local.failing = max(local.failing, unreachableScore)
	case failing > 0:
		local.kind = max(local.kind, KindFailing)
	case slow > 0 && local.slow > 0:
		local.kind = max(local.kind, KindSlow)
	}
	if result == ResultBroken {
		b.requestVerification(s, now)
	}
	if failing <= 0 && slow <= 0 {
		return b.opinionIfChanged(s, now)
	}
	b.needsReassessment = true
	return append(b.reassess(now), b.opinionIfChanged(s, now)...)
}

// scoresOf converts one result to changes of the two scores, and updates the failure rate and the latency reference.
func (b *Board) scoresOf(s *server, result Result, latency time.Duration) (failing, slow float64) {
	switch result {
	case ResultFailure, ResultBroken:
		s.rate.add(true, b.settings.Now())
		return b.settings.FailureScore * b.failureWeight(s, b.settings.Now()), 0
	case ResultUnreachable:
		return unreachableScore, 0
	case ResultTimeout:
		return 0, max(0, b.slowScore(s, latency))
	default:
		s.rate.add(false, b.settings.Now())
		slow = b.slowScore(s, latency)
		b.references[s.region].addRecent(latency)
		if b.isTypical(s) {
			b.references[s.region].addHealthy(latency)
		}
		return -b.settings.SuccessScore, slow
	}
}

// isTypical reports whether the latencies of the backend server belong in the reference.
func (b *Board) isTypical(s *server) bool {
	return s.state == StateInService && s.localEvidence().slow < serviceWideRatio
}

// slowScore returns the score of a latency for slowness. It is negative if the latency is evidence of health.
func (b *Board) slowScore(s *server, latency time.Duration) float64 {
	ratio := b.references[s.region].logLikelihoodRatio(latency)
	return min(ratio, b.settings.MaxSlowRatio) / b.settings.SlowThreshold
}

// localEvidence returns the evidence of this VM as last updated.
func (s *server) localEvidence() *evidence { return s.evidence[0] }

// clearScores discards the evidence of all observers.
func (b *Board) clearScores(s *server, now time.Time) {
	s.evidence = []*evidence{{vm: b.self.VM, zone: b.self.Zone, at: now}}
	s.sentOpinion = Opinion{}
}

// decayedLocalEvidence returns the evidence of this VM, decayed up to now unless the backend server is ejected.
func (b *Board) decayedLocalEvidence(s *server, now time.Time) *evidence {
	local := s.localEvidence()
	if s.state != StateOut {
		local.decay(now, b.settings.Decay)
	}
	local.at = now
	return local
}

// scoreOverdue scores the attempts in flight by the time elapsed so far, because the final latency can only be higher.
func (b *Board) scoreOverdue(s *server, now time.Time) {
	for _, a := range s.attempts {
		slow := b.slowScore(s, b.latencyOf(a, now))
		if slow <= a.overdueScore {
			continue
		}
		local := b.decayedLocalEvidence(s, now)
		local.slow = min(maxScore, local.slow+slow-a.overdueScore)
		local.kind = max(local.kind, KindSlow)
		a.overdueScore = slow
		b.needsReassessment = true
	}
}

// badTrialRatio is the log-likelihood ratio from which a trial request counts as slow.
const badTrialRatio = 2

// recordTrial evaluates the result of a trial request. A failure ejects the backend server again; enough successes in
// one trial begin its slow start.
func (b *Board) recordTrial(s *server, result Result, failing, slow float64, now time.Time) []Opinion {
	kind := KindNone
	switch {
	case result == ResultUnreachable:
		kind = KindUnreachable
	case failing > 0 && !b.isServiceFailing(s, now):
		kind = KindFailing
	case slow*b.settings.SlowThreshold >= badTrialRatio:
		kind = KindSlow
	}
	if kind == KindNone {
		s.trialSuccesses++
		if s.trialSuccesses >= b.settings.TrialSuccesses {
			b.beginSlowStart(s, now)
		}
		return nil
	}
	local := b.decayedLocalEvidence(s, now)
	local.kind = kind
	if kind == KindSlow {
		local.slow = max(local.slow, 1)
	} else {
		local.failing = max(local.failing, 1)
	}
	b.eject(s, kind, ScopeLocal, local.highest(), now)
	if result == ResultBroken {
		b.requestVerification(s, now)
	}
	return append(b.reassess(now), b.opinionIfChanged(s, now)...)
}

// RecordVerification records the result of a connection attempt, which Hooks.Verify requested or a probe made.
func (b *Board) RecordVerification(name string, reachable bool) {
	b.mu.Lock()
	s := b.byName[name]
	if s == nil {
		b.mu.Unlock()
		return
	}
	now := b.settings.Now()
	local := b.decayedLocalEvidence(s, now)
	if reachable {
		local.failing = max(minScore, local.failing-verifiedScore)
		b.finish(append(b.reassess(now), b.opinionIfChanged(s, now)...))
		return
	}
	local.kind = KindUnreachable
	local.failing = max(local.failing, unreachableScore)
	b.needsReassessment = true
	b.finish(append(b.reassess(now), b.opinionIfChanged(s, now)...))
}

// verifiedScore is subtracted from the failing score when a connection could be opened.
const verifiedScore = 0.1
