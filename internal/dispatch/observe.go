package dispatch

import (
	"time"

	"github.com/primroseladder/primroseladder/internal/evidence"
	"github.com/primroseladder/primroseladder/internal/logevent"
)

// reservation is a request that is open at a backend server.
type reservation struct {
	service *service
	// server is guarded by the lock of its service; id and pool are copies from when it was picked.
	server *server
	id     string
	pool   ConnectionPool
	// said is what the backend server says about itself in its answer.
	said Statement
	// pause is the time for which the backend server wants nothing more from this VM.
	pause   time.Duration
	openID  uint64
	started time.Time
	// isTrial is set if the backend server was picked to keep it in service.
	isTrial bool
	// unhealthyProbability is that of the backend server when it was picked.
	unhealthyProbability float64
}

// reserve opens a request at a backend server. The caller must hold the service's lock.
func (s *service) reserve(c choice, now time.Time) *reservation {
	chosen := c.server
	s.nextOpenID++
	chosen.open[s.nextOpenID] = now
	chosen.lastUsed = now
	chosen.advice.limit.count(now)
	s.options.ShareEvidence(Evidence{Service: s.name, Server: chosen.ID, Open: len(chosen.open), IsStart: true})
	return &reservation{
		service: s, server: chosen, id: chosen.ID, pool: chosen.pool, openID: s.nextOpenID, started: now,
		said:    Statement{Incarnation: chosen.Incarnation},
		isTrial: c.isTrial, unhealthyProbability: chosen.estimate.UnhealthyProbability(now),
	}
}

// shedPause is how long a backend server that refused a request is avoided if there is another choice.
const shedPause = 150 * time.Millisecond

// complete ends the request with an outcome. bytes is the size of request and answer, 0 if it should not be counted.
func (r *reservation) complete(outcome evidence.Outcome, bytes int) {
	s, now := r.service, time.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(r.server.open, r.openID)
	took := now.Sub(r.started)
	r.server.observePath(outcome, now)
	isTransition := s.observe(r.server, outcome, took, now)
	if s.isServing {
		s.evidenceAt = now
	}
	isNews := s.adopt(r.id, r.said, r.started, now)
	if r.pause > 0 {
		r.server.advice.pause(r.pause, now)
		logevent.BackendPaused.Log(s.options.Log).Str("service", s.name).Str("server", r.id).Dur("pause_ms", r.pause).Send()
	}
	if !s.wasLimited(r.id, r.said.Incarnation) {
		// Nobody needs to hear that there is still no limit.
		r.said.HasNoLimit = false
	}
	s.countOutcome(outcome, r.isTrial, now)
	if bytes > 0 {
		s.updateMeanBytes(float64(bytes))
	}
	s.options.ShareEvidence(Evidence{
		Service: s.name, Server: r.server.ID, Open: len(r.server.open), HasOutcome: true, Outcome: outcome, Took: took,
		IsTrial: r.isTrial, IsHealthTransition: isTransition, Statement: r.said, IsNews: isNews,
	})
}

// completeFailed ends the request with a failure. Its duration determines the kind of failure.
func (r *reservation) completeFailed() {
	now := time.Now()
	r.service.mu.Lock()
	outcome := r.service.durations.Classify(evidence.Failure, now.Sub(r.started), r.server.slowdown(now))
	r.service.mu.Unlock()
	r.complete(outcome, 0)
}

// release ends the request without an outcome, when its end says nothing about the backend server.
func (r *reservation) release() {
	r.service.mu.Lock()
	defer r.service.mu.Unlock()
	delete(r.server.open, r.openID)
	r.service.options.ShareEvidence(Evidence{Service: r.service.name, Server: r.server.ID, Open: len(r.server.open)})
}

// updateMeanBytes updates the moving mean of the size of a request and its answer. The first size is taken as it is:
// starting from 0, the first requests of a service would be sent to other regions as if traffic were free.
func (s *service) updateMeanBytes(bytes float64) {
	if s.meanBytes == 0 {
		s.meanBytes = bytes
	}
	s.meanBytes += meanBytesWeight * (bytes - s.meanBytes)
}

