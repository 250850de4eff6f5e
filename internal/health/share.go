package health

import "time"

const (
	// weakScore is the score below which opinions are limited in number.
	weakScore = 0.4
	// weakPerSecond and weakBurst bound the weak opinions of one service.
	weakPerSecond = 4
	weakBurst     = 20
	// minSharedChange is the change of a score that others should hear of.
	minSharedChange = 0.1
	// favourableInterval is the time between two opinions that speak for a backend server.
	favourableInterval = 100 * time.Millisecond
	// refreshInterval is the time between two opinions of the same content. OpinionLifetime is longer, so that the
	// loss of one does not end it.
	refreshInterval = 2 * time.Second
	// OpinionLifetime is how long an opinion holds after it was received.
	OpinionLifetime = 5 * time.Second
	// verifyInterval is the time between two connection attempts to verify a report.
	verifyInterval = 500 * time.Millisecond
)

// opinionIfChanged returns the own opinion where it changed enough for others to hear of it.
func (b *Board) opinionIfChanged(s *server, now time.Time) []Opinion {
	local := s.localEvidence()
	worse := max(local.failing-s.sentOpinion.Failing, local.slow-s.sentOpinion.Slow)
	if worse >= minSharedChange && local.highest() >= minSharedChange {
		if local.highest() < weakScore && !b.weakOpinions.take(now) {
			return nil
		}
		return []Opinion{b.newOpinion(s, now)}
	}
	better := max(s.sentOpinion.Failing-local.failing, s.sentOpinion.Slow-local.slow)
	if better >= minSharedChange && !s.suspectSince.IsZero() && now.Sub(s.sentAt) >= favourableInterval {
		return []Opinion{b.newOpinion(s, now)}
	}
	return nil
}

// refresh returns the opinions that would lapse at the peers, and withdraws those that no longer hold.
func (b *Board) refresh(now time.Time) []Opinion {
	var out []Opinion
	for _, s := range b.servers {
		local := s.localEvidence()
		if s.state == StateOut && s.scope == ScopeShared {
			continue
		}
		if local.highest() >= minSharedChange && now.Sub(s.sentAt) >= refreshInterval {
			out = append(out, b.newOpinion(s, now))
			continue
		}
		out = append(out, b.opinionIfChanged(s, now)...)
	}
	return out
}

// newOpinion returns the own opinion on a backend server and notes it as sent.
func (b *Board) newOpinion(s *server, now time.Time) Opinion {
	b.sequence++
	o := Opinion{
		Backend: s.name, Observer: b.self, Epoch: b.epoch, Sequence: b.sequence, Lifetime: OpinionLifetime,
		Draining: s.draining, Kind: s.localEvidence().kind, Failing: s.localEvidence().failing, Slow: s.localEvidence().slow,
	}
	s.sentOpinion, s.sentAt = o, now
	return o
}

// ReceiveOpinion takes the opinion of another VM.
func (b *Board) ReceiveOpinion(o Opinion) {
	b.mu.Lock()
	s := b.byName[o.Backend]
	if s == nil || o.Observer.VM == b.self.VM {
		b.mu.Unlock()
		return
	}
	now := b.settings.Now()
	s.lastWork = now
	if !s.replaceEvidence(o, now) {
		b.mu.Unlock()
		return
	}
	if o.Kind == KindUnreachable {
		b.requestVerification(s, now)
	}
	b.finish(append(b.reassess(now), b.opinionIfChanged(s, now)...))
}

// replaceEvidence takes the score of a peer unless a newer one is known. The word that the backend server drains counts
// when the peer says it for the first time, so that one that has not yet seen the end of the draining cannot renew it.
func (s *server) replaceEvidence(o Opinion, now time.Time) bool {
	received := &evidence{
		vm: o.Observer.VM, zone: o.Observer.Zone, kind: o.Kind, at: now, until: now.Add(o.Lifetime),
		failing: min(maxScore, max(minScore, o.Failing)), slow: min(maxScore, max(minScore, o.Slow)),
		epoch: o.Epoch, sequence: o.Sequence, draining: o.Draining,
	}
	for i, known := range s.evidence {
		if known.vm != o.Observer.VM {
			continue
		}
		if isOlder(o, known) {
			return false
		}
		s.draining = s.draining || (o.Draining && !known.draining)
		s.evidence[i] = received
		return true
	}
	s.draining = s.draining || o.Draining
	s.evidence = append(s.evidence, received)
	return true
}

func isOlder(o Opinion, known *evidence) bool {
	return o.Epoch < known.epoch || (o.Epoch == known.epoch && o.Sequence <= known.sequence)
}

// requestVerification has this VM open a connection of its own to a backend server that may be unreachable.
func (b *Board) requestVerification(s *server, now time.Time) {
	if b.hooks.Verify == nil || now.Sub(s.lastVerify) < verifyInterval {
		return
	}
	if s.localEvidence().kind == KindUnreachable {
		return
	}
	s.lastVerify = now
	b.pendingVerifications = append(b.pendingVerifications, s.name)
}

// tokenBucket is a token bucket for weak opinions.
type tokenBucket struct {
	tokens float64
	at     time.Time
}

func (r *tokenBucket) take(now time.Time) bool {
	if r.at.IsZero() {
		r.tokens = weakBurst
	} else {
		r.tokens = min(weakBurst, r.tokens+now.Sub(r.at).Seconds()*weakPerSecond)
	}
	r.at = now
	if r.tokens < 1 {
		return false
	}
	r.tokens--
	return true
}
