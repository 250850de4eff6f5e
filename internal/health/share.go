package health

import "time"

const (
	// weakScore is the score below which opinions are limited in number.
	weakScore = 0.4
	// weakPerSecond and weakBurst bound the weak opinions of one service.
	weakPerSecond = 4
	weakBurst     = 20
	// shareStep is the change of a score that others should hear of.
	shareStep = 0.1
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

// shareOwn returns the own opinion where it changed enough for others to hear of it.
func (b *Board) shareOwn(s *server, now time.Time) []Opinion {
	own := s.own()
	worse := max(own.failing-s.sent.Failing, own.slow-s.sent.Slow)
	if worse >= shareStep && own.highest() >= shareStep {
		if own.highest() < weakScore && !b.weakShares.take(now) {
			return nil
		}
		return []Opinion{b.opinionOf(s, now)}
	}
	better := max(s.sent.Failing-own.failing, s.sent.Slow-own.slow)
	if better >= shareStep && !s.suspectSince.IsZero() && now.Sub(s.sentAt) >= favourableInterval {
		return []Opinion{b.opinionOf(s, now)}
	}
	return nil
}

// refresh returns the opinions that would lapse at the peers, and withdraws those that no longer hold.
func (b *Board) refresh(now time.Time) []Opinion {
	var out []Opinion
	for _, s := range b.servers {
		own := s.own()
		if s.standing == StateOut && s.scope == ScopeShared {
			continue
		}
		if own.highest() >= shareStep && now.Sub(s.sentAt) >= refreshInterval {
			out = append(out, b.opinionOf(s, now))
			continue
		}
		out = append(out, b.shareOwn(s, now)...)
	}
	return out
}

// opinionOf returns the own opinion on a backend server and notes it as sent.
func (b *Board) opinionOf(s *server, now time.Time) Opinion {
	b.sequence++
	o := Opinion{
		Backend: s.name, Observer: b.self, Epoch: b.epoch, Sequence: b.sequence, Lifetime: OpinionLifetime,
		Draining: s.draining, Kind: s.own().kind, Failing: s.own().failing, Slow: s.own().slow,
	}
	s.sent, s.sentAt = o, now
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
	if !s.replaceScore(o, now) {
		b.mu.Unlock()
		return
	}
	if o.Kind == KindUnreachable {
		b.askVerify(s, now)
	}
	b.finish(append(b.judge(now), b.shareOwn(s, now)...))
}

// replaceScore takes the score of a peer unless a newer one is known. The word that the backend server drains counts
// when the peer says it for the first time, so that one that has not yet seen the end of the draining cannot renew it.
func (s *server) replaceScore(o Opinion, now time.Time) bool {
	heard := &score{
		vm: o.Observer.VM, zone: o.Observer.Zone, kind: o.Kind, at: now, until: now.Add(o.Lifetime),
		failing: min(maxScore, max(minScore, o.Failing)), slow: min(maxScore, max(minScore, o.Slow)),
		epoch: o.Epoch, sequence: o.Sequence, draining: o.Draining,
	}
	for i, known := range s.scores {
		if known.vm != o.Observer.VM {
			continue
		}
		if isOlder(o, known) {
			return false
		}
		s.draining = s.draining || (o.Draining && !known.draining)
		s.scores[i] = heard
		return true
	}
	s.draining = s.draining || o.Draining
	s.scores = append(s.scores, heard)
	return true
}

func isOlder(o Opinion, known *score) bool {
	return o.Epoch < known.epoch || (o.Epoch == known.epoch && o.Sequence <= known.sequence)
}

// askVerify has this VM open a connection of its own to a backend server that may be unreachable.
func (b *Board) askVerify(s *server, now time.Time) {
	if b.hooks.Verify == nil || now.Sub(s.lastVerify) < verifyInterval {
		return
	}
	if s.own().kind == KindUnreachable {
		return
	}
	s.lastVerify = now
	b.verify = append(b.verify, s.name)
}

// rateLimit is a token bucket for weak opinions.
type rateLimit struct {
	tokens float64
	at     time.Time
}

func (r *rateLimit) take(now time.Time) bool {
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
