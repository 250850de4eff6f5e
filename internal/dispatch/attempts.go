package dispatch

import (
	"context"
	"errors"
	"net/http"
	"strconv"
	"time"

	"github.com/primroseladder/primroseladder/internal/backend"
	"github.com/primroseladder/primroseladder/internal/evidence"
	"github.com/primroseladder/primroseladder/internal/logevent"
	"github.com/primroseladder/primroseladder/internal/poison"
	"github.com/primroseladder/primroseladder/internal/route"
)

const (
	// maxConnectFailures is how many attempts of a request may fail before anything was sent. One more such failure ends
	// the request.
	maxConnectFailures = 4
	// minIdleForAmbiguousReset is how long a connection must have been idle for its reset to say little about the
	// backend server. Some backend servers drop idle connections after a few seconds and reset them at the next
	// request.
	minIdleForAmbiguousReset = time.Second
	// endedTimeout is how long a backend server that cut its answer off may take to accept a connection or refuse it.
	endedTimeout = 100 * time.Millisecond
	// maxAnswerBytes limits the body of an answer, which is buffered in memory.
	maxAnswerBytes = 16 << 20
)

// attemptLoop sends one request, to several backend servers if necessary.
type attemptLoop struct {
	dispatcher *Dispatcher
	service    *service
	request    *Request
	// deadline is the earlier of the route's time limit and the caller's deadline.
	deadline time.Time
	tried    map[string]bool
	// sent is the number of attempts in which the request was sent.
	sent       int
	mayHaveRun bool
	// hasCrashed is set if the connection of the last backend server broke while it ran the request.
	hasCrashed bool
	lastResult Result
	// reportedFailure is the first answer in which a backend server reported failure.
	reportedFailure *Result
}

// nextStep is what follows an attempt.
type nextStep int

const (
	// stepFinish ends the request with lastResult.
	stepFinish nextStep = iota
	// stepNextServer allows another attempt without using the retry budget, because nothing was sent.
	stepNextServer
	// stepChooseAgain is the same after a choice that had grown old, which says nothing about the connection.
	stepChooseAgain
	// stepRetry allows another attempt if the retry budget permits it.
	stepRetry
)

// run sends the request until it is answered or no further attempt is allowed.
func (a *attemptLoop) run(ctx context.Context) Result {
	a.tried = map[string]bool{}
	r := a.request
	fingerprint := poison.FingerprintOf(r.Organisation, r.Method, r.Host+r.URI, r.Body)
	done, allowed := a.dispatcher.crashes.Begin(ctx, fingerprint)
	if !allowed {
		return Result{Outcome: NotRun, Reason: reasonBlocked, RetryAfter: retryAfterBlocked}
	}
	defer func() { done() }()
	connectFailures := 0
	for {
		res, why := a.service.pick(r, a.deadline, a.tried)
		if res == nil {
			return a.resultWithoutServer(why)
		}
		a.tried[res.id] = true
		next := a.attempt(ctx, res, fingerprint)
		if next == stepNextServer {
			connectFailures++
		}
		if next == stepFinish || ctx.Err() != nil || connectFailures > maxConnectFailures || !a.canContinue(next) {
			return a.result()
		}
		logevent.AttemptFailed.Log(a.dispatcher.options.Log).Str("request", r.ID).Str("service", r.Service).
			Str("server", res.id).Str("reason", a.lastResult.Reason).Int("attempts", a.sent).Send()
		if a.hasCrashed {
			// The same request may have crashed other backend servers meanwhile, sent by other callers.
			done()
			if done, allowed = a.dispatcher.crashes.Begin(ctx, fingerprint); !allowed {
				return a.result()
			}
		}
	}
}

// canContinue reports whether another attempt is allowed. A retry is taken from the budget of the service.
func (a *attemptLoop) canContinue(next nextStep) bool {
	if next == stepNextServer || next == stepChooseAgain {
		return true
	}
	return a.sent < a.request.Target.MaxAttempts && a.service.takeRetry(a.request, a.deadline)
}

// result returns the result of the request. An answer that reports failure is still an answer: it is returned if no
// later attempt got one.
func (a *attemptLoop) result() Result {
	if a.lastResult.Outcome != Answered && a.reportedFailure != nil {
		a.lastResult = *a.reportedFailure
	}
	a.lastResult.Attempts = a.sent
	return a.lastResult
}

