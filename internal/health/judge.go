package health

import (
	"slices"
	"time"
)

// verdict is what all trusted evidence together says of one backend server.
type verdict struct {
	failing, slow float64
	// observers and zones count the VMs whose score is at least Settings.CorroborationScore.
	observers, zones int
	kind             Kind
	// alone is the own score.
	alone     float64
	aloneKind Kind
}

func (v verdict) highest() float64 { return max(v.failing, v.slow) }

// judge recomputes every verdict and moves backend servers out of service or on their way back. It returns the
// opinions that others should hear.
func (b *Board) judge(now time.Time) []Opinion {
	b.expire(now)
	b.distrusted = b.distrustedObservers()
	b.suspicion = false
	b.isStale = true
	for _, s := range b.servers {
		s.verdict = b.verdictOn(s)
		b.noteSuspicion(s, now)
		if s.standing != StateInService || !s.suspectSince.IsZero() {
			b.suspicion = true
		}
	}
	var opinions []Opinion
	for _, s := range b.servers {
		s.isSuspect = s.standing == StateInService && s.verdict.highest() >= suspectScore &&
			b.suspectShare(s) < maxConfirmShare
		if b.advance(s, now) {
			opinions = append(opinions, b.opinionOf(s, now))
		}
	}
	return opinions
}

// expire drops lapsed scores of peers and fades the others.
func (b *Board) expire(now time.Time) {
	for _, s := range b.servers {
		s.scores = slices.DeleteFunc(s.scores, func(sc *score) bool {
			return sc.vm != b.self.VM && now.After(sc.until)
		})
		for _, sc := range s.scores {
			if s.standing != StateOut {
				sc.decay(now, b.settings.Decay)
			}
			sc.at = now
		}
	}
}

// suspectScore is the score from which requests are sent on purpose to learn more.
const suspectScore = 0.2

// maxConfirmShare of the backend servers suspected at a time ends requests on purpose.
const maxConfirmShare = 0.25

// negligibleScore is the score below which nothing is suspected.
const negligibleScore = 0.05

// noteSuspicion opens or closes the time in which successes may speak for a backend server.
func (b *Board) noteSuspicion(s *server, now time.Time) {
	suspected := false
	for _, sc := range s.scores {
		suspected = suspected || sc.highest() >= negligibleScore
	}
	if suspected && s.suspectSince.IsZero() {
		s.suspectSince = now
	}
	if suspected || s.suspectSince.IsZero() {
		return
	}
	s.suspectSince = time.Time{}
	for _, sc := range s.scores {
		sc.failing, sc.slow = max(0, sc.failing), max(0, sc.slow)
	}
}

func (b *Board) anyScore() bool {
	for _, s := range b.servers {
		if len(s.flights) > 0 && !s.suspectSince.IsZero() {
			return true
		}
	}
	return false
}

const (
	// pathScore is the score from which an observer is said to name a backend server.
	pathScore = 0.4
	// minNamed is how many backend servers an observer must name before its own path is in doubt.
	minNamed = 3
	// namedFraction of the live backend servers is the same in large services.
	namedFraction = 3
)

// distrustedObservers returns the VMs whose evidence does not count, or nil. A VM that names many backend servers of which its peers see
// nothing has a sick path of its own.
func (b *Board) distrustedObservers() map[string]bool {
	named, confirmed := map[string]int{}, map[string]int{}
	for _, s := range b.servers {
		for _, sc := range s.scores {
			if sc.highest() < pathScore {
				continue
			}
			named[sc.vm]++
			if b.isConfirmed(s, sc.vm) {
				confirmed[sc.vm]++
			}
		}
	}
	var distrusted map[string]bool
	limit := max(minNamed, (len(b.servers)+namedFraction-1)/namedFraction)
	for vm, n := range named {
		if n < limit || 2*confirmed[vm] >= n {
			continue
		}
		if distrusted == nil {
			distrusted = map[string]bool{}
		}
		distrusted[vm] = true
	}
	return distrusted
}

func (b *Board) isConfirmed(s *server, observer string) bool {
	for _, sc := range s.scores {
		if sc.vm != observer && sc.highest() >= b.settings.CorroborationScore {
			return true
		}
	}
	return false
}

