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

// attemptResult tells how one attempt on a backend server ended.
type attemptResult uint8

const (
	// attemptAnswered means that the whole answer came. Its status may be an error.
	attemptAnswered attemptResult = iota + 1
	// attemptNotStarted means that no byte of the request can have been read.
	attemptNotStarted
	// attemptShed means that the backend server refused the request before it ran any of it.
	attemptShed
	// attemptLost means that the request may have run and has no whole answer.
	attemptLost
	// attemptCrashed is attemptLost where the connection broke before any answer came.
	attemptCrashed
)

// failure names the result for traces. It is empty for an answer.
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

// attempt sends the request to one backend server. The response is set unless the attempt did not start or was shed.
func (s *Service) attempt(ctx context.Context, chosen *server, req *request.Request) (attemptResult, *request.Response) {
	defer s.release(chosen)
	begin := time.Now()
	flight := s.board.Begin(chosen.vm.Name)
	sent := backendRequest(ctx, req)
	if flight.IsTrial() && s.board.IsExcluded(chosen.vm.Name) {
		sent.Header.Set(header.Trial, "true")
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, s.board.TrialTimeout(chosen.vm.Name))
		defer cancel()
	}
	answer, err := chosen.pool.Do(ctx, sent)
	if err != nil {
		return s.failedAttempt(ctx, err, flight)
	}
	if answer.Header.Get(header.Draining) == "true" {
		s.markDraining(chosen)
	}
	if answer.Header.Get(header.NotStarted) == "true" {
		flight.End(health.ResultIgnored)
		s.recordShed(chosen)
		return attemptShed, nil
	}
	failed := answer.Status >= http.StatusInternalServerError
	flight.End(resultOfAnswer(failed))
	s.recordServed(chosen, time.Since(begin), !failed)
	s.chargeSpill(chosen, len(req.Body)+len(answer.Body))
	return attemptAnswered, &request.Response{
		Outcome: outcome.Done, Status: answer.Status, Header: answer.Header, Body: answer.Body, Backend: chosen.vm.Name,
	}
}

// failedAttempt tells the ways apart in which an attempt ends without an answer.
func (s *Service) failedAttempt(ctx context.Context, err error, flight *health.Attempt) (attemptResult, *request.Response) {
	flight.End(resultOfError(ctx, err))
	if !errors.Is(ctx.Err(), context.Canceled) {
		s.recordLost()
	}
	if !backend.HasStarted(err) {
		return attemptNotStarted, nil
	}
	if backend.IsConnectionBroken(err) && ctx.Err() == nil {
		return attemptCrashed, request.LeaveUnknown(outcome.ReasonLostAnswer)
	}
	return attemptLost, request.LeaveUnknown(outcome.ReasonLostAnswer)
}

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
