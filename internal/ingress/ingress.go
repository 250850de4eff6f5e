// Package ingress handles callers' HTTP requests on a gateway VM. A request is read completely before any of it is
// forwarded, and an answer is received completely before any of it is returned to the caller, so that a truncated message
// never looks complete.
//
// The statuses 408, 429 and 503 are sent only for requests that have not run and never will. After 502 and 504 a request
// may have run.
package ingress

import (
	"context"
	"hash/crc32"
	"io"
	"net"
	"net/http"
	"strconv"
	"time"

	"github.com/rs/zerolog"

	"github.com/primroseladder/primroseladder/internal/backend"
	"github.com/primroseladder/primroseladder/internal/callerconn"
	"github.com/primroseladder/primroseladder/internal/dispatch"
	"github.com/primroseladder/primroseladder/internal/header"
	"github.com/primroseladder/primroseladder/internal/logevent"
	"github.com/primroseladder/primroseladder/internal/organisation"
	"github.com/primroseladder/primroseladder/internal/route"
)

// Headers holds the names of the headers of callers' requests.
type Headers struct {
	RequestID, DeadlineMS string
	// Organisation names the organisation of a request to backend servers, whatever the caller sets.
	Organisation string
	// Internal lists headers that callers may not set. They are removed from requests.
	Internal []string
}

// Dispatcher executes requests on backend servers.
type Dispatcher interface {
	Do(ctx context.Context, r *dispatch.Request) dispatch.Result
}

// Options configure a Handler.
type Options struct {
	Headers Headers
	// AwaitTable returns the routes in force, or nil if no configuration is known. It may wait for the first one.
	AwaitTable func(context.Context) *route.Table
	// IsEnding reports whether the process is about to end and takes no further requests.
	IsEnding func() bool
	// IsOverloaded reports whether the process runs too late to answer further requests in time.
	IsOverloaded func() bool
	// Lag returns how late the process runs. If it is nil, it is never late.
	Lag func() time.Duration
	// KeyState returns what this VM may do with the keys of a version of the configuration. If it is nil, it may serve and reject all.
	KeyState func(version uint64) KeyState
	// CountRefusedKey, if set, counts the requests that are refused because of their keys.
	CountRefusedKey func(KeyRefusal)
	// Allowances limit the requests of organisations. If it is nil, there are no limits.
	Allowances Allowances
	Dispatcher Dispatcher
	// RecordResult is called with the service, the result and the duration of each request that was dispatched.
	RecordResult func(service string, r dispatch.Result, took time.Duration)
	// Rates counts the requests of each host.
	Rates *Rates
	Log   zerolog.Logger
}

// Handler handles callers' requests.
type Handler struct{ Options }

// NewHandler returns a Handler.
func NewHandler(o Options) *Handler {
	if o.KeyState == nil {
		o.KeyState = func(uint64) KeyState { return KeyState{MayServe: true, IsCurrent: true} }
	}
	if o.Lag == nil {
		o.Lag = func() time.Duration { return 0 }
	}
	if o.CountRefusedKey == nil {
		o.CountRefusedKey = func(KeyRefusal) {}
	}
	if o.Allowances == nil {
		o.Allowances = unlimited{}
	}
	return &Handler{o}
}

const (
	// retryAfterNoConfig is the retry delay while no configuration is known. A VM that starts gets the configuration
	// within the first second.
	retryAfterNoConfig = 500 * time.Millisecond
	// retryAfterStopping is the retry delay while this VM stops. Other VMs serve at once.
	retryAfterStopping = minRetryAfter
	// retryAfterOverloaded is the retry delay while this VM is overloaded. Other VMs serve at once.
	retryAfterOverloaded = minRetryAfter
	// retryAfterNoMemory is the retry delay while the memory for bodies is used up. They leave it within the time of a request.
	retryAfterNoMemory = 500 * time.Millisecond
	// defaultBodyTimeout limits the time to receive the body of a request without a deadline.
	defaultBodyTimeout = 10 * time.Second
)

