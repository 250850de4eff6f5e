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
	// maxAttempts bounds the attempts of one request. Shed attempts do not count.
	maxAttempts = 3
	// maxSheds is the number of times that a request is shed before it is refused.
	maxSheds = 64
	// poisonRetryAfter is the retry delay sent with the refusal of a blocked poison request.
	poisonRetryAfter = time.Minute
)

// execution is the state of one request across its attempts.
type execution struct {
	runner  *Runner
	service *Service
	req     *request.Request
	waiter  *admission.Waiter
	// lastResponse is the response of the last attempt that may have run the request. Once it is set, it is returned
	// instead of any later refusal, because the outcome can no longer be not-run.
	lastResponse *request.Response
	attempts     int
	sheds        int
	// response is the final response. The execution ends once it is set.
	response *request.Response
}

// step waits for a slot and makes one attempt, or ends the execution.
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

// handleResult ends the execution or prepares the next attempt.
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

// retryOrFinish excludes the chosen backend server from further attempts. It ends the execution if no attempt or no other
// backend server is left; the response is then lastResponse or, if that is not set, fallback.
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

// claimRetry reports whether a request that may have run can be sent again. If so, it takes one retry from the service's
// retry budget.
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

// hasServerExcept reports whether the service has a live backend server that is not in exclude.
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
