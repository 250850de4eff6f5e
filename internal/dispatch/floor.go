package dispatch

import (
	"math"
	"slices"
	"time"

	"github.com/primroseladder/primroseladder/internal/route"
)

const (
	// idleBonus makes the dispatcher send a request to an idle backend server of a busy service. It exceeds the
	// expected cost at an unhealthy probability of idleMaxUnhealthy.
	idleBonus = 0.5
	// spreadBonus makes the dispatcher send a request to an idle backend server even if the server is considered
	// unhealthy. It applies while many requests of a service fail. In a busy service it also applies at any time to the
	// backend servers within minInService. It exceeds the cost of a failure.
	spreadBonus = 1.5
	// idleAfter is how long a backend server of a busy service may go without a request: the users' floor counts the
	// backend servers that got a request within 2 s.
	idleAfter = 1300 * time.Millisecond
	// repeatableIdleAfter is the same for requests whose failure a retry can repair. It is shorter, so that where a service
	// has such requests, they find out about idle backend servers before any other request has to.
	repeatableIdleAfter = 900 * time.Millisecond
	// minInService is the share of a busy service's backend servers in the local region that get requests whatever
	// their unhealthy probability: those least likely to be unhealthy. After a burst of failures, many healthy backend
	// servers are considered unhealthy. With 0.6, half a percent more of all requests fails in normal operation, see
	// docs/design/platform.md.
	minInService = 0.5
	// inServiceLimitLifetime is how long the result of inServiceLimit is cached.
	inServiceLimitLifetime = 200 * time.Millisecond
	// idleMaxUnhealthy is the unhealthy probability below which an idle backend server gets a request while few
	// requests fail. Failures with another cause, such as VMs losing power, can start at any moment, and the users'
	// floor also covers the two seconds before such failures start.
	idleMaxUnhealthy = 0.55
	// spreadStartShare is the share of failures above which requests are spread over all backend servers: the users'
	// floor applies from a tenth on.
	spreadStartShare = 0.1
	// spreadEndShare is the share of failures below which spreading ends. The share fluctuates by a few hundredths;
	// with a single threshold, a backend server that is excluded at each dip would go without requests for longer than
	// the floor allows.
	spreadEndShare = 0.07
	// unreachablePause is how long a backend server gets no trials after a connection to it failed.
	unreachablePause = 3 * time.Second
)

// isIdle reports whether a backend server may get a request of the target as a trial: it is in the local region, it has had
// no request for idleAfter or repeatableIdleAfter and has none of this VM open, and no connection to it failed within
// unreachablePause. Trials are for the VMs that serve the service: any other does not hear when a backend server was last used.
func (s *service) isIdle(srv *server, t *route.Target, now time.Time) bool {
	if !s.isServing {
		return false
	}
	limit := idleAfter
	if canRepairFailure(t) {
		limit = repeatableIdleAfter
	}
	isLocalRegion := s.options.Regions[srv.Zone] == s.options.Region
	return isLocalRegion && srv.queue.Own() == 0 && now.Sub(srv.lastUsed) > limit && now.Sub(srv.unreachableAt) > unreachablePause
}

// trialBonus returns how much the cost of an idle backend server is reduced. The bonus keeps capacity that may be
// healthy in service: excluding every backend server that is considered unhealthy would leave too few while many
// requests of a service fail.
func (s *service) trialBonus(srv *server, now time.Time) float64 {
	unhealthy := srv.unhealthyProbability(now)
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

// updateSpreading updates isSpreading and returns it.
func (s *service) updateSpreading(now time.Time) bool {
	share := s.recent.failureShare(now)
	s.isSpreading = share > spreadStartShare || s.isSpreading && share > spreadEndShare
	return s.isSpreading
}

// unhealthyProbability returns the probability that the backend server or the path to it is unhealthy.
func (srv *server) unhealthyProbability(now time.Time) float64 {
	return eitherProbability(srv.estimate.UnhealthyProbability(now), srv.path.UnhealthyProbability(now))
}

// inServiceLimit returns the highest unhealthy probability among the backend servers that must stay in service: the
// share minInService of the local region's backend servers that are least likely to be unhealthy.
func (s *service) inServiceLimit(now time.Time) float64 {
	if now.Sub(s.inServiceLimitAt) < inServiceLimitLifetime {
		return s.cachedInServiceLimit
	}
	var probabilities []float64
	for _, srv := range s.servers {
		if !srv.isLeaving() && s.options.Regions[srv.Zone] == s.options.Region {
			probabilities = append(probabilities, srv.unhealthyProbability(now))
		}
	}
	slices.Sort(probabilities)
	s.inServiceLimitAt, s.cachedInServiceLimit = now, 0
	if least := int(math.Ceil(minInService * float64(len(probabilities)))); least > 0 {
		s.cachedInServiceLimit = probabilities[least-1]
	}
	return s.cachedInServiceLimit
}
