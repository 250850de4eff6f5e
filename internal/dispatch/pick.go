package dispatch

import (
	"math"
	"math/rand/v2"
	"time"

	"github.com/primroseladder/primroseladder/internal/evidence"
	"github.com/primroseladder/primroseladder/internal/route"
	"github.com/primroseladder/primroseladder/internal/workload"
)

// The costs of sending a request to a backend server, relative to the cost of a failure.
const (
	// lateCost is the cost of a late answer. A late answer still earns a third to a half of a timely one, and the users
	// weigh the share of requests that is served at all as much as the total payoff.
	lateCost = 0.3
	// retryableFailCost is the cost, in time and retry budget, of a failure that a retry can repair.
	retryableFailCost = 0.4
	// zoneCost and regionCost are the costs of leaving the zone and the region, whatever the size.
	zoneCost   = 0.004
	regionCost = 0.05
	// zoneCostPerKB and regionCostPerKB are the costs per KB of request and answer, from the users' prices.
	zoneCostPerKB   = 0.008
	regionCostPerKB = 0.055
	// connectCost is the cost of opening a connection. By the users' prices it is 0.017 to 0.084 for a request worth 1
	// to 3.
	connectCost = 0.015
	// occupancyCost is the cost of a backend server whose slots are all busy. With fewer busy slots the cost is
	// proportionally lower, since some backend servers slow down when they are nearly full, and since other VMs may have sent
	// requests of which this VM has not heard yet.
	occupancyCost = 0.03
	// waitCost is the cost of an expected wait for a slot that is as long as the target latency. A shorter one costs
	// proportionally less: it may be longer than expected, and so may be the request itself.
	waitCost = lateCost
	// shedCost is the cost of a backend server that refused a request within shedPause.
	shedCost = 0.3
	// tieBreak is the upper limit of the random part of the cost. It is about the cost of leaving the zone, and keeps VMs that
	// know the same from all choosing the same backend server before they hear of each other's requests.
	tieBreak = 0.012
	// joinBonus makes the dispatcher send a first request to a backend server that has just joined.
	joinBonus = 0.3
	// warmupSlowdown is how many times as long as usual a backend server that has just started takes for a request.
	warmupSlowdown = 2.0
)

// joinWindow is how long a backend server that got no request counts as just joined.
const joinWindow = 8 * time.Second

// choice is a backend server with the expected cost of sending the request to it.
type choice struct {
	server *server
	cost   float64
	// wait is the expected time until a slot is free.
	wait time.Duration
	// isTrial is set if the cost was reduced by trialBonus to keep the backend server in service.
	isTrial bool
	// canStartInTime is set if a slot is expected to be free before the deadline.
	canStartInTime bool
}

// pick reserves the backend server with the lowest expected cost. It returns nil and the reason if none can start the request
// before the deadline. Near backend servers come first, so that most others are passed over by their minimum cost: assessing
// all of them for each request takes half a millisecond in a service of 650.
func (s *service) pick(r *Request, deadline time.Time, tried map[string]bool) (res *reservation, why refusal) {
	asked := time.Now()
	s.lock()
	defer s.unlock()
	now := time.Now()
	s.options.ReportWait(now.Sub(asked))
	if !now.Before(deadline) {
		return nil, refusal{isPastDeadline: true}
	}
	s.isServing = s.options.Serves(s.name)
	class := workload.ClassOf(r.Method, r.Target.Host, r.Target.Prefix, len(r.Body))
	model, bytes := s.work.Of(class), s.work.MeanBytes(class)
	var best choice
	for _, candidate := range s.byDistance {
		if wait, ok := s.admission(candidate, now); !ok || wait > 0 {
			why.add(wait)
			why.isAdvised = why.isAdvised || wait > 0
			continue
		}
		if tried[candidate.ID] {
			continue
		}
		if best.server != nil && s.minCost(candidate, r.Target, bytes, now) >= best.cost {
			continue
		}
		c := s.assess(candidate, r, model, bytes, deadline, now)
		if c.canStartInTime && (best.server == nil || c.cost < best.cost) {
			best = c
		}
		why.add(c.wait)
	}
	if best.server == nil {
		return nil, why
	}
	return s.reserve(best, class, now), why
}

// refusal describes why no backend server can be picked.
type refusal struct {
	// wait is the shortest expected time until one can, 0 if there is no candidate.
	wait time.Duration
	// isAdvised is set if a backend server has asked for a wait: its limit is reached, or it wants no requests for a time.
	isAdvised bool
	// isPastDeadline is set if the deadline has passed.
	isPastDeadline bool
}

func (r *refusal) add(wait time.Duration) {
	if wait > 0 && (r.wait == 0 || wait < r.wait) {
		r.wait = wait
	}
}

// minCost returns a lower limit of the cost of a backend server that needs no estimate: that of its distance and of the
// failures of a healthy server. It is minus infinity for a server that may get a bonus.
func (s *service) minCost(srv *server, t *route.Target, bytes float64, now time.Time) float64 {
	if s.isIdle(srv, t, now) || isNew(srv, now) {
		return math.Inf(-1)
	}
	const least = evidence.MinFailureProbability
	return s.distanceCost(srv, bytes) + failCost(t, least)*least
}

// isNew reports whether the backend server has joined a running service and got no request yet.
func isNew(srv *server, now time.Time) bool {
	return !srv.joined.IsZero() && srv.lastUsed.IsZero() && now.Sub(srv.joined) < joinWindow
}

