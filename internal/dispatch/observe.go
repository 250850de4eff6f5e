package dispatch

import (
	"time"

	"github.com/primroseladder/primroseladder/internal/evidence"
	"github.com/primroseladder/primroseladder/internal/logevent"
)

// hold is a request at a backend server.
type hold struct {
	service *service
	// server changes under the lock of its service; id and connections are of the moment of the choice.
	server      *server
	id          string
	connections ConnectionPool
	number      uint64
	started     time.Time
	// isTrial tells that the backend server was chosen to keep it in service.
	isTrial bool
	// sick is the probability of being sick that the backend server was chosen with.
	sick float64
}

// begin notes a request at a backend server. The service's lock is held.
func (s *service) begin(c choice, now time.Time) *hold {
	chosen := c.server
	s.nextOpen++
	chosen.open[s.nextOpen] = now
	chosen.lastUsed = now
	s.options.ShareEvidence(Evidence{Service: s.name, Server: chosen.ID, Open: len(chosen.open)})
	return &hold{
		service: s, server: chosen, id: chosen.ID, connections: chosen.pool, number: s.nextOpen, started: now,
		isTrial: c.isTrial, sick: chosen.estimate.UnhealthyProbability(now),
	}
}

// shedPause is how long a backend server that refused a request gets no other one while there is a choice.
const shedPause = 150 * time.Millisecond

// end notes the outcome of a request.
func (h *hold) end(outcome evidence.Outcome, bytes int) {
	s, now := h.service, time.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(h.server.open, h.number)
	took := now.Sub(h.started)
	h.server.observePath(outcome, now)
	isTurn := s.observe(h.server, outcome, took, now)
	s.countOutcome(outcome, h.isTrial, now)
	if bytes > 0 {
		s.learnBytes(float64(bytes))
	}
	s.options.ShareEvidence(Evidence{
		Service: s.name, Server: h.server.ID, Open: len(h.server.open), HasOutcome: true, Outcome: outcome, Took: took,
		IsTrial: h.isTrial, IsHealthTransition: isTurn,
	})
}

// endFailed notes a failure, whose time tells what kind it is.
func (h *hold) endFailed() {
	now := time.Now()
	h.service.mu.Lock()
	outcome := h.service.durations.Classify(evidence.Failure, now.Sub(h.started), h.server.factor(now))
	h.service.mu.Unlock()
	h.end(outcome, 0)
}

// abandon notes the end of a request that says nothing of the backend server, because its caller is gone.
func (h *hold) abandon() {
	h.service.mu.Lock()
	defer h.service.mu.Unlock()
	delete(h.server.open, h.number)
	h.service.options.ShareEvidence(Evidence{Service: h.service.name, Server: h.server.ID, Open: len(h.server.open)})
}

// learnBytes takes the size of a request and its answer into account. The first one replaces the guess of none, so that
// the first requests of a service do not leave the region as if they were free.
func (s *service) learnBytes(bytes float64) {
	if s.meanBytes == 0 {
		s.meanBytes = bytes
	}
	s.meanBytes += bytesWeight * (bytes - s.meanBytes)
}

// bytesWeight is the weight of a new request in the moving mean of bytes.
const bytesWeight = 0.05

// observe takes an outcome into account and reports whether it has turned the backend server from sound to sick or back.
// The service's lock is held.
func (s *service) observe(at *server, outcome evidence.Outcome, took time.Duration, now time.Time) (isTurn bool) {
	weight := 1.0
	if isOfPath(outcome) {
		weight = pathTrust
	}
	before := at.estimate.UnhealthyProbability(now)
	at.estimate.Observe(now, outcome, weight)
	after := at.estimate.UnhealthyProbability(now)
	switch outcome {
	case evidence.Success:
		cold := 1.0
		if now.Before(at.coldUntil) {
			cold = coldFactor
		}
		warm := time.Duration(float64(took) / cold)
		at.slowness.Observe(now, warm, &s.durations)
		s.durations.Observe(warm)
	case evidence.Unreachable:
		at.unreachableAt = now
	case evidence.Shed:
		at.shedUntil = now.Add(shedPause)
	}
	if before < sickThreshold && after >= sickThreshold {
		logevent.BackendSick.Log(s.options.Log).Str("service", s.name).Str("server", at.ID).
			Float64("probability", after).Stringer("outcome", outcome).Float64("weight", weight).Send()
	}
	if before >= sickThreshold && after < sickThreshold {
		logevent.BackendSound.Log(s.options.Log).Str("service", s.name).Str("server", at.ID).
			Float64("probability", after).Send()
	}
	return (before < sickThreshold) != (after < sickThreshold)
}

// countOutcome counts an outcome for the share of failures. Trials are left out: they fail because they are trials.
func (s *service) countOutcome(outcome evidence.Outcome, isTrial bool, now time.Time) {
	if !isTrial {
		s.recent.add(now, outcome != evidence.Success && outcome != evidence.Shed)
	}
}

// sickThreshold is the probability from which on a backend server is reported as sick.
const sickThreshold = 0.5

// pathTrust is the weight for a backend server of what may be due to the path from one VM alone.
const pathTrust = 0.25

// isOfPath reports whether an outcome may be due to the path.
func isOfPath(o evidence.Outcome) bool { return o == evidence.Unreachable || o == evidence.Hung }

// observePath takes an outcome of this VM's own request into account for its path.
func (s *server) observePath(o evidence.Outcome, now time.Time) {
	if isOfPath(o) || o == evidence.Success {
		s.path.Observe(now, o, 1)
	}
}

// hear takes the evidence of a peer.
func (s *service) hear(peer string, e Evidence, now time.Time) {
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

// hearTurn takes an outcome from another region. It says nothing of the load, and is no sample of the failures here.
func (s *service) hearTurn(e Evidence, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if at := s.servers[e.Server]; at != nil && e.HasOutcome {
		s.observe(at, e.Outcome, e.Took, now)
	}
}
