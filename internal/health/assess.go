package health

import (
	"slices"
	"time"
)

// assessment is what all trusted evidence together says of one backend server.
type assessment struct {
	failing, slow float64
	// observers and zones count the VMs whose score is at least Settings.CorroborationScore.
	observers, zones int
	kind             Kind
	// local is the own score.
	local     float64
	localKind Kind
}

func (a assessment) highest() float64 { return max(a.failing, a.slow) }

// reassess recomputes every verdict and moves backend servers out of service or on their way back. It returns the
// opinions that others should hear.
func (b *Board) reassess(now time.Time) []Opinion {
	b.expire(now)
	b.distrusted = b.distrustedObservers()
	b.needsReassessment = false
	b.isViewStale = true
	for _, s := range b.servers {
		s.assessment = b.assess(s)
		b.updateSuspicion(s, now)
		if s.state != StateInService || !s.suspectSince.IsZero() {
			b.needsReassessment = true
		}
	}
	var opinions []Opinion
	for _, s := range b.servers {
		s.wantsConfirmation = s.state == StateInService && s.assessment.highest() >= suspectScore &&
			b.suspectShare(s) < maxConfirmShare
		if b.advance(s, now) {
			opinions = append(opinions, b.newOpinion(s, now))
		}
	}
	return opinions
}

// expire drops lapsed scores of peers and fades the others.
func (b *Board) expire(now time.Time) {
	for _, s := range b.servers {
		s.evidence = slices.DeleteFunc(s.evidence, func(e *evidence) bool {
			return e.vm != b.self.VM && now.After(e.until)
		})
		for _, e := range s.evidence {
			if s.state != StateOut {
				e.decay(now, b.settings.Decay)
			}
			e.at = now
		}
	}
}

// suspectScore is the score from which requests are sent on purpose to learn more.
const suspectScore = 0.2

// maxConfirmShare of the backend servers suspected at a time ends requests on purpose.
const maxConfirmShare = 0.25

// negligibleScore is the score below which nothing is suspected.
const negligibleScore = 0.05

// updateSuspicion opens or closes the time in which successes may speak for a backend server.
func (b *Board) updateSuspicion(s *server, now time.Time) {
	suspected := false
	for _, e := range s.evidence {
		suspected = suspected || e.highest() >= negligibleScore
	}
	if suspected && s.suspectSince.IsZero() {
		s.suspectSince = now
	}
	if suspected || s.suspectSince.IsZero() {
		return
	}
	s.suspectSince = time.Time{}
	for _, e := range s.evidence {
		e.failing, e.slow = max(0, e.failing), max(0, e.slow)
	}
}

func (b *Board) hasAttemptOnSuspect() bool {
	for _, s := range b.servers {
		if len(s.attempts) > 0 && !s.suspectSince.IsZero() {
			return true
		}
	}
	return false
}

const (
	// reportedScore is the score from which an observer is said to name a backend server.
	reportedScore = 0.4
	// minReportedServers is how many backend servers an observer must name before its own path is in doubt.
	minReportedServers = 3
	// reportedFraction of the live backend servers is the same in large services.
	reportedFraction = 3
)