func (b *Board) verdictOn(s *server) verdict {
	var v verdict
	var zones []string
	for _, sc := range s.scores {
		if b.distrusted[sc.vm] {
			continue
		}
		v.failing += sc.failing
		v.slow += sc.slow
		if sc.vm == b.self.VM {
			v.alone, v.aloneKind = sc.highest(), sc.kind
		}
		if sc.highest() < b.settings.CorroborationScore {
			continue
		}
		v.observers++
		v.kind = max(v.kind, sc.kind)
		if !slices.Contains(zones, sc.zone) {
			zones = append(zones, sc.zone)
		}
	}
	v.zones = len(zones)
	if v.slow > v.failing && v.kind != KindUnreachable {
		v.kind = KindSlow
	}
	return v
}

// scopeOf returns on whose word the backend server should be out, or ScopeNone.
func (b *Board) scopeOf(s *server) Scope {
	v := s.verdict
	if v.alone >= 1 && v.aloneKind == KindUnreachable && v.observers < 2 {
		return ScopeLocal
	}
	if v.highest() < 1 || (v.kind == KindSlow && b.settings.Now().Sub(s.suspectSince) < b.settings.SlowPersistence) {
		return ScopeNone
	}
	needed := 1.0
	if v.kind != KindUnreachable {
		if b.isCommonAmong(s) || b.isServiceSick(s, v.kind, b.settings.Now()) {
			return ScopeNone
		}
		needed = b.neededScore(s)
	}
	if v.highest() < needed {
		return ScopeNone
	}
	if v.observers >= 2 && v.zones >= min(2, b.observerZones) && b.agreedScore(s, needed) >= needed {
		return ScopeShared
	}
	if v.alone >= needed {
		return ScopeLocal
	}
	return ScopeNone
}

// soloShare is the part of the needed score that one observer can give. The rest must come from others.
const soloShare = 0.6

// agreedScore is the sum of the trusted scores, with no observer giving more than soloShare of the needed one.
func (b *Board) agreedScore(s *server, needed float64) float64 {
	failing, slow := 0.0, 0.0
	for _, sc := range s.scores {
		if b.distrusted[sc.vm] {
			continue
		}
		failing += min(sc.failing, soloShare*needed)
		slow += min(sc.slow, soloShare*needed)
	}
	return max(failing, slow)
}

const (
	// ordinarySuspects is the share of backend servers that may be suspected at a time without more being asked.
	ordinarySuspects = 0.1
	// suspectsFactor is how much more is asked when all are suspected.
	suspectsFactor = 4
)

// neededScore is the score that takes a backend server out. The more others are suspected, the more is asked, since
// the service as a whole may be sick.
func (b *Board) neededScore(s *server) float64 {
	return 1 + suspectsFactor*max(0, b.suspectShare(s)-ordinarySuspects)
}

// suspectShare returns which part of the other backend servers is suspected.
func (b *Board) suspectShare(s *server) float64 {
	suspected, judged := 0, 0
	for _, other := range b.servers {
		if other == s || other.region != s.region {
			continue
		}
		judged++
		if other.standing != StateOut && other.verdict.highest() >= suspectScore {
			suspected++
		}
	}
	if judged < minOthers {
		return 0
	}
	return float64(suspected) / float64(judged)
}

const (
	// commonRatio is the part of a score from which the other backend servers count as equally sick.
	commonRatio = 0.3
	// commonFraction of the others must be well for one to be called sick.
	commonFraction = 3
	// minOthers is how many other backend servers are needed for a comparison.
	minOthers = 2
)

// isCommonAmong reports whether the service as a whole is as sick as the backend server: it is overloaded or broken,
// and nobody leaves for it. The comparison is within a region, since evidence is shared within a region.
func (b *Board) isCommonAmong(s *server) bool {
	v := s.verdict
	others := make([]float64, 0, len(b.servers))
	for _, other := range b.servers {
		if other == s || other.region != s.region {
			continue
		}
		score := other.verdict.failing
		if v.slow > v.failing {
			score = other.verdict.slow
		}
		others = append(others, score)
	}
	if len(others) < minOthers {
		return false
	}
	slices.Sort(others)
	return others[len(others)/commonFraction] >= commonRatio*min(1, v.highest())
}