// ServeHTTP implements http.Handler.
func (h *Handler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	h.countRequest(r)
	isSuperseded := h.handle(w, r, h.basisOf(r))
	for range maxDecisions - 1 {
		if !isSuperseded {
			return
		}
		isSuperseded = h.handle(w, r, h.currentBasis(r.Context()))
	}
	if isSuperseded {
		h.refuse(w, r, "the configuration keeps changing", minRetryAfter)
	}
}

// maxDecisions limits how often a request is decided on, so that a series of versions does not keep it for ever.
const maxDecisions = 3

// countRequest counts a request of a host that the configuration holds.
func (h *Handler) countRequest(r *http.Request) {
	if table := h.tableOf(r); table != nil {
		if target := table.Find(requestHost(r), r.URL.Path); target != nil {
			h.Rates.Count(target.Host, callerconn.Arrival(r.Context()))
		}
	}
}

// handle decides on a request by a basis, executes it and responds. It responds nothing and returns true if the configuration has
// changed so that it would have to go elsewhere, before any of it was sent.
func (h *Handler) handle(w http.ResponseWriter, r *http.Request, basis basis) (isSuperseded bool) {
	arrival := callerconn.Arrival(r.Context())
	table := basis.table
	if table == nil {
		h.refuse(w, r, "no configuration is known", retryAfterNoConfig)
		return false
	}
	if h.IsEnding() {
		h.refuse(w, r, "the VM is stopping", retryAfterStopping)
		return false
	}
	target := table.Find(requestHost(r), r.URL.Path)
	if target == nil {
		h.reject(w, r, http.StatusNotFound, "no route")
		return false
	}
	if h.IsOverloaded() {
		h.refuse(w, r, "the VM is overloaded", retryAfterOverloaded)
		return false
	}
	owner, refused := h.identify(r, basis, target)
	if refused.status == 0 {
		refused = h.takeAllowance(owner, arrival)
	}
	if refused.status != 0 {
		h.turnAway(w, r, basis, refused)
		return false
	}
	request, refused := h.readRequest(w, r, table, target, h.sentAt(arrival))
	if refused.status != 0 {
		h.giveBackAllowance(owner)
		h.turnAway(w, r, basis, refused)
		return false
	}
	h.setOrganisation(request, table, owner)
	request.IsStillAllowed = func() bool { return h.isStillAllowed(r, basis, request, owner) }
	result := h.Dispatcher.Do(r.Context(), request)
	if result.Outcome == dispatch.NotRun {
		h.giveBackAllowance(owner)
	}
	if result.IsSuperseded {
		return true
	}
	h.respond(w, request, result)
	return false
}

// isStillAllowed reports whether the configuration in force would let a request, which was decided on by an earlier basis, go to its
// service for the same organisation.
func (h *Handler) isStillAllowed(r *http.Request, decided basis, request *dispatch.Request, owner *organisation.Organisation) bool {
	current := h.currentBasis(r.Context())
	if owner != nil && !current.keys.MayServe {
		return false
	}
	if current.table == decided.table {
		return true
	}
	target := current.table.Find(requestHost(r), r.URL.Path)
	if target == nil || !target.LeadsTo(request.Service) {
		return false
	}
	holder, refused := h.findOwner(r, current, target)
	switch {
	case refused != "" || (holder == nil) != (owner == nil):
		return false
	case owner == nil:
		return true
	}
	return holder.Name == owner.Name
}

// sentAt returns when a request that was read at the given time had been sent at the latest: a process that runs late reads late.
func (h *Handler) sentAt(read time.Time) time.Time { return read.Add(-h.Lag()) }

// basis is what a request is handled by.
type basis struct {
	// table holds the routes in force, or is nil if no configuration is known.
	table *route.Table
	// keys is what may be done with the keys of table.
	keys KeyState
}

func (h *Handler) currentBasis(ctx context.Context) basis {
	b := basis{table: h.AwaitTable(ctx)}
	if b.table != nil && b.table.Config.Organisations != nil {
		b.keys = h.KeyState(b.table.Config.Version)
	}
	return b
}

// basisKey is the context key of the basis of a request.
type basisKey struct{}

