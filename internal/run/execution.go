package run

import (
	"context"
	"slices"
	"time"

	"github.com/primroseladder/primroseladder/internal/admission"
	"github.com/primroseladder/primroseladder/internal/outcome"
	"github.com/primroseladder/primroseladder/internal/request"
	"github.com/primroseladder/primroseladder/internal/tracing"
)

const (
	// maxAttempts bounds the attempts of one request that a backend server may have taken up.
	maxAttempts = 3
	// maxSheds bounds how often one request is shed before it is refused.
	maxSheds = 64
	// poisonRetryAfter is when a caller may ask again for a request that is held back.
	poisonRetryAfter = time.Minute
)

// execution is the progress of one request.
type execution struct {
	runner  *Runner
	service *Service
	req     *request.Request
	waiter  *admission.Waiter
	// lastResponse is the response of an attempt that may have run. With it the request can no longer be called not run.
	lastResponse *request.Response
	attempts     int
	sheds        int
	// response ends the try.
	response *request.Response
}

// step makes one attempt, or ends the try.
func (x *execution) step(ctx context.Context) {
	done, allowed := x.beginPoisonCheck(ctx)
	if !allowed {
		x.refuse(outcome.ReasonPoison, poisonRetryAfter)
		return
	}
	defer done()
	chosen, reason, retryAfter := x.service.acquireSlot(ctx, x.waiter)
	if chosen == nil {
		x.refuse(reason, retryAfter)
		return
	}
	if ctx.Err() != nil {
		x.service.releaseSlot(chosen)
		x.refuse(outcome.ReasonDeadline, 0)
		return
	}
	attemptCount.Add(1)
	ctx, span := tracing.Start(ctx, "backend server attempt")
	span.Set("backend_server", chosen.vm.Name)
	result, response := x.service.attempt(ctx, chosen, x.req)
	span.End(result.failure())
	x.handleResult(result, response, chosen)
}

// handleResult ends the try or prepares the next attempt.
func (x *execution) handleResult(result attemptResult, response *request.Response, chosen *server) {
	switch result {
	case attemptShed:
		shedCount.Add(1)
		x.sheds++
		x.waiter.IsUrgent = true
		if x.sheds >= maxSheds {
			x.refuse(outcome.ReasonOverload, x.service.lockAndGetRetryAfter())
		}
	case attemptNotStarted:
		x.retryOrFinish(chosen, request.Refuse(x.req, outcome.ReasonNoBackend, time.Second))
	case attemptAnswered:
		x.clearPoison()
		if response.Status < 500 || !x.claimRetry() {
			x.response = response
			return
		}
		x.lastResponse = response
		x.retryOrFinish(chosen, response)
	case attemptCrashed, attemptLost:
		if result == attemptCrashed {
			x.recordCrash(chosen)
		}
		if !x.claimRetry() {
			x.response = response
			return
		}
		x.lastResponse = response
		x.retryOrFinish(chosen, response)
	}
}

// retryOrFinish excludes a backend server from the next attempt. Without another attempt the try ends with otherwise.
func (x *execution) retryOrFinish(chosen *server, fallback *request.Response) {
	x.attempts++
	if x.attempts >= maxAttempts {
		x.response = x.lastResponseOr(fallback)
		return
	}
	retryCount.Add(1)
	x.waiter.IsUrgent = true
	x.waiter.Exclude = append(x.waiter.Exclude, chosen.vm.Name)
	if !x.service.hasServerExcept(x.waiter.Exclude) {
		x.response = x.lastResponseOr(fallback)
	}
}

// claimRetry reports whether an attempt that may have run may be followed by another.
func (x *execution) claimRetry() bool {
	return x.req.Idempotent && x.attempts+1 < maxAttempts && x.service.takeRetryToken()
}

func (x *execution) refuse(reason outcome.Reason, retryAfter time.Duration) {
	x.response = x.lastResponseOr(refuse(x.req, reason, retryAfter))
}

func (x *execution) lastResponseOr(fallback *request.Response) *request.Response {
	if x.lastResponse != nil {
		return x.lastResponse
	}
	return fallback
}

// hasServerExcept reports whether the service has a live backend server that is not excluded.
func (s *Service) hasServerExcept(exclude []string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, candidate := range s.servers {
		if !slices.Contains(exclude, candidate.vm.Name) {
			return true
		}
	}
	return false
}
