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
	// maxConnectFailures is how many backend servers that cannot be reached are passed over for one request.
	maxConnectFailures = 4
	// ambiguousIdle is how long a connection may have been unused before for its end to tell of the backend server. Some
	// backend servers forget idle connections after a few seconds, and reset them at the next request.
	ambiguousIdle = time.Second
	// maxAnswerBytes bounds the body of an answer, which is held in memory.
	maxAnswerBytes = 16 << 20
)

// attempts carries out one request.
type attempts struct {
	dispatcher *Dispatcher
	service    *service
	request    *Request
	// deadline is the earlier of the route's time limit and the caller's deadline.
	deadline time.Time
	tried    map[string]bool
	// sent is how many backend servers the request was sent to.
	sent       int
	mayHaveRun bool
	last       Result
	// reported is the first failure that a backend server has reported.
	reported *Result
}

// verdict is what follows from an attempt.
type verdict int

const (
	// final ends the request with the last result.
	final verdict = iota
	// elsewhere allows another attempt without asking the budget, because nothing was sent.
	elsewhere
	// retry allows another attempt within the budget.
	retry
)

func (a *attempts) run(ctx context.Context) Result {
	a.tried = map[string]bool{}
	r := a.request
	fingerprint := poison.FingerprintOf(r.Service, r.Method, r.Caller+r.Host+r.URI, r.Body)
	done, allowed := a.dispatcher.crashes.Begin(ctx, fingerprint)
	if !allowed {
		return Result{Outcome: NotRun, Reason: reasonHeld, RetryAfter: retryAfterHeld}
	}
	defer done()
	connectFailures := 0
	for {
		h, wait := a.service.pick(r, a.deadline, a.tried, time.Now())
		if h == nil {
			return a.giveUp(wait)
		}
		a.tried[h.id] = true
		next := a.try(ctx, h, fingerprint)
		if next == elsewhere {
			connectFailures++
		}
		if next == final || ctx.Err() != nil || connectFailures > maxConnectFailures || !a.mayGoOn(next) {
			return a.result()
		}
		logevent.AttemptFailed.Log(a.dispatcher.options.Log).Str("request", r.ID).Str("service", r.Service).
			Str("server", h.id).Str("reason", a.last.Reason).Int("attempts", a.sent).Send()
	}
}

// mayGoOn reports whether another attempt is allowed.
func (a *attempts) mayGoOn(next verdict) bool {
	if next == elsewhere {
		return true
	}
	return a.sent < a.request.Target.MaxAttempts && a.service.mayRetry(time.Now())
}

// result is how the request ended. A failure that a backend server has reported is an answer, and is passed on where no
// later attempt brought one.
func (a *attempts) result() Result {
	if a.last.Outcome != Answered && a.reported != nil {
		a.last = *a.reported
	}
	a.last.Attempts = a.sent
	return a.last
}

// giveUp is the result where no backend server is left.
func (a *attempts) giveUp(wait time.Duration) Result {
	if len(a.tried) > 0 {
		return a.result()
	}
	if wait == 0 {
		return Result{Outcome: NotRun, Reason: reasonNoServer, RetryAfter: retryAfterNoServer}
	}
	return Result{Outcome: NotRun, Reason: reasonAllBusy, RetryAfter: wait}
}

// try sends the request to one backend server.
func (a *attempts) try(ctx context.Context, h *hold, f poison.Fingerprint) verdict {
	answer, err := h.connections.Do(ctx, a.encode(h.id))
	a.last = Result{Server: h.id, UnhealthyProbability: h.sick, IsTrial: h.isTrial}
	if err != nil {
		return a.afterError(ctx, h, f, err)
	}
	a.sent++
	p := &a.dispatcher.options.Protocol
	switch {
	case answer.Status == http.StatusMisdirectedRequest || answer.Header.Get(p.NotExecuted) != "":
		h.end(evidence.Shed, 0)
		return a.notRun(reasonShed, retry)
	case isUnusable(answer, p):
		h.end(evidence.Garbled, 0)
		return a.unknown(reasonGarbled)
	}
	a.last.Outcome, a.last.Answer = Answered, answer
	a.dispatcher.crashes.RecordAnswer(f)
	if answer.Status >= http.StatusInternalServerError {
		h.endFailed()
		return a.afterFailure()
	}
	h.end(evidence.Success, len(a.request.Body)+len(answer.Body))
	return final
}