// resultWithoutServer returns the result if no backend server can be picked.
func (a *attemptLoop) resultWithoutServer(r refusal) Result {
	if len(a.tried) > 0 {
		// A backend server that turned the request away may have named a later time.
		a.lastResult.RetryAfter = max(a.lastResult.RetryAfter, r.wait)
		return a.result()
	}
	switch {
	case r.isPastDeadline:
		return Result{Outcome: NotRun, Reason: reasonTimeLimit}
	case r.wait == 0:
		return Result{Outcome: NotRun, Reason: reasonNoServer, RetryAfter: retryAfterNoServer}
	case r.isAdvised:
		return Result{Outcome: NotRun, Reason: reasonAdvised, RetryAfter: r.wait}
	}
	return Result{Outcome: NotRun, Reason: reasonAllBusy, RetryAfter: r.wait}
}

// attempt sends the request to the reserved backend server.
func (a *attemptLoop) attempt(ctx context.Context, res *reservation, f poison.Fingerprint) nextStep {
	timing := Timing{ChosenAt: time.Now(), EntryRevision: res.entryRevision, Lag: a.dispatcher.options.Lag()}
	outbound := a.outboundRequest(res.id)
	outbound.BeforeWrite = func() error {
		now := time.Now()
		if err := a.confirmChoice(res, f, now); err != nil {
			return err
		}
		outbound.Header[a.dispatcher.options.Protocol.DeadlineMS] = []string{strconv.FormatInt(max(1, a.deadline.Sub(now).Milliseconds()), 10)}
		timing.WrittenAt, timing.Lag = now, a.dispatcher.options.Lag()
		a.logIfLate(res, &timing)
		return nil
	}
	answer, err := res.pool.Do(ctx, outbound)
	a.hasCrashed = false
	a.lastResult = Result{
		Server: res.id, UnhealthyProbability: res.unhealthyProbability, IsTrial: res.isTrial, ExpectedWait: res.expectedWait, Timing: timing,
	}
	if err != nil {
		return a.afterError(ctx, res, f, err)
	}
	a.sent++
	p := &a.dispatcher.options.Protocol
	if answer.Status != http.StatusMisdirectedRequest {
		res.said = readStatement(answer.Header, p, res.said.Incarnation)
		res.pause = readPause(answer.Status, answer.Header, time.Now())
	}
	switch {
	case isRefusal(answer, p):
		res.complete(evidence.Shed, 0)
		return a.setNotRun(reasonShed, stepRetry)
	case isUnusableAnswer(answer, p):
		res.complete(evidence.Garbled, 0)
		return a.setUnknown(reasonGarbled)
	}
	a.lastResult.Outcome, a.lastResult.Answer = Answered, answer
	a.dispatcher.crashes.ExcuseNext(f)
	a.dispatcher.crashes.RecordAnswer(f)
	if answer.Status >= http.StatusInternalServerError {
		res.completeFailed()
		return a.afterFailureAnswer()
	}
	res.complete(evidence.Success, len(a.request.Body)+answer.Body.Len())
	return stepFinish
}

// isRefusal reports whether a backend server says that it has not run the request.
func isRefusal(answer *backend.Answer, p *Protocol) bool {
	return answer.Status == http.StatusMisdirectedRequest || answer.Header.Get(p.NotExecuted) != ""
}

// isUnusableAnswer reports whether an answer cannot be passed on: a success without the signature of the backend
// server, a body with a content encoding that was not requested, or a status that callers take as proof that the
// request has not run, although it may have.
func isUnusableAnswer(answer *backend.Answer, p *Protocol) bool {
	isSigned := answer.Header.Get(p.Signature) != ""
	isSuccess := answer.Status < http.StatusMultipleChoices
	switch answer.Status {
	case http.StatusRequestTimeout, http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return true
	}
	return (isSuccess && !isSigned) || answer.Header.Get("Content-Encoding") != ""
}

// afterFailureAnswer handles an answer that reports failure. An idempotent request is retried, since another backend
// server may succeed.
func (a *attemptLoop) afterFailureAnswer() nextStep {
	a.mayHaveRun = true
	a.lastResult.Reason = reasonServerFailed
	if a.reportedFailure == nil {
		reported := a.lastResult
		a.reportedFailure = &reported
	}
	if a.request.Target.Kind == route.Idempotent {
		return stepRetry
	}
	return stepFinish
}