// meanBytesWeight is the weight of a new request in meanBytes.
const meanBytesWeight = 0.05

// observe updates the estimates with an outcome and reports whether it changed the state of the backend server from
// healthy to unhealthy or back. The caller must hold the service's lock.
func (s *service) observe(srv *server, outcome evidence.Outcome, took time.Duration, now time.Time) (isTransition bool) {
	weight := 1.0
	if mayBePathFault(outcome) {
		weight = pathOutcomeWeight
	}
	before := srv.estimate.UnhealthyProbability(now)
	srv.estimate.Observe(now, outcome, weight)
	after := srv.estimate.UnhealthyProbability(now)
	switch outcome {
	case evidence.Success:
		slowdown := 1.0
		if now.Before(srv.warmupUntil) {
			slowdown = warmupSlowdown
		}
		warmDuration := time.Duration(float64(took) / slowdown)
		srv.slowness.Observe(now, warmDuration, &s.durations)
		s.durations.Observe(warmDuration)
	case evidence.Unreachable:
		srv.unreachableAt = now
	case evidence.Shed:
		srv.shedUntil = now.Add(shedPause)
	}
	if before < unhealthyThreshold && after >= unhealthyThreshold {
		logevent.BackendUnhealthy.Log(s.options.Log).Str("service", s.name).Str("server", srv.ID).
			Float64("probability", after).Stringer("outcome", outcome).Float64("weight", weight).Send()
	}
	if before >= unhealthyThreshold && after < unhealthyThreshold {
		logevent.BackendHealthy.Log(s.options.Log).Str("service", s.name).Str("server", srv.ID).
			Float64("probability", after).Send()
	}
	return (before < unhealthyThreshold) != (after < unhealthyThreshold)
}

// countOutcome counts an outcome for the share of failures. Trials are not counted: they fail more often, since
// they include backend servers that are considered unhealthy.
func (s *service) countOutcome(outcome evidence.Outcome, isTrial bool, now time.Time) {
	if !isTrial {
		s.recent.add(now, outcome != evidence.Success && outcome != evidence.Shed)
	}
}

// unhealthyThreshold is the probability from which a backend server is considered unhealthy.
const unhealthyThreshold = 0.5

// pathOutcomeWeight is the weight, in the estimate of a backend server, of outcomes that a fault on the path from one
// VM can cause.
const pathOutcomeWeight = 0.25

// mayBePathFault reports whether a fault on the network path can cause the outcome.
func mayBePathFault(o evidence.Outcome) bool { return o == evidence.Unreachable || o == evidence.Hung }

// observePath updates the estimate of the path with the outcome of a request of this VM.
func (srv *server) observePath(o evidence.Outcome, now time.Time) {
	if mayBePathFault(o) || o == evidence.Success {
		srv.path.Observe(now, o, 1)
	}
}

// receiveEvidence applies the evidence of a peer.
func (s *service) receiveEvidence(peer string, e Evidence, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.adopt(e.Server, e.Statement, now.Add(-e.Took), now)
	srv := s.servers[e.Server]
	if srv == nil {
		return
	}
	s.evidenceAt = now
	srv.peerOpen[peer] = peerCount{open: e.Open, at: now}
	if e.IsStart {
		srv.advice.limit.count(now)
	}
	if !e.HasOutcome {
		srv.lastUsed = now
		return
	}
	s.observe(srv, e.Outcome, e.Took, now)
	s.countOutcome(e.Outcome, e.IsTrial, now)
}

// receiveHealthTransition applies an outcome from another region. Such evidence does not update the load of the
// backend server, and its outcome does not count in this region's share of failures.
func (s *service) receiveHealthTransition(e Evidence, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.adopt(e.Server, e.Statement, now.Add(-e.Took), now)
	if srv := s.servers[e.Server]; srv != nil && e.HasOutcome {
		s.observe(srv, e.Outcome, e.Took, now)
	}
}
