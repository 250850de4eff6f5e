package health

import "time"

// record takes the end of an attempt into the own score.
func (b *Board) record(f *Attempt, result Result, now time.Time) []Opinion {
	s := f.server
	if f.trial {
		s.trialFlights--
	}
	if b.byName[s.name] != s {
		return nil
	}
	own := b.ownScore(s, now)
	own.slow = max(minScore, own.slow-f.overdue)
	if result == ResultIgnored {
		return nil
	}
	failing, slow := b.scoresOf(s, result, b.latencyOf(f, now))
	if f.trial && s.standing == StateTrial {
		return b.recordTrial(s, result, failing, slow, now)
	}
	if s.standing == StateOut && f.begin.Before(s.since) && failing <= 0 && slow <= 0 {
		return nil
	}
	suspected := !s.suspectSince.IsZero() && !f.begin.Before(s.suspectSince)
	own.add(failing, slow, suspected)
	switch {
	case result == ResultUnreachable:
		own.kind = KindUnreachable
		own.failing = max(own.failing, unreachableScore)
	case failing > 0:
		own.kind = max(own.kind, KindFailing)
	case slow > 0 && own.slow > 0:
		own.kind = max(own.kind, KindSlow)
	}
	if result == ResultBroken {
		b.askVerify(s, now)
	}
	if failing <= 0 && slow <= 0 {
		return b.shareOwn(s, now)
	}
	b.suspicion = true
	return append(b.judge(now), b.shareOwn(s, now)...)
}

// scoresOf turns one result into changes of the two scores.
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
		b.references[s.region].note(latency)
		if b.isTypical(s) {
			b.references[s.region].add(latency)
		}
		return -b.settings.SuccessScore, slow
	}
}

// isTypical reports whether the latencies of the backend server belong into the reference.
func (b *Board) isTypical(s *server) bool {
	return s.standing == StateInService && s.own().slow < commonRatio
}

func (b *Board) slowScore(s *server, latency time.Duration) float64 {
	ratio := b.references[s.region].ratio(latency)
	return min(ratio, b.settings.MaxSlowRatio) / b.settings.SlowThreshold
}

func (s *server) own() *score { return s.scores[0] }

// clearScores forgets all evidence.
func (b *Board) clearScores(s *server, now time.Time) {
	s.scores = []*score{{vm: b.self.VM, zone: b.self.Zone, at: now}}
	s.sent = Opinion{}
}

// ownScore returns the own score, faded up to now.
func (b *Board) ownScore(s *server, now time.Time) *score {
	own := s.own()
	if s.standing != StateOut {
		own.decay(now, b.settings.Decay)
	}
	own.at = now
	return own
}

// judgeOverdue counts attempts that have not ended by what they already show: the final latency can only be higher.
func (b *Board) judgeOverdue(s *server, now time.Time) {
	for _, f := range s.flights {
		slow := b.slowScore(s, b.latencyOf(f, now))
		if slow <= f.overdue {
			continue
		}
		own := b.ownScore(s, now)
		own.slow = min(maxScore, own.slow+slow-f.overdue)
		own.kind = max(own.kind, KindSlow)
		f.overdue = slow
		b.suspicion = true
	}
}

// badTrialRatio is the log-likelihood ratio from which a trial request counts as slow.
const badTrialRatio = 2

// recordTrial lets a trial request decide over the return.
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
	own := b.ownScore(s, now)
	own.kind = kind
	if kind == KindSlow {
		own.slow = max(own.slow, 1)
	} else {
		own.failing = max(own.failing, 1)
	}
	b.eject(s, kind, ScopeLocal, own.highest(), now)
	if result == ResultBroken {
		b.askVerify(s, now)
	}
	return append(b.judge(now), b.shareOwn(s, now)...)
}

// RecordVerification takes the result of a connection attempt that Hooks.Verify asked for.
func (b *Board) RecordVerification(name string, reachable bool) {
	b.mu.Lock()
	s := b.byName[name]
	if s == nil {
		b.mu.Unlock()
		return
	}
	now := b.settings.Now()
	own := b.ownScore(s, now)
	if reachable {
		own.failing = max(minScore, own.failing-verifiedScore)
		b.finish(append(b.judge(now), b.shareOwn(s, now)...))
		return
	}
	own.kind = KindUnreachable
	own.failing = max(own.failing, unreachableScore)
	b.suspicion = true
	b.finish(append(b.judge(now), b.shareOwn(s, now)...))
}

// verifiedScore is what an opened connection speaks against a report that none can be opened.
const verifiedScore = 0.1