// setNotRun sets the result after an attempt that did not run, and returns next. The outcome is Unknown if an earlier
// attempt may have run.
func (a *attemptLoop) setNotRun(reason string, next nextStep) nextStep {
	a.lastResult.Outcome, a.lastResult.Reason, a.lastResult.RetryAfter = NotRun, reason, a.service.notRunRetryAfter()
	if a.mayHaveRun {
		a.lastResult.Outcome = Unknown
	}
	return next
}

// setUnknown sets the result after an attempt that may have run. Only idempotent requests are retried.
func (a *attemptLoop) setUnknown(reason string) nextStep {
	a.mayHaveRun = true
	a.lastResult.Outcome, a.lastResult.Reason = Unknown, reason
	if a.request.Target.Kind == route.Idempotent {
		return stepRetry
	}
	return stepFinish
}

// afterError records the outcome of an attempt without an answer and sets the result.
func (a *attemptLoop) afterError(ctx context.Context, res *reservation, f poison.Fingerprint, err error) nextStep {
	mayHaveStarted := backend.MayHaveStarted(err)
	if mayHaveStarted {
		a.sent++
		a.mayHaveRun = true
	}
	if next, isOld := a.afterOldChoice(res, err); isOld {
		return next
	}
	if ctx.Err() != nil {
		return a.afterContextDone(ctx, res, mayHaveStarted)
	}
	if errors.Is(err, backend.ErrTooManyConns) {
		res.release()
		return a.setNotRun(reasonAllBusy, stepNextServer)
	}
	if !mayHaveStarted {
		res.complete(evidence.Unreachable, 0)
		return a.setNotRun(reasonConnect, stepNextServer)
	}
	if backend.IsConnectionBroken(err) || errors.Is(err, backend.ErrAnswerTruncated) && hasEnded(ctx, res.pool) {
		if backend.ConnIdleBefore(err) >= minIdleForAmbiguousReset {
			res.complete(evidence.Failure, 0)
		} else {
			res.completeFailed()
		}
		a.hasCrashed = true
		if crash, isNews := a.dispatcher.crashes.RecordCrash(f, res.id); isNews {
			a.dispatcher.options.ShareCrash(crash)
		}
		return a.setUnknown(reasonLost)
	}
	res.complete(evidence.Garbled, 0)
	return a.setUnknown(reasonGarbled)
}

// hasEnded reports whether the backend server of a pool accepts no connections. An answer that was cut off is the fault of a
// backend server that goes on, and the crash of one that does not.
func hasEnded(ctx context.Context, pool ConnectionPool) bool {
	refuser, canTell := pool.(interface {
		RefusesConnections(ctx context.Context) bool
	})
	if !canTell {
		return false
	}
	ctx, cancel := context.WithTimeout(ctx, endedTimeout)
	defer cancel()
	return refuser.RefusesConnections(ctx)
}

// afterContextDone sets the result after the caller has disconnected or the deadline has passed.
func (a *attemptLoop) afterContextDone(ctx context.Context, res *reservation, mayHaveStarted bool) nextStep {
	if !errors.Is(ctx.Err(), context.DeadlineExceeded) {
		res.release()
		a.lastResult.Outcome, a.lastResult.Reason = Unknown, reasonCallerDisconnected
		return stepFinish
	}
	res.complete(evidence.Hung, 0)
	if mayHaveStarted || a.mayHaveRun {
		a.lastResult.Outcome, a.lastResult.Reason = TimedOut, reasonTimeLimit
		return stepFinish
	}
	return a.setNotRun(reasonConnect, stepFinish)
}

// outboundRequest returns the request with the headers for the backend server id, but for the time that is left: see BeforeWrite.
func (a *attemptLoop) outboundRequest(id string) *backend.Request {
	r, p := a.request, &a.dispatcher.options.Protocol
	header := r.Header.Clone()
	header[p.RequestID] = []string{r.ID}
	header[p.ExpectedInstance] = []string{id}
	return &backend.Request{
		ID: r.ID, Method: r.Method, Target: r.URI, Host: r.Host, Header: header, Body: r.Body, MaxAnswerBytes: maxAnswerBytes,
	}
}

// notRunRetryAfter returns the Retry-After of a request that no backend server has run: half the mean duration of the
// service's requests.
func (s *service) notRunRetryAfter() time.Duration {
	s.lock()
	defer s.unlock()
	return s.work.All().Durations.Mean() / 2
}