// Prepare returns the request with its basis attached to its context. The request is decided on by it as a whole, so that no two
// configurations are mixed. Only handle may start over, by a later one.
func (h *Handler) Prepare(r *http.Request) *http.Request {
	return r.WithContext(context.WithValue(r.Context(), basisKey{}, h.currentBasis(r.Context())))
}

// basisOf returns the basis of a request, which is the current one if it was not prepared.
func (h *Handler) basisOf(r *http.Request) basis {
	if b, isPrepared := r.Context().Value(basisKey{}).(basis); isPrepared {
		return b
	}
	return h.currentBasis(r.Context())
}

// tableOf returns the routes by which a request is handled, or nil if no configuration is known.
func (h *Handler) tableOf(r *http.Request) *route.Table { return h.basisOf(r).table }

// BodyLimits returns the maximum size in bytes of the body of a request, and the time within which it must be received.
func (h *Handler) BodyLimits(r *http.Request) (bytes int64, within time.Duration) {
	within = defaultBodyTimeout
	if ms, err := strconv.ParseInt(r.Header.Get(h.Headers.DeadlineMS), 10, 64); err == nil && ms >= 0 {
		within = time.Duration(ms) * time.Millisecond
	}
	table := h.tableOf(r)
	if table == nil {
		return 0, within
	}
	if target := table.Find(requestHost(r), r.URL.Path); target != nil {
		within = min(within, target.Timeout)
	}
	return table.Config.Limits.MaxBodyBytes, within
}

// MayOverlap reports whether a request may run before earlier requests of its connection are answered: if it is
// idempotent. Should the connection close before its turn, its caller sends any other request again as well.
func (h *Handler) MayOverlap(r *http.Request) bool {
	table := h.tableOf(r)
	if table == nil {
		return false
	}
	target := table.Find(requestHost(r), r.URL.Path)
	return target != nil && target.Kind == route.Idempotent
}

// requestHost returns the host of a request without the port.
func requestHost(r *http.Request) string {
	if host, _, err := net.SplitHostPort(r.Host); err == nil {
		return host
	}
	return r.Host
}

// respond records and logs the result of a request and writes the response.
func (h *Handler) respond(w http.ResponseWriter, r *dispatch.Request, result dispatch.Result) {
	took := time.Since(r.Arrival)
	h.RecordResult(r.Service, result, took)
	line := func(e logevent.Event) *zerolog.Event {
		return addTiming(e.Log(h.Log), r, &result.Timing).Str("request", r.ID).Str("route", r.Target.Name).Str("service", r.Service).
			Uint64("config", r.ConfigVersion).Str("organisation", r.Organisation).Str("server", result.Server).Float64("sick", result.UnhealthyProbability).
			Bool("trial", result.IsTrial).Dur("wait_ms", result.ExpectedWait).Int("attempts", result.Attempts).Dur("took_ms", took).Int("body_bytes", len(r.Body)).
			Uint32("body_crc32", crc32.ChecksumIEEE(r.Body)).Time("read", r.Arrival).Dur("lag_ms", result.Timing.Lag)
	}
	switch result.Outcome {
	case dispatch.Answered:
		line(logevent.RequestAnswered).Int("status", result.Answer.Status).Send()
		h.writeAnswer(w, r, result.Answer)
	case dispatch.NotRun:
		line(logevent.RequestRefused).Str("reason", result.Reason).Dur("retry_after_ms", result.RetryAfter).Send()
		writeRetryAfter(w, result.RetryAfter)
		h.writeResponse(w, r.ID, http.StatusServiceUnavailable, result.Reason)
	case dispatch.Unknown:
		line(logevent.RequestFailed).Str("reason", result.Reason).Send()
		h.writeResponse(w, r.ID, http.StatusBadGateway, result.Reason)
	case dispatch.TimedOut:
		line(logevent.RequestFailed).Str("reason", result.Reason).Send()
		h.writeResponse(w, r.ID, http.StatusGatewayTimeout, result.Reason)
	}
}

