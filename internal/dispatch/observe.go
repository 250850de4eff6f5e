package dispatch

import (
	"time"

	"github.com/primroseladder/primroseladder/internal/evidence"
	"github.com/primroseladder/primroseladder/internal/logevent"
	"github.com/primroseladder/primroseladder/internal/workload"
)

// reservation is a request that is open at a backend server.
type reservation struct {
	service *service
	// server is guarded by the lock of its service; id, address and pool are copies from when it was picked.
	server  *server
	id      string
	address string
	pool    ConnectionPool
	// said is what the backend server says about itself in its answer.
	said Statement
	// pause is the time for which the backend server wants nothing more from this VM.
	pause time.Duration
	// number identifies the request among those that this VM has open at the backend server.
	number  uint16
	class   workload.Class
	started time.Time
	// entryRevision is that of the entry by which the backend server was picked.
	entryRevision uint64
	// isTrial is set if the backend server was picked to keep it in service.
	isTrial bool
	// expectedWait is how long the request was expected to wait for a slot.
	expectedWait time.Duration
	// unhealthyProbability is that of the backend server when it was picked.
	unhealthyProbability float64
}

// reserve opens a request at a backend server. The caller must hold the service's lock.
func (s *service) reserve(c choice, class workload.Class, now time.Time) *reservation {
	chosen := c.server
	s.nextNumber++
	chosen.queue.Add(workload.RequestKey{Number: s.nextNumber}, class, chosen.Slots, now)
	chosen.lastUsed = now
	chosen.advice.limit.count(now)
	s.options.ShareEvidence(Evidence{
		Service: s.name, Server: chosen.ID, Open: chosen.queue.Own(), IsStart: true, Work: Work{class, s.nextNumber},
	})
	return &reservation{
		service: s, server: chosen, id: chosen.ID, address: chosen.Address, pool: chosen.pool, number: s.nextNumber, class: class, started: now,
		said: Statement{Incarnation: chosen.Incarnation}, entryRevision: chosen.Revision,
		isTrial: c.isTrial, expectedWait: c.wait, unhealthyProbability: chosen.estimate.UnhealthyProbability(now),
	}
}

// shedPause is how long a backend server that refused a request is avoided if there is another choice.
const shedPause = 150 * time.Millisecond

// complete ends the request with an outcome. bytes is the size of request and answer, 0 if it should not be counted.
func (r *reservation) complete(outcome evidence.Outcome, bytes int) {
	s, now := r.service, time.Now()
	s.lock()
	defer s.unlock()
	took := now.Sub(r.started)
	waited := r.removeFromQueue(now)
	r.server.observePath(outcome, now)
	isTransition := s.observe(r.server, outcome, r.class, took-waited, now)
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
		s.work.ObserveBytes(r.class, bytes)
	}
	s.options.ShareEvidence(Evidence{
		Service: s.name, Server: r.server.ID, Open: r.server.queue.Own(), HasOutcome: true, Outcome: outcome, Took: took,
		Work: Work{r.class, r.number}, IsTrial: r.isTrial, IsHealthTransition: isTransition, Statement: r.said, IsNews: isNews,
	})
}

// removeFromQueue removes the request from those that are open at the backend server, and returns how long it has waited there.
func (r *reservation) removeFromQueue(now time.Time) time.Duration {
	return r.server.queue.Remove(workload.RequestKey{Number: r.number}, r.server.Slots, now)
}

// completeFailed ends the request with a failure. Its duration determines the kind of failure.
func (r *reservation) completeFailed() {
	now := time.Now()
	r.service.lock()
	outcome := r.service.work.Of(r.class).Usual.Classify(evidence.Failure, now.Sub(r.started), r.server.slowdown(now))
	r.service.unlock()
	r.complete(outcome, 0)
}

// release ends the request without an outcome, when its end says nothing about the backend server.
func (r *reservation) release() {
	r.service.lock()
	defer r.service.unlock()
	r.removeFromQueue(time.Now())
	r.service.options.ShareEvidence(Evidence{
		Service: r.service.name, Server: r.server.ID, Open: r.server.queue.Own(), Work: Work{r.class, r.number},
	})
}

// observe updates the estimates with the outcome of a request that ran for ran, and reports whether it changed the state of the
// backend server from healthy to unhealthy or back. The caller must hold the service's lock.
func (s *service) observe(
	srv *server, outcome evidence.Outcome, class workload.Class, ran time.Duration, now time.Time,
) (isTransition bool) {
	weight := 1.0
	if mayBePathFault(outcome) {
		weight = pathOutcomeWeight
	}
	weight *= s.refusalWeight(outcome, now)
	before := srv.estimate.UnhealthyProbability(now)
	srv.estimate.Observe(now, outcome, weight)
	after := srv.estimate.UnhealthyProbability(now)
	switch outcome {
	case evidence.Success:
		slowdown := 1.0
		if now.Before(srv.warmupUntil) {
			slowdown = warmupSlowdown
		}
		warmDuration := time.Duration(float64(ran) / slowdown)
		srv.slowness.Observe(now, warmDuration, &s.work.Of(class).Usual)
		s.work.Observe(class, warmDuration)
	case evidence.Unreachable:
		srv.unreachableAt = now
	case evidence.Shed:
		srv.shedUntil, srv.shedWeight = now.Add(shedPause), weight
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

// applyEvidence applies the evidence of a peer. The caller must hold the service's lock.
func (s *service) applyEvidence(peer string, e Evidence, now time.Time) {
	s.countPeerRequest(peer, e, now)
	s.adopt(e.Server, e.Statement, now.Add(-e.Took), now)
	srv := s.servers[e.Server]
	if srv == nil {
		return
	}
	s.evidenceAt = now
	waited := s.receiveWork(srv, peer, e, now)
	if e.IsStart {
		srv.advice.limit.count(now)
	}
	if !e.HasOutcome {
		srv.lastUsed = now
		return
	}
	s.observe(srv, e.Outcome, e.Work.Class, max(0, e.Took-waited), now)
	s.countOutcome(e.Outcome, e.IsTrial, now)
}

// receiveWork applies the start or the end of a request of a peer to the queue of the backend server, and returns how long a
// request that has ended had waited there.
func (s *service) receiveWork(srv *server, peer string, e Evidence, now time.Time) (waited time.Duration) {
	if e.Work.Class != 0 {
		key := workload.RequestKey{Peer: peer, Number: e.Work.Number}
		if e.IsStart {
			srv.queue.Add(key, e.Work.Class, srv.Slots, now)
		} else {
			waited = srv.queue.Remove(key, srv.Slots, now)
		}
	}
	srv.queue.Reconcile(peer, e.Open, srv.Slots, now)
	return waited
}

// applyHealthTransition applies an outcome from another region. Such evidence does not update the load of the
// backend server, and its outcome does not count in this region's share of failures. The caller must hold the service's lock.
func (s *service) applyHealthTransition(e Evidence, now time.Time) {
	s.adopt(e.Server, e.Statement, now.Add(-e.Took), now)
	if srv := s.servers[e.Server]; srv != nil && e.HasOutcome {
		s.observe(srv, e.Outcome, e.Work.Class, e.Took, now)
	}
}
