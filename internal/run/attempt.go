package run

import (
	"context"
	"errors"
	"net/http"
	"strconv"
	"time"

	"github.com/primroseladder/primroseladder/internal/backend"
	"github.com/primroseladder/primroseladder/internal/header"
	"github.com/primroseladder/primroseladder/internal/health"
	"github.com/primroseladder/primroseladder/internal/outcome"
	"github.com/primroseladder/primroseladder/internal/request"
	"github.com/primroseladder/primroseladder/internal/tracing"
)

// attemptResult is the way in which one attempt on a backend server ended.
type attemptResult uint8

const (
	// attemptAnswered means that the whole answer was received. Its status may be an error.
	attemptAnswered attemptResult = iota + 1
	// attemptNotStarted means that no byte of the request can have reached the backend server.
	attemptNotStarted
	// attemptShed means that the backend server refused the request before it ran any of it.
	attemptShed
	// attemptLost means that the request may have run but no whole answer was received.
	attemptLost
	// attemptCrashed means that the request may have run and that the backend server closed the connection before a whole
	// answer header was received, or reset it. The attempt is recorded as a crash that the request may have caused.
	attemptCrashed
)

// failure returns the text of the result for traces; it is empty for attemptAnswered.
func (r attemptResult) failure() string {
	switch r {
	case attemptAnswered:
		return ""
	case attemptNotStarted:
		return "not started"
	case attemptShed:
		return "shed"
	case attemptCrashed:
		return "connection broken"
	default:
		return "answer lost"
	}
}

// attempt sends the request to one backend server and releases its slot. The response is nil if the attempt did not start
// or was shed.
func (s *Service) attempt(ctx context.Context, chosen *server, req *request.Request) (attemptResult, *request.Response) {
	defer s.releaseSlot(chosen)
	begin := time.Now()
	healthAttempt := s.board.Begin(chosen.vm.Name)
	sent := backendRequest(ctx, req)
	// A trial on a backend server that is out of service is marked as such and gets a timeout of its own.
	if healthAttempt.IsTrial() && s.board.IsExcluded(chosen.vm.Name) {
		sent.Header.Set(header.Trial, "true")
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, s.board.TrialTimeout(chosen.vm.Name))
		defer cancel()
	}
	answer, err := chosen.pool.Do(ctx, sent)
	if err != nil {
		return s.handleFailedAttempt(ctx, err, healthAttempt)
	}
	if answer.Header.Get(header.Draining) == "true" {
		s.markDraining(chosen)
	}
	if answer.Header.Get(header.NotStarted) == "true" {
		healthAttempt.End(health.ResultIgnored)
		s.recordShed(chosen)
		return attemptShed, nil
	}
	failed := answer.Status >= http.StatusInternalServerError
	healthAttempt.End(resultOfAnswer(failed))
	s.recordServed(chosen, time.Since(begin), !failed)
	s.chargeSpill(chosen, len(req.Body)+answer.Body.Len())
	return attemptAnswered, &request.Response{
		Outcome: outcome.Done, Status: answer.Status, Header: answer.Header, Body: answer.Body.Bytes(), Backend: chosen.vm.Name,
	}
}

// handleFailedAttempt records an attempt that ended without an answer and classifies its error.
func (s *Service) handleFailedAttempt(
	ctx context.Context, err error, healthAttempt *health.Attempt,
) (attemptResult, *request.Response) {
	healthAttempt.End(resultOfError(ctx, err))
	if !errors.Is(ctx.Err(), context.Canceled) {
		s.recordLost()
	}
	if !backend.MayHaveStarted(err) {
		return attemptNotStarted, nil
	}
	if backend.IsConnectionBroken(err) && ctx.Err() == nil {
		return attemptCrashed, request.UnknownOutcome(outcome.ReasonLostAnswer)
	}
	return attemptLost, request.UnknownOutcome(outcome.ReasonLostAnswer)
}

// backendRequest returns the request to send to a backend server: without hop-by-hop and internal headers of the caller,
// and with the request ID, the remaining time, the organisation, the idempotency key and the trace context.
func backendRequest(ctx context.Context, req *request.Request) *backend.Request {
	h := header.Strip(req.Header)
	h.Set(header.RequestID, req.ID)
	h.Set(header.TimeoutMS, strconv.FormatInt(time.Until(req.Deadline).Milliseconds(), 10))
	h.Set(header.Organisation, req.Organisation)
	if req.Key != "" {
		h.Set(header.IdempotencyKey, req.Key)
	}
	tracing.Inject(ctx, h)
	return &backend.Request{
		ID: req.ID, Method: req.Method, Target: req.Target, Host: req.Host, Header: h, Body: req.Body,
		MaxAnswerBytes: req.Entry.Limits.MaxAnswerBytes,
	}
}
