// Package ingress is the HTTP side towards callers of a gateway VM. A request is read whole before any of it is sent
// on, and an answer is taken whole before any of it is passed back, so that nothing cut short looks complete.
//
// The statuses 408, 429 and 503 are given only to requests that have not run and never will; 502 and 504 promise nothing.
package ingress

import (
	"context"
	"io"
	"net"
	"net/http"
	"strconv"
	"time"

	"github.com/rs/zerolog"

	"github.com/primroseladder/primroseladder/internal/backend"
	"github.com/primroseladder/primroseladder/internal/dispatch"
	"github.com/primroseladder/primroseladder/internal/header"
	"github.com/primroseladder/primroseladder/internal/logevent"
	"github.com/primroseladder/primroseladder/internal/route"
)

// Headers names the headers of callers' requests.
type Headers struct {
	RequestID, DeadlineMS string
	// Internal are headers that callers may not set.
	Internal []string
}

// Dispatcher carries out requests.
type Dispatcher interface {
	Do(ctx context.Context, r *dispatch.Request) dispatch.Result
}

// Handler takes callers' requests.
type Handler struct {
	headers  Headers
	table    func(context.Context) *route.Table
	dispatch Dispatcher
	// isClosing tells that connections are to be given up after their answer.
	isClosing func() bool
	// observe is told the end of each request that had a route.
	observe func(service string, r dispatch.Result, took time.Duration)
	// rates counts the requests of each host.
	rates *Rates
	log   zerolog.Logger
}

// NewHandler returns a handler of callers' requests. table returns nil while no configuration is known.
func NewHandler(h Headers, table func(context.Context) *route.Table, d Dispatcher, isClosing func() bool, observe func(string, dispatch.Result, time.Duration), rates *Rates, log zerolog.Logger) *Handler {
	return &Handler{headers: h, table: table, dispatch: d, isClosing: isClosing, observe: observe, rates: rates, log: log}
}

const (
	// retryAfterStart is the advice while no configuration is known: it is read within the first second.
	retryAfterStart = 500 * time.Millisecond
	// defaultBodyTime bounds the time to read a body of a caller that names no deadline.
	defaultBodyTime = 10 * time.Second
)

// ServeHTTP implements http.Handler.
func (h *Handler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	arrival := time.Now()
	if h.isClosing() {
		w.Header().Set("Connection", "close")
	}
	table := h.table(r.Context())
	if table == nil {
		h.refuse(w, r, "no configuration is known", retryAfterStart)
		return
	}
	target := table.Find(hostOf(r), r.URL.Path)
	if target == nil {
		h.reject(w, r, http.StatusNotFound, "no route")
		return
	}
	h.rates.Count(target.Host, arrival)
	request, status, reason := h.read(w, r, table, target, arrival)
	if status != 0 {
		h.reject(w, r, status, reason)
		return
	}
	h.answer(w, request, h.dispatch.Do(r.Context(), request))
}

func hostOf(r *http.Request) string {
	if host, _, err := net.SplitHostPort(r.Host); err == nil {
		return host
	}
	return r.Host
}

func (h *Handler) answer(w http.ResponseWriter, r *dispatch.Request, result dispatch.Result) {
	took := time.Since(r.Arrival)
	h.observe(r.Service, result, took)
	line := func(e logevent.Event) *zerolog.Event {
		return e.Log(h.log).Str("request", r.ID).Str("route", r.Target.Name).Str("service", r.Service).
			Uint64("config", r.ConfigVersion).Str("server", result.Server).Float64("sick", result.UnhealthyProbability).Bool("trial", result.IsTrial).
			Int("attempts", result.Attempts).Dur("took_ms", took)
	}
	switch result.Outcome {
	case dispatch.Answered:
		line(logevent.RequestAnswered).Int("status", result.Answer.Status).Send()
		h.pass(w, r, result.Answer)
	case dispatch.NotRun:
		line(logevent.RequestRefused).Str("reason", result.Reason).Dur("retry_after_ms", result.RetryAfter).Send()
		writeRetryAfter(w, result.RetryAfter)
		h.own(w, r.ID, http.StatusServiceUnavailable, result.Reason)
	case dispatch.Unknown:
		line(logevent.RequestFailed).Str("reason", result.Reason).Send()
		h.own(w, r.ID, http.StatusBadGateway, result.Reason)
	case dispatch.TimedOut:
		line(logevent.RequestFailed).Str("reason", result.Reason).Send()
		h.own(w, r.ID, http.StatusGatewayTimeout, result.Reason)
	}
}

// pass gives the caller the answer of a backend server, unchanged but for the headers of one connection.
func (h *Handler) pass(w http.ResponseWriter, r *dispatch.Request, answer *backend.Answer) {
	out := w.Header()
	for name, values := range header.Strip(answer.Header) {
		out[name] = values
	}
	if _, typed := answer.Header["Content-Type"]; !typed {
		out["Content-Type"] = nil
	}
	if r.Method != http.MethodHead {
		out.Set("Content-Length", strconv.Itoa(len(answer.Body)))
	}
	w.WriteHeader(answer.Status)
	if _, err := w.Write(answer.Body); err != nil {
		logevent.RequestFailed.Log(h.log).Str("request", r.ID).Str("reason", "the answer could not be written").Err(err).Send()
	}
}

// refuse tells that the request has not run and when to come back.
func (h *Handler) refuse(w http.ResponseWriter, r *http.Request, reason string, after time.Duration) {
	id := r.Header.Get(h.headers.RequestID)
	logevent.RequestRefused.Log(h.log).Str("request", id).Str("reason", reason).Send()
	writeRetryAfter(w, after)
	h.own(w, id, http.StatusServiceUnavailable, reason)
}

// reject tells that the request cannot be carried out.
func (h *Handler) reject(w http.ResponseWriter, r *http.Request, status int, reason string) {
	id := r.Header.Get(h.headers.RequestID)
	logevent.RequestRefused.Log(h.log).Str("request", id).Int("status", status).Str("reason", reason).Send()
	h.own(w, id, status, reason)
}

// own writes an answer of the gateway itself.
func (h *Handler) own(w http.ResponseWriter, id string, status int, reason string) {
	out := w.Header()
	if id != "" {
		out.Set(h.headers.RequestID, id)
	}
	out.Set("Content-Type", "text/plain; charset=utf-8")
	out.Set("Content-Length", strconv.Itoa(len(reason)+1))
	w.WriteHeader(status)
	if _, err := io.WriteString(w, reason+"\n"); err != nil {
		logevent.RequestFailed.Log(h.log).Str("request", id).Str("reason", "the refusal could not be written").Err(err).Send()
	}
}

// minRetryAfter keeps callers from coming back at once.
const minRetryAfter = 50 * time.Millisecond

func writeRetryAfter(w http.ResponseWriter, after time.Duration) {
	seconds := max(after, minRetryAfter).Seconds()
	w.Header().Set("Retry-After", strconv.FormatFloat(seconds, 'f', 3, 64))
}
