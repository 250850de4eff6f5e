package dispatch

import (
	"math"
	"slices"
	"time"
)

const (
	// idleBonus brings a request to backend servers that were left out of a busy service. It is above the cost of
	// coverMaxSick.
	idleBonus = 0.5
	// spreadBonus does the same while many requests of a service fail, for those that look sick too. It is above the cost
	// of a failure.
	spreadBonus = 1.5
	// idleAfter is how long a backend server of a busy service may go without a request: the users' floor counts those
	// that got one within 2 s.
	idleAfter = 1300 * time.Millisecond
	// minInService is the share of the backend servers of a busy service in the own region that get requests however sick
	// they look: those that look least sick. A burst of failures leaves many looking sick that are sound. With 0.6 half a
	// percent more of all requests fails at usual times, see docs/design/platform.md.
	minInService = 0.5
	// inServiceLimitLifetime is how long the limit that follows from minInService is used.
	inServiceLimitLifetime = 200 * time.Millisecond
	// idleMaxUnhealthy is the probability of being sick up to which a backend server gets a request while few fail. Failures may
	// come from elsewhere at any moment, as when VMs lose power, and the floor is over the two seconds before it too.
	idleMaxUnhealthy = 0.55
	// spreadStartShare is the share of failures from which on requests are spread: the users' floor holds from a tenth on.
	spreadStartShare = 0.1
	// spreadEndShare is the share of failures below which spreading ends. The share swings by a few hundredths, and a backend
	// server that is left out each time it dips gets nothing for longer than the floor allows.
	spreadEndShare = 0.07
	// unreachablePause is how long a backend server that could not be reached is left out of the spread.
	unreachablePause = 3 * time.Second
)

// isIdle reports whether a backend server of the own region has had no request for long.
func (s *service) isIdle(at *server, now time.Time) bool {
	isOwnRegion := s.options.Regions[at.Zone] == s.options.Region
	return isOwnRegion && len(at.open) == 0 && now.Sub(at.lastUsed) > idleAfter && now.Sub(at.unreachableAt) > unreachablePause
}

// trialBonus is what speaks for a backend server that was left out. Capacity that may be sound stays in service, and
// while many requests of a service fail, taking out all that look sick would leave too little.
func (s *service) trialBonus(at *server, now time.Time) float64 {
	unhealthy := at.unhealthyProbability(now)
	switch {
	case s.updateSpreading(now):
		return spreadBonus
	case !s.recent.isBusy(now):
		return 0
	case unhealthy < idleMaxUnhealthy:
		return idleBonus
	case unhealthy <= s.inServiceLimit(now):
		return spreadBonus
	}
	return 0
}

// updateSpreading reports whether so many requests fail that all backend servers have to get some.
func (s *service) updateSpreading(now time.Time) bool {
	share := s.recent.failureShare(now)
	s.isSpreading = share > spreadStartShare || s.isSpreading && share > spreadEndShare
	return s.isSpreading
}

// unhealthyProbability is the probability that the backend server or the path to it is sick.
func (s *server) unhealthyProbability(now time.Time) float64 {
	return eitherProbability(s.estimate.UnhealthyProbability(now), s.path.UnhealthyProbability(now))
}

// inServiceLimit is the probability of being sick up to which minInService of the backend servers are.
func (s *service) inServiceLimit(now time.Time) float64 {
	if now.Sub(s.inServiceLimitAt) < inServiceLimitLifetime {
		return s.cachedInServiceLimit
	}
	var sick []float64
	for _, at := range s.servers {
		if !at.IsDraining && s.options.Regions[at.Zone] == s.options.Region {
			sick = append(sick, at.unhealthyProbability(now))
		}
	}
	slices.Sort(sick)
	s.inServiceLimitAt, s.cachedInServiceLimit = now, 0
	if least := int(math.Ceil(minInService * float64(len(sick)))); least > 0 {
		s.cachedInServiceLimit = sick[least-1]
	}
	return s.cachedInServiceLimit
}
