package dispatch

import (
	"time"

	"github.com/primroseladder/primroseladder/internal/evidence"
	"github.com/primroseladder/primroseladder/internal/logevent"
)

// reservation is a request at a backend server.
type reservation struct {
	service *service
	// server changes under the lock of its service; id and connections are of the moment of the choice.
	server  *server
	id      string
	pool    ConnectionPool
	openID  uint64
	started time.Time
	// isTrial tells that the backend server was chosen to keep it in service.
	isTrial bool
	// unhealthyProbability is the probability of being unhealthyProbability that the backend server was chosen with.
	unhealthyProbability float64
}

// reserve notes a request at a backend server. The service's lock is held.
func (s *service) reserve(c choice, now time.Time) *reservation {
	chosen := c.server
	s.nextOpenID++
	chosen.open[s.nextOpenID] = now
	chosen.lastUsed = now
	s.options.ShareEvidence(Evidence{Service: s.name, Server: chosen.ID, Open: len(chosen.open)})
	return &reservation{
		service: s, server: chosen, id: chosen.ID, pool: chosen.pool, openID: s.nextOpenID, started: now,
		isTrial: c.isTrial, unhealthyProbability: chosen.estimate.UnhealthyProbability(now),
	}
}

// shedPause is how long a backend server that refused a request gets no other one while there is a choice.
const shedPause = 150 * time.Millisecond

// complete notes the outcome of a request.
func (r *reservation) complete(outcome evidence.Outcome, bytes int) {
	s, now := r.service, time.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(r.server.open, r.openID)
	took := now.Sub(r.started)
	r.server.observePath(outcome, now)
	isTransition := s.observe(r.server, outcome, took, now)
	s.countOutcome(outcome, r.isTrial, now)
	if bytes > 0 {
		s.updateMeanBytes(float64(bytes))
	}
	s.options.ShareEvidence(Evidence{
		Service: s.name, Server: r.server.ID, Open: len(r.server.open), HasOutcome: true, Outcome: outcome, Took: took,
		IsTrial: r.isTrial, IsHealthTransition: isTransition,
	})
}

// completeFailed notes a failure, whose time tells what kind it is.
func (r *reservation) completeFailed() {
	now := time.Now()
	r.service.mu.Lock()
	outcome := r.service.durations.Classify(evidence.Failure, now.Sub(r.started), r.server.slowdown(now))
	r.service.mu.Unlock()
	r.complete(outcome, 0)
}

// release notes the end of a request that says nothing of the backend server, because its caller is gone.
func (r *reservation) release() {
	r.service.mu.Lock()
	defer r.service.mu.Unlock()
	delete(r.server.open, r.openID)
	r.service.options.ShareEvidence(Evidence{Service: r.service.name, Server: r.server.ID, Open: len(r.server.open)})
}

// updateMeanBytes takes the size of a request and its answer into account. The first one replaces the guess of none, so that
// the first requests of a service do not leave the region as if they were free.
func (s *service) updateMeanBytes(bytes float64) {
	if s.meanBytes == 0 {
		s.meanBytes = bytes
	}
	s.meanBytes += meanBytesWeight * (bytes - s.meanBytes)
}

// meanBytesWeight is the weight of a new request in the moving mean of bytes.
const meanBytesWeight = 0.05

// observe takes an outcome into account and reports whether it has turned the backend server from sound to sick or back.
// The service's lock is held.
func (s *service) observe(at *server, outcome evidence.Outcome, took time.Duration, now time.Time) (isTransition bool) {
	weight := 1.0
	if mayBePathFault(outcome) {
		weight = pathOutcomeWeight
	}
	before := at.estimate.UnhealthyProbability(now)
	at.estimate.Observe(now, outcome, weight)
	after := at.estimate.UnhealthyProbability(now)
	switch outcome {
	case evidence.Success:
		slowdown := 1.0
		if now.Before(at.warmupUntil) {
			slowdown = warmupSlowdown
		}
		warmDuration := time.Duration(float64(took) / slowdown)
		at.slowness.Observe(now, warmDuration, &s.durations)
		s.durations.Observe(warmDuration)
	case evidence.Unreachable:
		at.unreachableAt = now
	case evidence.Shed:
		at.shedUntil = now.Add(shedPause)
	}
	if before < unhealthyThreshold && after >= unhealthyThreshold {
		logevent.BackendSick.Log(s.options.Log).Str("service", s.name).Str("server", at.ID).
			Float64("probability", after).Stringer("outcome", outcome).Float64("weight", weight).Send()
	}
	if before >= unhealthyThreshold && after < unhealthyThreshold {
		logevent.BackendSound.Log(s.options.Log).Str("service", s.name).Str("server", at.ID).
			Float64("probability", after).Send()
	}
	return (before < unhealthyThreshold) != (after < unhealthyThreshold)
}

// countOutcome counts an outcome for the share of failures. Trials are left out: they fail because they are trials.
func (s *service) countOutcome(outcome evidence.Outcome, isTrial bool, now time.Time) {
	if !isTrial {
		s.recent.add(now, outcome != evidence.Success && outcome != evidence.Shed)
	}
}

// unhealthyThreshold is the probability from which on a backend server is reported as sick.
const unhealthyThreshold = 0.5

// pathOutcomeWeight is the weight for a backend server of what may be due to the path from one VM alone.
const pathOutcomeWeight = 0.25

// mayBePathFault reports whether an outcome may be due to the path.
func mayBePathFault(o evidence.Outcome) bool { return o == evidence.Unreachable || o == evidence.Hung }

// observePath takes an outcome of this VM's own request into account for its path.
func (s *server) observePath(o evidence.Outcome, now time.Time) {
	if mayBePathFault(o) || o == evidence.Success {
		s.path.Observe(now, o, 1)
	}
}

// receiveEvidence takes the evidence of a peer.
func (s *service) receiveEvidence(peer string, e Evidence, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	at := s.servers[e.Server]
	if at == nil {
		return
	}
	at.peerOpen[peer] = peerCount{open: e.Open, at: now}
	if !e.HasOutcome {
		at.lastUsed = now
		return
	}
	s.observe(at, e.Outcome, e.Took, now)
	s.countOutcome(e.Outcome, e.IsTrial, now)
}

// receiveHealthTransition takes an outcome from another region. It says nothing of the load, and is no sample of the failures here.
func (s *service) receiveHealthTransition(e Evidence, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if at := s.servers[e.Server]; at != nil && e.HasOutcome {
		s.observe(at, e.Outcome, e.Took, now)
	}
}
