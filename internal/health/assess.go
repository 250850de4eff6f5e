package health

import (
	"slices"
	"time"
)

// assessment combines all trusted evidence on one backend server.
type assessment struct {
	failing, slow float64
	// observers counts the VMs whose score is at least Settings.CorroborationScore, zones their availability zones.
	observers, zones int
	kind             Kind
	// local is the higher of the two scores given by this VM, localKind the kind of its evidence.
	local     float64
	localKind Kind
}

func (a assessment) highest() float64 { return max(a.failing, a.slow) }

// reassess recomputes the assessment of every backend server and updates its state: it ejects unhealthy backend servers
// and lets ejected ones return step by step. It returns the opinions to share with the group.
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
		s.wantsConfirmation = s.state == StateInService && s.assessment.highest() >= probablyUnhealthyScore &&
			b.probablyUnhealthyShare(s) < maxConfirmShare
		if b.advance(s, now) {
			opinions = append(opinions, b.newOpinion(s, now))
		}
	}
	return opinions
}

// expire removes the expired evidence of peers and decays the rest. Evidence on ejected backend servers does not decay.
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

// probablyUnhealthyScore is the score from which a backend server counts as probably unhealthy. It is sent extra requests
// to find out whether it is unhealthy.
const probablyUnhealthyScore = 0.2

// maxConfirmShare is the share of probably unhealthy backend servers from which no extra requests are sent.
const maxConfirmShare = 0.25

// negligibleScore is the score below which a backend server is not suspected.
const negligibleScore = 0.05

// updateSuspicion sets or clears the time since which a backend server is suspected. Only while it is suspected can
// successes lower its scores below 0.
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

// hasAttemptOnSuspect reports whether any attempt is in flight on a suspected backend server.
func (b *Board) hasAttemptOnSuspect() bool {
	for _, s := range b.servers {
		if len(s.attempts) > 0 && !s.suspectSince.IsZero() {
			return true
		}
	}
	return false
}

const (
	// reportedScore is the score from which an observer counts as reporting a backend server unhealthy.
	reportedScore = 0.4
	// minReportedServers is how many backend servers an observer must report before its network path is considered
	// unhealthy.
	minReportedServers = 3
	// reportedFraction raises that number in large services: at least 1/reportedFraction of the live backend servers must
	// be reported.
	reportedFraction = 3
)

// distrustedObservers returns the VMs whose evidence is ignored, or nil. If a VM reports many backend servers unhealthy
// and its peers confirm fewer than half of them, its network path to the service is considered unhealthy.
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

// isConfirmed reports whether another VM than the observer has evidence against the backend server.
func (b *Board) isConfirmed(s *server, observer string) bool {
	for _, e := range s.evidence {
		if e.vm != observer && e.highest() >= b.settings.CorroborationScore {
			return true
		}
	}
	return false
}

// assess sums the evidence of all trusted observers.
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

// scopeOf returns on whose evidence the backend server should be out of service, or ScopeNone if it should be in
// service.
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

// maxObserverShare is the largest share of the ejection threshold that one observer can contribute to a shared ejection.
const maxObserverShare = 0.6

// cappedScore returns the larger of two sums, of the trusted failing scores and of the trusted slow scores. Each score is
// limited to maxObserverShare of the needed score.
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
	// toleratedUnhealthyShare is the share of probably unhealthy backend servers up to which the ejection threshold is 1.
	toleratedUnhealthyShare = 0.1
	// thresholdFactor is the slope of the ejection threshold above toleratedUnhealthyShare.
	thresholdFactor = 4
)

// ejectionThreshold is the score that ejects the backend server. It rises with the share of other backend servers that
// are probably unhealthy, because the service as a whole may be unhealthy.
func (b *Board) ejectionThreshold(s *server) float64 {
	return 1 + thresholdFactor*max(0, b.probablyUnhealthyShare(s)-toleratedUnhealthyShare)
}

// probablyUnhealthyShare returns the share, from 0 to 1, of the region's other backend servers that are probably
// unhealthy and not yet ejected. It is 0 if there are too few others to compare.
func (b *Board) probablyUnhealthyShare(s *server) float64 {
	unhealthy, total := 0, 0
	for _, other := range b.servers {
		if other == s || other.region != s.region {
			continue
		}
		total++
		if other.state != StateOut && other.assessment.highest() >= probablyUnhealthyScore {
			unhealthy++
		}
	}
	if total < minOthers {
		return 0
	}
	return float64(unhealthy) / float64(total)
}

const (
	// serviceWideRatio is the fraction of a backend server's score from which another one counts as equally unhealthy.
	serviceWideRatio = 0.3
	// minHealthyDivisor gives the fraction of the other backend servers, 1/3, that must be healthy for one to be
	// considered unhealthy.
	minHealthyDivisor = 3
	// minOthers is how many other backend servers are needed for a comparison.
	minOthers = 2
)

// isServiceWide reports whether the service as a whole is as unhealthy as the backend server. The service is then
// overloaded or broken, and ejections would not help. Only backend servers of one region are compared, because evidence
// is shared within a region.
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