// addTiming adds when the backend server of the last attempt was chosen and when the request was written, since it was read.
func addTiming(e *zerolog.Event, r *dispatch.Request, t *dispatch.Timing) *zerolog.Event {
	if !t.ChosenAt.IsZero() {
		e = e.Dur("chosen_ms", t.ChosenAt.Sub(r.Arrival)).Uint64("entry_revision", t.EntryRevision)
	}
	if !t.WrittenAt.IsZero() {
		e = e.Dur("written_ms", t.WrittenAt.Sub(r.Arrival))
	}
	return e
}

// writeAnswer returns the answer of a backend server to the caller, unchanged except for hop-by-hop headers.
func (h *Handler) writeAnswer(w http.ResponseWriter, r *dispatch.Request, answer *backend.Answer) {
	out := w.Header()
	for name, values := range header.Strip(answer.Header) {
		out[name] = values
	}
	if _, typed := answer.Header["Content-Type"]; !typed {
		// A nil value keeps net/http from guessing a type.
		out["Content-Type"] = nil
	}
	if r.Method != http.MethodHead {
		out.Set("Content-Length", strconv.Itoa(answer.Body.Len()))
	}
	w.WriteHeader(answer.Status)
	if _, err := answer.Body.WriteTo(w); err != nil {
		logevent.RequestFailed.Log(h.Log).Str("request", r.ID).Str("reason", "the answer could not be written").Err(err).Send()
	}
}

// turnAway responds to a request that is not dispatched.
func (h *Handler) turnAway(w http.ResponseWriter, r *http.Request, b basis, refused refusal) {
	id := r.Header.Get(h.Headers.RequestID)
	logevent.RequestRefused.Log(h.Log).Str("request", id).Int("status", refused.status).Uint64("config", b.table.Config.Version).
		Dur("proof_age_ms", b.keys.ProofAge).Str("reason", refused.reason).Send()
	if refused.status == http.StatusUnauthorized {
		w.Header().Set("WWW-Authenticate", keyScheme)
	}
	if refused.retryAfter > 0 {
		writeRetryAfter(w, refused.retryAfter)
	}
	h.writeResponse(w, id, refused.status, refused.reason)
}

// refuse responds with 503: the request has not run, and the caller may send it again after the given time.
func (h *Handler) refuse(w http.ResponseWriter, r *http.Request, reason string, after time.Duration) {
	id := r.Header.Get(h.Headers.RequestID)
	logevent.RequestRefused.Log(h.Log).Str("request", id).Str("reason", reason).Send()
	writeRetryAfter(w, after)
	h.writeResponse(w, id, http.StatusServiceUnavailable, reason)
}

// reject responds to a request that was not dispatched with the given status and no Retry-After.
func (h *Handler) reject(w http.ResponseWriter, r *http.Request, status int, reason string) {
	id := r.Header.Get(h.Headers.RequestID)
	logevent.RequestRefused.Log(h.Log).Str("request", id).Int("status", status).Str("reason", reason).Send()
	h.writeResponse(w, id, status, reason)
}

// writeResponse writes a response that the gateway itself generates. id is the request id, if there is one.
func (h *Handler) writeResponse(w http.ResponseWriter, id string, status int, reason string) {
	out := w.Header()
	if id != "" {
		out.Set(h.Headers.RequestID, id)
	}
	out.Set("Content-Type", "text/plain; charset=utf-8")
	out.Set("Content-Length", strconv.Itoa(len(reason)+1))
	w.WriteHeader(status)
	if _, err := io.WriteString(w, reason+"\n"); err != nil {
		logevent.RequestFailed.Log(h.Log).Str("request", id).Str("reason", "the refusal could not be written").Err(err).Send()
	}
}

// minRetryAfter keeps callers from retrying at once.
const minRetryAfter = 50 * time.Millisecond

// writeRetryAfter sets the Retry-After header, in seconds with three decimals.
func writeRetryAfter(w http.ResponseWriter, after time.Duration) {
	seconds := max(after, minRetryAfter).Seconds()
	w.Header().Set("Retry-After", strconv.FormatFloat(seconds, 'f', 3, 64))
}
