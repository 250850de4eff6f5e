package dispatch

import (
	"time"

	"github.com/primroseladder/primroseladder/internal/evidence"
	"github.com/primroseladder/primroseladder/internal/logevent"
	"github.com/primroseladder/primroseladder/internal/room"
	"github.com/primroseladder/primroseladder/internal/workload"
)

// minFinishProbability is the probability of an answer before the deadline below which a request gets no retry.
const minFinishProbability = 0.5

// countRequest counts a new request of this VM.
func (s *service) countRequest() {
	s.lock()
	defer s.unlock()
	s.budget.AddRequest(time.Now())
}

// takeRetry takes one retry from the budget of the service and reports whether there was one for the request. The VMs that share
// the budget are told.
func (s *service) takeRetry(r *Request, deadline time.Time) bool {
	denied := s.denyRetry(r, deadline)
	s.options.RecordRetry(s.name, r.Priority, denied == "")
	if denied == "" {
		s.options.ShareEvidence(Evidence{Service: s.name, IsRetry: true})
		return true
	}
	logevent.RetryDenied.Log(s.options.Log).Str("request", r.ID).Str("service", s.name).Str("reason", denied).
		Int("priority", r.Priority).Str("organisation", r.Organisation).Dur("left_ms", time.Until(deadline)).Send()
	return false
}

// denyRetry takes a retry from the budget, or returns why the request gets none.
func (s *service) denyRetry(r *Request, deadline time.Time) string {
	allowance := room.Allowance{Own: s.options.RetryAllowance(s.name), Region: s.options.RegionRetryAllowance(s.name)}
	s.lock()
	defer s.unlock()
	now := time.Now()
	durations := &s.work.Of(workload.ClassOf(r.Method, r.Target.Host, r.Target.Prefix, len(r.Body))).Durations
	if durations.ExceedProbability(deadline.Sub(now), 1) > 1-minFinishProbability {
		return reasonTooLate
	}
	claim := room.Claim{
		Priority: r.Priority, Organisation: r.Organisation,
		IsLate: now.Sub(r.Arrival)+durations.Mean() > r.Target.TargetLatency,
	}
	if !s.budget.Take(now, claim, allowance) {
		return reasonNoRetry
	}
	return ""
}

// Reasons for which a request gets no retry.
const (
	reasonTooLate = "too little time is left"
	reasonNoRetry = "the retry budget is used up or kept for requests that go first"
)

// countPeerRequest counts a request or a retry that a peer has told of.
func (s *service) countPeerRequest(peer string, e Evidence, now time.Time) {
	s.budget.Hear(peer, now)
	switch {
	case e.IsRetry:
		s.budget.AddPeerRetry(now)
		// Its start follows and is not a further request.
		s.budget.AddPeerRequests(now, -1)
	case e.IsStart:
		s.budget.AddPeerRequests(now, 1)
	case e.HasOutcome && e.Outcome == evidence.Unreachable:
		// Nothing was sent. The next attempt is the same request.
		s.budget.AddPeerRequests(now, -1)
	}
}
