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
	// healthAnswerWait is how long a request waits for what other VMs know. A round trip inside a region takes 3 ms.
	healthAnswerWait = 40 * time.Millisecond
	// maxReportedServers limits the backend servers in one answer, which has to fit into a datagram.
	maxReportedServers = 80
	// minReportedUnhealthy is the unhealthy probability from which a backend server is reported.
	minReportedUnhealthy = 0.35
)

// ServerHealth is the unhealthy probability of a backend server.
type ServerHealth struct {
	Server    string
	Unhealthy float64
}

// healthQuestion is a question to other VMs.
type healthQuestion struct {
	askedAt time.Time
	// answered is closed when an answer has arrived.
	answered chan struct{}
}

// ensureEvidence asks the VMs that serve the service which backend servers are unhealthy, unless this VM has evidence of its
// own, and waits for the first answer. Without it, a VM that seldom gets requests would choose among unhealthy backend
// servers as if nothing were known.
func (s *service) ensureEvidence(ctx context.Context, now time.Time) {
	s.mu.Lock()
	question := s.question
	isKnown := now.Sub(s.evidenceAt) < evidenceLifetime
	mustAsk := !isKnown && now.Sub(question.askedAt) >= evidenceLifetime
	if mustAsk {
		question = healthQuestion{askedAt: now, answered: make(chan struct{})}
		s.question = question
	}
	s.mu.Unlock()
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

// UnhealthyServers returns the backend servers of a service that are likely to be unhealthy, the likeliest first. It returns
// false if this VM has no evidence on the service itself.
func (d *Dispatcher) UnhealthyServers(service string) ([]ServerHealth, bool) {
	s := d.service(service)
	if s == nil {
		return nil, false
	}
	now := time.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	if now.Sub(s.evidenceAt) >= evidenceLifetime {
		return nil, false
	}
	var out []ServerHealth
	for id, srv := range s.servers {
		if p := srv.estimate.UnhealthyProbability(now); p >= minReportedUnhealthy {
			out = append(out, ServerHealth{id, p})
		}
	}
	slices.SortFunc(out, func(a, b ServerHealth) int { return cmp.Compare(b.Unhealthy, a.Unhealthy) })
	return out[:min(len(out), maxReportedServers)], true
}

// ReceiveHealth applies the answer of another VM to a question of this one.
func (d *Dispatcher) ReceiveHealth(service string, unhealthy []ServerHealth) {
	s := d.service(service)
	if s == nil {
		return
	}
	now := time.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, h := range unhealthy {
		if srv := s.servers[h.Server]; srv != nil {
			srv.estimate.Adopt(now, h.Unhealthy, evidenceLifetime)
		}
	}
	s.evidenceAt = now
	if s.question.answered != nil {
		close(s.question.answered)
		s.question.answered = nil
	}
}
