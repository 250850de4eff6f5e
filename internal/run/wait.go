package run

import (
	"context"
	"time"

	"github.com/primroseladder/primroseladder/internal/admission"
	"github.com/primroseladder/primroseladder/internal/outcome"
)

// ticket is what a waiting request gets.
type ticket struct {
	granted chan *server
	refused chan outcome.Reason
}

// acquire waits for a slot on a backend server that the waiter does not exclude. A refusal comes with the time after
// which the caller should come back.
func (s *Service) acquire(ctx context.Context, w *admission.Waiter) (*server, outcome.Reason, time.Duration) {
	s.mu.Lock()
	if len(s.servers) == 0 {
		s.mu.Unlock()
		return nil, outcome.ReasonNoBackend, time.Second
	}
	if s.isLate(w) {
		after := s.retryAfter()
		s.mu.Unlock()
		return nil, outcome.ReasonDeadline, after
	}
	if chosen := s.pickFor(w); chosen != nil {
		s.grant(chosen)
		s.mu.Unlock()
		return chosen, "", 0
	}
	if !s.canMeetDeadline(w) {
		after := s.retryAfter()
		s.mu.Unlock()
		return nil, outcome.ReasonOverload, after
	}
	t := &ticket{granted: make(chan *server, 1), refused: make(chan outcome.Reason, 1)}
	if evicted, other := s.queue.Push(w, t); evicted != nil {
		other.refused <- outcome.ReasonOverload
	}
	s.mu.Unlock()
	return s.await(ctx, w, t)
}

// pickFor picks a backend server unless others that wait go first.
func (s *Service) pickFor(w *admission.Waiter) *server {
	if s.queue.Len() > 0 && !w.IsUrgent {
		return nil
	}
	return s.pick(w)
}

// canMeetDeadline reports whether a new request is likely to be served in time.
func (s *Service) canMeetDeadline(w *admission.Waiter) bool {
	if w.IsUrgent {
		return true
	}
	wait := s.estimate.PredictWait(s.queue.Ahead(w.Organisation), s.concurrency())
	return !w.IsLate(time.Now().Add(wait), s.estimate.LongServiceTime())
}

// isLate reports whether a request would take a slot in vain.
func (s *Service) isLate(w *admission.Waiter) bool {
	return w.IsLate(time.Now(), s.estimate.LongServiceTime())
}

func (s *Service) retryAfter() time.Duration {
	return s.estimate.RetryAfter(time.Now(), s.concurrency())
}

func (s *Service) await(ctx context.Context, w *admission.Waiter, t *ticket) (*server, outcome.Reason, time.Duration) {
	select {
	case chosen := <-t.granted:
		return chosen, "", 0
	case reason := <-t.refused:
		s.mu.Lock()
		defer s.mu.Unlock()
		return nil, reason, s.retryAfter()
	case <-ctx.Done():
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.queue.Remove(w) {
		s.giveBack(t)
	}
	return nil, outcome.ReasonDeadline, s.retryAfter()
}

// giveBack returns a slot that was granted while the request gave up.
func (s *Service) giveBack(t *ticket) {
	select {
	case chosen := <-t.granted:
		chosen.inFlight--
		s.inFlight--
		s.serveWaiting()
	default:
	}
}

func (s *Service) grant(chosen *server) {
	chosen.inFlight++
	s.inFlight++
}

// release gives the slot back after an attempt.
func (s *Service) release(chosen *server) {
	s.mu.Lock()
	defer s.mu.Unlock()
	chosen.inFlight--
	s.inFlight--
	s.serveWaiting()
}

// serveWaiting grants free slots to those that wait.
func (s *Service) serveWaiting() {
	for s.queue.Len() > 0 {
		var chosen *server
		_, t, found := s.queue.Pop(func(w *admission.Waiter) bool {
			chosen = s.pick(w)
			return chosen != nil
		})
		if !found {
			return
		}
		s.grant(chosen)
		t.granted <- chosen
	}
}

// lockedRetryAfter is retryAfter for callers that do not hold the lock.
func (s *Service) lockedRetryAfter() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.retryAfter()
}
