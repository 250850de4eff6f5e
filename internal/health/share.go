package health

import "time"

const (
	// weakScore is the score below which the rate of opinions is limited.
	weakScore = 0.4
	// weakPerSecond and weakBurst limit the weak opinions of one service.
	weakPerSecond = 4
	weakBurst     = 20
	// minSharedChange is the smallest change of a score that is shared.
	minSharedChange = 0.1
	// favourableInterval is the least time between two opinions that report a lower score.
	favourableInterval = 100 * time.Millisecond
	// refreshInterval is the time after which an unchanged opinion is sent again. OpinionLifetime is more than twice as
	// long, so that an opinion stays valid if one message is lost.
	refreshInterval = 2 * time.Second
	// OpinionLifetime is how long an opinion is valid after it was received.
	OpinionLifetime = 5 * time.Second
	// verifyInterval is the least time between two connection attempts to verify that a backend server is unreachable.
	verifyInterval = 500 * time.Millisecond
)

// opinionIfChanged returns the opinion of this VM if it changed by at least minSharedChange since it was last shared and
// the rate limits allow it.
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

// refresh returns the opinions that would otherwise expire at the peers, and those that changed. It returns none on
// backend servers ejected on shared evidence.
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

// newOpinion returns the opinion of this VM on a backend server and records it as sent.
func (b *Board) newOpinion(s *server, now time.Time) Opinion {
	b.sequence++
	o := Opinion{
		Backend: s.name, Observer: b.self, Epoch: b.epoch, Sequence: b.sequence, Lifetime: OpinionLifetime,
		Draining: s.draining, Kind: s.localEvidence().kind, Failing: s.localEvidence().failing, Slow: s.localEvidence().slow,
	}
	s.sentOpinion, s.sentAt = o, now
	return o
}

// ReceiveOpinion applies the opinion of another VM. Opinions on unknown backend servers and outdated opinions are
// ignored.
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

// replaceEvidence stores the evidence of a peer unless a newer opinion of that peer is known. Opinion.Draining takes effect
// only when it changes to true, so that a peer that has not yet seen the end of the draining cannot start it again.
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

// requestVerification makes finish call Hooks.Verify for a backend server that may be unreachable, unless this VM already
// found it unreachable.
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

// tokenBucket limits the rate of weak opinions.
type tokenBucket struct {
	tokens float64
	at     time.Time
}

func (t *tokenBucket) take(now time.Time) bool {
	if t.at.IsZero() {
		t.tokens = weakBurst
	} else {
		t.tokens = min(weakBurst, t.tokens+now.Sub(t.at).Seconds()*weakPerSecond)
	}
	t.at = now
	if t.tokens < 1 {
		return false
	}
	t.tokens--
	return true
}