// assess returns the expected cost of sending a request to a backend server. model and bytes are the model of its class and the
// mean size of its requests and answers.
func (s *service) assess(
	srv *server, r *Request, model *workload.ClassModel, bytes float64, deadline, now time.Time,
) choice {
	slowdown := srv.slowdown(now)
	load := srv.load(now)
	wait := s.expectedWait(srv, load, slowdown, now)
	openLogRatio := s.openLogRatio(srv, slowdown, now)
	failProbability := eitherProbability(
		srv.estimate.FailureProbability(now, openLogRatio), srv.path.FailureProbability(now, openLogRatio),
	)
	lateProbability := lateProbability(model, r.Target.TargetLatency-now.Sub(r.Arrival), wait, slowdown)
	cost := failCost(r.Target, failProbability)*failProbability + (1-failProbability)*lateCost*lateProbability +
		occupancyCost*float64(load)/float64(max(1, srv.Slots)) + waitCost*min(1, float64(wait)/float64(max(1, r.Target.TargetLatency))) +
		s.distanceCost(srv, bytes) + srv.transientCost(now) + jitter()
	bonus := 0.0
	if s.isIdle(srv, r.Target, now) {
		bonus = s.trialBonus(srv, now)
	}
	return choice{
		server: srv, cost: cost - bonus, wait: wait, isTrial: bonus > 0, canStartInTime: now.Add(wait).Before(deadline),
	}
}

// slowdown returns how many times as long as usual the backend server takes for a request.
func (srv *server) slowdown(now time.Time) float64 {
	factor := srv.slowness.Factor(now)
	if now.Before(srv.warmupUntil) {
		factor *= warmupSlowdown
	}
	return factor
}

// expectedWait returns how long another request is expected to wait for a slot of a backend server.
func (s *service) expectedWait(srv *server, load int, slowdown float64, now time.Time) time.Duration {
	if load < srv.Slots {
		return 0
	}
	return srv.queue.ExpectedWait(&s.work, slowdown, srv.Slots, srv.unseen(now), now)
}

// lateProbability returns the probability that a request with the model of its class takes longer than left, if its wait for a
// slot is expected to take wait. How long the requests before it run is as uncertain as its own duration.
func lateProbability(model *workload.ClassModel, left, wait time.Duration, slowdown float64) float64 {
	if wait == 0 {
		return model.Durations.ExceedProbability(left, slowdown)
	}
	sum := 0.0
	for _, part := range waitQuantiles {
		sum += model.Durations.ExceedProbability(left-time.Duration(part*float64(wait)), slowdown)
	}
	return sum / float64(len(waitQuantiles))
}

// waitQuantiles are quantiles of the wait for a slot, in multiples of the expected one: those of equal thirds of an exponential
// distribution.
var waitQuantiles = [...]float64{0.19, 0.72, 2.09}

// openLogRatio returns the log likelihood ratio, unhealthy against healthy, of the requests that this VM has open at a
// backend server.
func (s *service) openLogRatio(srv *server, slowdown float64, now time.Time) float64 {
	sum := 0.0
	srv.queue.EachOwn(now, func(class workload.Class, age time.Duration) {
		sum += s.work.Of(class).Usual.OpenLogRatio(time.Duration(float64(age) / max(slowdown, 1)))
	})
	return sum
}

// transientCost returns the cost of a new connection and of a recent refusal, minus the bonus of a backend server that
// has joined and got no request yet.
func (srv *server) transientCost(now time.Time) float64 {
	cost := 0.0
	if !srv.pool.HasIdle() {
		cost += connectCost
	}
	if now.Before(srv.shedUntil) {
		cost += shedCost * srv.shedWeight
	}
	if isNew(srv, now) {
		cost -= joinBonus
	}
	return cost
}

// canRepairFailure reports whether a retry may follow a failure.
func canRepairFailure(t *route.Target) bool { return t.Kind == route.Idempotent && t.MaxAttempts > 1 }

// failCost returns the cost of a failure. A retry can repair the failure of an idempotent request, but not if the
// remaining backend servers are as likely to fail.
func failCost(t *route.Target, failProbability float64) float64 {
	if canRepairFailure(t) {
		return retryableFailCost + (1-retryableFailCost)*failProbability
	}
	return 1
}

// eitherProbability returns the probability of at least one of two independent faults.
func eitherProbability(a, b float64) float64 { return 1 - (1-a)*(1-b) }

// distance is how far a backend server is from this VM.
type distance int

const (
	sameZone distance = iota
	sameRegion
	otherRegion
)

func (s *service) distance(srv *server) distance {
	switch {
	case srv.Zone == s.options.Zone:
		return sameZone
	case s.options.Regions[srv.Zone] == s.options.Region:
		return sameRegion
	default:
		return otherRegion
	}
}

// distanceCost returns the cost of the traffic of a request and its answer to a backend server in another zone or region.
func (s *service) distanceCost(srv *server, bytes float64) float64 {
	kb := bytes / 1024
	switch s.distance(srv) {
	case sameZone:
		return 0
	case sameRegion:
		return zoneCost + zoneCostPerKB*kb
	default:
		return regionCost + regionCostPerKB*kb
	}
}

// jitter returns a random cost that breaks ties between equal backend servers.
func jitter() float64 { return tieBreak * rand.Float64() }