// isUnusable reports whether an answer cannot be passed on: a success that the backend server did not sign, an encoded
// body that nobody asked for, or a status that promises that the request has not run, though it may have.
func isUnusable(answer *backend.Answer, p *Protocol) bool {
	isSigned := answer.Header.Get(p.Signature) != ""
	isSuccess := answer.Status < http.StatusMultipleChoices
	switch answer.Status {
	case http.StatusRequestTimeout, http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return true
	}
	return (isSuccess && !isSigned) || answer.Header.Get("Content-Encoding") != ""
}

// afterFailure decides after an answer that reports failure. An idempotent request may find a better one.
func (a *attempts) afterFailure() verdict {
	a.mayHaveRun = true
	a.last.Reason = reasonServerFailed
	if a.reported == nil {
		reported := a.last
		a.reported = &reported
	}
	if a.request.Target.Kind == route.Idempotent {
		return retry
	}
	return final
}

// notRun decides after an attempt that did not run.
func (a *attempts) notRun(reason string, next verdict) verdict {
	a.last.Outcome, a.last.Reason, a.last.RetryAfter = NotRun, reason, a.service.meanWait()
	if a.mayHaveRun {
		a.last.Outcome = Unknown
	}
	return next
}

// unknown decides after an attempt that may have run.
func (a *attempts) unknown(reason string) verdict {
	a.mayHaveRun = true
	a.last.Outcome, a.last.Reason = Unknown, reason
	if a.request.Target.Kind == route.Idempotent {
		return retry
	}
	return final
}

func (a *attempts) afterError(ctx context.Context, h *hold, f poison.Fingerprint, err error) verdict {
	hasStarted := backend.HasStarted(err)
	if hasStarted {
		a.sent++
		a.mayHaveRun = true
	}
	if ctx.Err() != nil {
		return a.afterEnd(ctx, h, hasStarted)
	}
	if errors.Is(err, backend.ErrTooManyConns) {
		h.abandon()
		return a.notRun(reasonAllBusy, elsewhere)
	}
	if !hasStarted {
		h.end(evidence.Unreachable, 0)
		return a.notRun(reasonConnect, elsewhere)
	}
	if backend.IsConnectionBroken(err) {
		if backend.IdleBefore(err) >= ambiguousIdle {
			h.end(evidence.Failure, 0)
		} else {
			h.endFailed()
		}
		if a.dispatcher.crashes.RecordCrash(f, h.id) {
			a.dispatcher.options.ShareCrash(f, h.id)
		}
		return a.unknown(reasonLost)
	}
	h.end(evidence.Garbled, 0)
	return a.unknown(reasonGarbled)
}

// afterEnd decides after an attempt that ended with the caller's departure or at the deadline.
func (a *attempts) afterEnd(ctx context.Context, h *hold, hasStarted bool) verdict {
	if !errors.Is(ctx.Err(), context.DeadlineExceeded) {
		h.abandon()
		a.last.Outcome, a.last.Reason = Unknown, reasonCallerGone
		return final
	}
	h.end(evidence.Hung, 0)
	if hasStarted || a.mayHaveRun {
		a.last.Outcome, a.last.Reason = TimedOut, reasonTimeLimit
		return final
	}
	return a.notRun(reasonConnect, final)
}

// encode returns the request as the backend server with the id gets it.
func (a *attempts) encode(id string) *backend.Request {
	r, p := a.request, &a.dispatcher.options.Protocol
	header := r.Header.Clone()
	header[p.RequestID] = []string{r.ID}
	header[p.ExpectedInstance] = []string{id}
	left := max(1, time.Until(a.deadline).Milliseconds())
	header[p.DeadlineMS] = []string{strconv.FormatInt(left, 10)}
	return &backend.Request{
		ID: r.ID, Method: r.Method, Target: r.URI, Host: r.Host, Header: header, Body: r.Body, MaxAnswerBytes: maxAnswerBytes,
	}
}

// meanWait is the advice when to come back after all backend servers that were asked had no room.
func (s *service) meanWait() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.durations.Mean() / 2
}
