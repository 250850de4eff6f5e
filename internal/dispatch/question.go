package dispatch

import (
	"cmp"
	"context"
	"slices"
	"time"

	"github.com/primroseladder/primroseladder/internal/periodic"
)

const (
	// evidenceLifetime is how long after the last evidence on a service this VM can judge its backend servers. The VMs that
	// serve a service receive evidence all the time; any other VM may get a request for it too.
	evidenceLifetime = 3 * time.Second
	// answerLifetime is how long after an answer a VM that gets no evidence asks again.
	answerLifetime = time.Second
	// healthAnswerWait is how long a request waits for what other VMs know. A round trip inside a region takes 3 ms.
	healthAnswerWait = 40 * time.Millisecond
	// maxReportedServers limits the healthy and the unhealthy backend servers in one answer, which has to fit into a datagram.
	maxReportedServers = 40
	// reportedLoadLifetime is how long the load of a backend server in an answer is valid.
	reportedLoadLifetime = time.Second
	// Backend servers with an unhealthy probability between maxReportedHealthy and minReportedUnhealthy are not reported: without
	// any evidence the probability lies there too.
	maxReportedHealthy   = 0.12
	minReportedUnhealthy = 0.35
)

// ServerHealth is what a VM knows of a backend server.
type ServerHealth struct {
	Server string
	// Unhealthy is the unhealthy probability.
	Unhealthy float64
	// Open is the number of requests that all VMs have open at the backend server.
	Open int
}

// healthQuestion is a question to other VMs.
type healthQuestion struct {
	askedAt time.Time
	// answered is closed when an answer has arrived.
	answered chan struct{}
}

// ensureEvidence asks the VMs that serve the service which backend servers are healthy and how busy they are, unless this VM
// serves the service itself or has recently heard of them, and waits for the first answer. Without it, a VM that seldom gets
// requests would choose among unhealthy and busy backend servers as if nothing were known.
func (s *service) ensureEvidence(ctx context.Context, now time.Time) {
	s.lock()
	question := s.question
	isKnown := now.Sub(s.evidenceAt) < answerLifetime
	mustAsk := !isKnown && now.Sub(question.askedAt) >= answerLifetime
	if mustAsk {
		question = healthQuestion{askedAt: now, answered: make(chan struct{})}
		s.question = question
	}
	s.unlock()
	if isKnown || question.answered == nil {
		return
	}
	if mustAsk && !s.options.AskHealth(s.name) {
		return
	}
	if left := question.askedAt.Add(healthAnswerWait).Sub(now); left > 0 {
		periodic.Await(ctx, question.answered, left)
	}
}

// KnownHealth returns the backend servers of a service that are most likely healthy, and those most likely unhealthy. It
// returns none if this VM has no evidence on the service itself, or if requests wait for the lock of the service: whoever receives the
// question must not wait behind them.
func (d *Dispatcher) KnownHealth(service string) []ServerHealth {
	s := d.service(service)
	if s == nil {
		return nil
	}
	now := time.Now()
	if !s.mu.TryLock() {
		return nil
	}
	defer s.unlock()
	s.applyNews()
	if now.Sub(s.evidenceAt) >= evidenceLifetime {
		return nil
	}
	var healthy, unhealthy []ServerHealth
	for id, srv := range s.servers {
		switch p := srv.estimate.UnhealthyProbability(now); {
		case p <= maxReportedHealthy:
			healthy = append(healthy, ServerHealth{id, p, srv.load(now)})
		case p >= minReportedUnhealthy:
			unhealthy = append(unhealthy, ServerHealth{id, p, srv.load(now)})
		}
	}
	slices.SortFunc(healthy, func(a, b ServerHealth) int { return cmp.Compare(a.Unhealthy, b.Unhealthy) })
	slices.SortFunc(unhealthy, func(a, b ServerHealth) int { return cmp.Compare(b.Unhealthy, a.Unhealthy) })
	healthy = healthy[:min(len(healthy), maxReportedServers)]
	return append(healthy, unhealthy[:min(len(unhealthy), maxReportedServers)]...)
}

// ReceiveHealth applies the answer of another VM to a question of this one. It is empty if the other VM has no evidence either.
func (d *Dispatcher) ReceiveHealth(service string, known []ServerHealth) {
	s := d.service(service)
	if s == nil {
		return
	}
	s.news.addReport(report{health: known, at: time.Now()})
	s.applyPending()
}

// applyHealth applies the answer of another VM. The caller must hold the service's lock.
func (s *service) applyHealth(known []ServerHealth, now time.Time) {
	for _, h := range known {
		if srv := s.servers[h.Server]; srv != nil {
			srv.estimate.Adopt(now, h.Unhealthy, answerLifetime/2)
			srv.reported = reportedLoad{open: h.Open, at: now}
		}
	}
	if len(known) > 0 {
		s.evidenceAt = now
	}
	if s.question.answered != nil {
		close(s.question.answered)
		s.question.answered = nil
	}
}
