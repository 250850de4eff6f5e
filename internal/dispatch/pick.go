package dispatch

import (
	"math/rand/v2"
	"time"

	"github.com/primroseladder/primroseladder/internal/route"
)

// The costs of sending a request to a backend server are in parts of what a failure costs.
const (
	// lateCost is for a late answer: it still earns a third to a half of one in time, and the users weigh the share that is
	// served at all as much as all payoff.
	lateCost = 0.3
	// retryableFailCost is what a failure costs that another attempt can make good, in time and in the retry budget.
	retryableFailCost = 0.4
	// zoneCost and regionCost are for leaving the zone and the region, whatever the size.
	zoneCost   = 0.004
	regionCost = 0.05
	// zoneCostPerKB and regionCostPerKB are for the bytes of request and answer, from the users' prices.
	zoneCostPerKB   = 0.008
	regionCostPerKB = 0.055
	// connectCost is for opening a connection, from the users' prices: 0.017 to 0.084 for a request worth 1 to 3.
	connectCost = 0.015
	// occupancyCost is for each busy slot, in parts of all slots: some backend servers slow down when they are nearly full.
	occupancyCost = 0.03
	// shedCost is for a backend server that has just refused a request.
	shedCost = 0.3
	// tieBreak bounds the random part.
	tieBreak = 0.004
	// joinBonus brings a first request to backend servers that have joined.
	joinBonus = 0.3
	// warmupSlowdown is how many times as long a backend server takes that has just started.
	warmupSlowdown = 2.0
)

// joinWindow is how long a backend server that got no request counts as new.
const joinWindow = 8 * time.Second

// choice is a backend server for a request.
type choice struct {
	server *server
	cost   float64
	// wait is how long the request is expected to wait for a slot.
	wait time.Duration
	// isTrial tells that the backend server is chosen to keep it in service, not for its cost.
	isTrial bool
	// canAnswerInTime tells that an answer can be expected before the deadline.
	canAnswerInTime bool
}

// pick returns the backend server with the lowest expected cost and begins the request on it. It returns nil where
// there is none. wait is the shortest time until a slot is free where no backend server can answer in time.
func (s *service) pick(r *Request, deadline time.Time, tried map[string]bool, now time.Time) (res *reservation, wait time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	var best, shortestWait choice
	for _, candidate := range s.servers {
		if candidate.IsDraining || tried[candidate.ID] {
			continue
		}
		c := s.assess(candidate, r, deadline, now)
		if c.canAnswerInTime && (best.server == nil || c.cost < best.cost) {
			best = c
		}
		if shortestWait.server == nil || c.wait < shortestWait.wait {
			shortestWait = c
		}
	}
	if best.server == nil {
		return nil, shortestWait.wait
	}
	return s.reserve(best, now), 0
}

// assess returns the expected cost of sending the request to a backend server.
func (s *service) assess(at *server, r *Request, deadline, now time.Time) choice {
	slowdown, load := at.slowdown(now), at.load(now)
	wait := s.expectedWait(at, load, slowdown)
	openLogRatio := s.openLogRatio(at, slowdown, now)
	failProbability := eitherProbability(at.estimate.FailureProbability(now, openLogRatio), at.path.FailureProbability(now, openLogRatio))
	lateProbability := s.durations.ExceedProbability(r.Target.TargetLatency-now.Sub(r.Arrival)-wait, slowdown)
	cost := failCost(r.Target, failProbability)*failProbability + (1-failProbability)*lateCost*lateProbability + occupancyCost*float64(load)/float64(at.Slots) +
		s.distanceCost(at) + at.transientCost(now) + jitter()
	bonus := 0.0
	if s.isIdle(at, now) {
		bonus = s.trialBonus(at, now)
	}
	return choice{
		server: at, cost: cost - bonus, wait: wait, isTrial: bonus > 0, canAnswerInTime: now.Add(wait).Before(deadline),
	}
}

// slowdown is how many times as long as usual the backend server takes.
func (s *server) slowdown(now time.Time) float64 {
	factor := s.slowness.Factor(now)
	if now.Before(s.warmupUntil) {
		factor *= warmupSlowdown
	}
	return factor
}

// expectedWait is how long another request waits for a slot of a backend server.
func (s *service) expectedWait(at *server, load int, factor float64) time.Duration {
	over := load - at.Slots + 1
	if over <= 0 {
		return 0
	}
	return time.Duration(float64(s.durations.Mean()) * factor * float64(over) / float64(at.Slots))
}

// openLogRatio is the log likelihood ratio, sick against sound, of the requests that this VM has open at a backend server.
func (s *service) openLogRatio(at *server, factor float64, now time.Time) float64 {
	sum := 0.0
	for _, started := range at.open {
		sum += s.durations.OpenLogRatio(time.Duration(float64(now.Sub(started)) / max(factor, 1)))
	}
	return sum
}

// transientCost is the cost of a new connection and of a refusal just now, less what speaks for a backend server that has
// joined and got nothing yet.
func (s *server) transientCost(now time.Time) float64 {
	cost := 0.0
	if !s.pool.HasIdle() {
		cost += connectCost
	}
	if now.Before(s.shedUntil) {
		cost += shedCost
	}
	if !s.joined.IsZero() && s.lastUsed.IsZero() && now.Sub(s.joined) < joinWindow {
		cost -= joinBonus
	}
	return cost
}

// failCost is what a failure costs. Another attempt makes that of an idempotent request good, but not where backend
// servers as likely to fail are all that is left.
func failCost(t *route.Target, failProbability float64) float64 {
	if t.Kind == route.Idempotent && t.MaxAttempts > 1 {
		return retryableFailCost + (1-retryableFailCost)*failProbability
	}
	return 1
}

// eitherProbability returns the probability that at least one of two independent faults strikes.
func eitherProbability(a, b float64) float64 { return 1 - (1-a)*(1-b) }

// distanceCost is the cost of the way to a backend server.
func (s *service) distanceCost(at *server) float64 {
	kb := s.meanBytes / 1024
	switch {
	case at.Zone == s.options.Zone:
		return 0
	case s.options.Regions[at.Zone] == s.options.Region:
		return zoneCost + zoneCostPerKB*kb
	default:
		return regionCost + regionCostPerKB*kb
	}
}

// jitter breaks ties between backend servers of equal cost.
func jitter() float64 { return tieBreak * rand.Float64() }
