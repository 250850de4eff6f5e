package run

import (
	"context"
	"time"

	"github.com/primroseladder/primroseladder/internal/admission"
	"github.com/primroseladder/primroseladder/internal/outcome"
)

// ticket is the queue's handle on a waiting request. Exactly one of its channels receives a value, unless the request
// gives up first.
type ticket struct {
	granted chan *server
	refused chan outcome.Reason
}

// acquireSlot waits for a slot on a backend server that the waiter does not exclude, and takes it. If it returns no server,
// it returns the reason for the refusal and the retry delay for the caller.
func (s *Service) acquireSlot(ctx context.Context, w *admission.Waiter) (*server, outcome.Reason, time.Duration) {
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
		s.takeSlot(chosen)
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
	return s.awaitSlot(ctx, w, t)
}

// pickFor picks a backend server for a new request, or returns nil if queued requests go first. An urgent request does not
// wait behind them. The lock must be held.
func (s *Service) pickFor(w *admission.Waiter) *server {
	if s.queue.Len() > 0 && !w.IsUrgent {
		return nil
	}
	return s.pick(w)
}

// canMeetDeadline reports whether a new request is likely to be served in time after waiting in the queue. It is always
// true for urgent requests. The lock must be held.
func (s *Service) canMeetDeadline(w *admission.Waiter) bool {
	if w.IsUrgent {
		return true
	}
	wait := s.estimate.PredictWait(s.queue.Ahead(w.Organisation), s.expectedConcurrency())
	return !w.IsLate(time.Now().Add(wait), s.estimate.LongServiceTime())
}

// isLate reports whether too little time is left to serve the request, even without waiting. The lock must be held.
func (s *Service) isLate(w *admission.Waiter) bool {
	return w.IsLate(time.Now(), s.estimate.LongServiceTime())
}

// retryAfter returns the retry delay for a caller that is refused now. The lock must be held.
func (s *Service) retryAfter() time.Duration {
	return s.estimate.RetryAfter(time.Now(), s.expectedConcurrency())
}

// awaitSlot waits until the queued request gets a slot, is refused, or ctx ends.
func (s *Service) awaitSlot(ctx context.Context, w *admission.Waiter, t *ticket) (*server, outcome.Reason, time.Duration) {
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
		s.returnUnusedSlot(t)
	}
	return nil, outcome.ReasonDeadline, s.retryAfter()
}

// returnUnusedSlot releases a slot that was granted just before the request gave up. The lock must be held.
func (s *Service) returnUnusedSlot(t *ticket) {
	select {
	case chosen := <-t.granted:
		chosen.inFlight--
		s.inFlight--
		s.grantWaiting()
	default:
	}
}

// takeSlot occupies a slot of the backend server. The lock must be held.
func (s *Service) takeSlot(chosen *server) {
	chosen.inFlight++
	s.inFlight++
}

// releaseSlot releases the slot of an attempt that has ended.
func (s *Service) releaseSlot(chosen *server) {
	s.mu.Lock()
	defer s.mu.Unlock()
	chosen.inFlight--
	s.inFlight--
	s.grantWaiting()
}

// grantWaiting grants free slots to waiting requests in queue order. The lock must be held.
func (s *Service) grantWaiting() {
	for s.queue.Len() > 0 {
		var chosen *server
		_, t, found := s.queue.Pop(func(w *admission.Waiter) bool {
			chosen = s.pick(w)
			return chosen != nil
		})
		if !found {
			return
		}
		s.takeSlot(chosen)
		t.granted <- chosen
	}
}

// lockAndGetRetryAfter is retryAfter for code that does not hold the lock.
func (s *Service) lockAndGetRetryAfter() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.retryAfter()
}