// distrustedObservers returns the VMs whose evidence does not count, or nil. A VM that names many backend servers of which its peers see
// nothing has a sick path of its own.
func (b *Board) distrustedObservers() map[string]bool {
	reported, confirmed := map[string]int{}, map[string]int{}
	for _, s := range b.servers {
		for _, e := range s.evidence {
			if e.highest() < reportedScore {
				continue
			}
			reported[e.vm]++
			if b.isConfirmed(s, e.vm) {
				confirmed[e.vm]++
			}
		}
	}
	var distrusted map[string]bool
	limit := max(minReportedServers, (len(b.servers)+reportedFraction-1)/reportedFraction)
	for vm, n := range reported {
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
	for _, e := range s.evidence {
		if e.vm != observer && e.highest() >= b.settings.CorroborationScore {
			return true
		}
	}
	return false
}

func (b *Board) assess(s *server) assessment {
	var a assessment
	var zones []string
	for _, e := range s.evidence {
		if b.distrusted[e.vm] {
			continue
		}
		a.failing += e.failing
		a.slow += e.slow
		if e.vm == b.self.VM {
			a.local, a.localKind = e.highest(), e.kind
		}
		if e.highest() < b.settings.CorroborationScore {
			continue
		}
		a.observers++
		a.kind = max(a.kind, e.kind)
		if !slices.Contains(zones, e.zone) {
			zones = append(zones, e.zone)
		}
	}
	a.zones = len(zones)
	if a.slow > a.failing && a.kind != KindUnreachable {
		a.kind = KindSlow
	}
	return a
}

// scopeOf returns on whose word the backend server should be out, or ScopeNone.
func (b *Board) scopeOf(s *server) Scope {
	a := s.assessment
	if a.local >= 1 && a.localKind == KindUnreachable && a.observers < 2 {
		return ScopeLocal
	}
	if a.highest() < 1 || (a.kind == KindSlow && b.settings.Now().Sub(s.suspectSince) < b.settings.SlowPersistence) {
		return ScopeNone
	}
	needed := 1.0
	if a.kind != KindUnreachable {
		if b.isServiceWide(s) || b.isServiceUnhealthy(s, a.kind, b.settings.Now()) {
			return ScopeNone
		}
		needed = b.ejectionThreshold(s)
	}
	if a.highest() < needed {
		return ScopeNone
	}
	if a.observers >= 2 && a.zones >= min(2, b.observerZones) && b.cappedScore(s, needed) >= needed {
		return ScopeShared
	}
	if a.local >= needed {
		return ScopeLocal
	}
	return ScopeNone
}

// maxObserverShare is the part of the needed score that one observer can give. The rest must come from others.
const maxObserverShare = 0.6

// cappedScore is the sum of the trusted scores, with no observer giving more than soloShare of the needed one.
func (b *Board) cappedScore(s *server, needed float64) float64 {
	failing, slow := 0.0, 0.0
	for _, e := range s.evidence {
		if b.distrusted[e.vm] {
			continue
		}
		failing += min(e.failing, maxObserverShare*needed)
		slow += min(e.slow, maxObserverShare*needed)
	}
	return max(failing, slow)
}

const (
	// toleratedSuspectShare is the share of backend servers that may be suspected at a time without more being asked.
	toleratedSuspectShare = 0.1
	// suspectsFactor is how much more is asked when all are suspected.
	suspectsFactor = 4
)

// ejectionThreshold is the score that takes a backend server out. The more others are suspected, the more is asked, since
// the service as a whole may be sick.
func (b *Board) ejectionThreshold(s *server) float64 {
	return 1 + suspectsFactor*max(0, b.suspectShare(s)-toleratedSuspectShare)
}

// suspectShare returns which part of the other backend servers is suspected.
func (b *Board) suspectShare(s *server) float64 {
	suspected, judged := 0, 0
	for _, other := range b.servers {
		if other == s || other.region != s.region {
			continue
		}
		judged++
		if other.state != StateOut && other.assessment.highest() >= suspectScore {
			suspected++
		}
	}
	if judged < minOthers {
		return 0
	}
	return float64(suspected) / float64(judged)
}

const (
	// serviceWideRatio is the part of a score from which the other backend servers count as equally sick.
	serviceWideRatio = 0.3
	// minHealthyDivisor of the others must be well for one to be called sick.
	minHealthyDivisor = 3
	// minOthers is how many other backend servers are needed for a comparison.
	minOthers = 2
)

// isServiceWide reports whether the service as a whole is as sick as the backend server: it is overloaded or broken,
// and nobody leaves for it. The comparison is within a region, since evidence is shared within a region.
func (b *Board) isServiceWide(s *server) bool {
	a := s.assessment
	others := make([]float64, 0, len(b.servers))
	for _, other := range b.servers {
		if other == s || other.region != s.region {
			continue
		}
		score := other.assessment.failing
		if a.slow > a.failing {
			score = other.assessment.slow
		}
		others = append(others, score)
	}
	if len(others) < minOthers {
		return false
	}
	slices.Sort(others)
	return others[len(others)/minHealthyDivisor] >= serviceWideRatio*min(1, a.highest())
}
