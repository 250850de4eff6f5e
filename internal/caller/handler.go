package caller

import (
	"context"
	"encoding/json"
	"net/http"
	"strconv"
	"time"

	"github.com/primroseladder/primroseladder/internal/header"
	"github.com/primroseladder/primroseladder/internal/outcome"
	"github.com/primroseladder/primroseladder/internal/request"
	"github.com/primroseladder/primroseladder/internal/snapshot"
	"github.com/primroseladder/primroseladder/internal/tracing"
)

// Server processes a caller's request.
type Server interface {
	Serve(ctx context.Context, r *request.Request) *request.Response
}

// Handler is the HTTP handler of the callers' listener.
type Handler struct {
	server Server
	holder *snapshot.Holder
}

// NewHandler returns a handler that finds the service of a request by the holder's current routes and has the server process
// the request.
func NewHandler(server Server, holder *snapshot.Holder) *Handler {
	return &Handler{server: server, holder: holder}
}

// ServeHTTP implements http.Handler. Requests are refused until there is a catalogue.
func (h *Handler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	current := h.holder.Get()
	if current.Revision == 0 {
		writeRefusal(w, r, &parseError{outcome.ReasonNoCatalogue, "this entry has no catalogue yet"})
		return
	}
	req, failure := parse(w, r, current.Routes)
	if failure != nil {
		writeRefusal(w, r, failure)
		return
	}
	ctx, span := tracing.Start(tracing.Extract(r.Context(), r.Header), "caller request")
	span.Set("request_id", req.ID)
	span.Set("service", req.Entry.Service)
	response := h.server.Serve(ctx, req)
	span.End(string(response.Reason))
	writeResponse(w, req.ID, response)
}

// writeRefusal answers a request that was not accepted. The outcome is not-run only if no earlier send of the idempotency key
// can have run, and unknown otherwise.
func writeRefusal(w http.ResponseWriter, r *http.Request, e *parseError) {
	result := outcome.NotRun
	if mayHaveRunBefore(r) {
		result = outcome.Unknown
	}
	writeResponse(w, "", &request.Response{Outcome: result, Reason: e.reason, Detail: e.detail, Status: e.reason.Status()})
}

// mayHaveRunBefore reports whether the request is a well-formed send of an idempotency key of which an earlier send may
// have run. A request with malformed send numbers does not count as a send.
func mayHaveRunBefore(r *http.Request) bool {
	if len(r.Header.Values(header.IdempotencyKey)) != 1 {
		return false
	}
	n, err := parsePositiveHeader(r, header.SendNumber)
	if err != nil {
		return false
	}
	through, err := parsePositiveHeader(r, header.NotRunThrough)
	if err != nil || (n > 0 && through >= n) {
		return false
	}
	return n != through+1
}

// refusalBody is the JSON body of an answer that does not come from a backend server.
type refusalBody struct {
	Outcome      outcome.Outcome `json:"outcome"`
	Reason       outcome.Reason  `json:"reason"`
	Detail       string          `json:"detail,omitempty"`
	RetryAfterMS int64           `json:"retry_after_ms,omitempty"`
}

// writeTimeout bounds the time in which a caller reads an answer.
const writeTimeout = 30 * time.Second

// writeResponse sends the response to the caller. A response with a reason gets a refusalBody as its body. An empty id omits the
// request ID header.
func writeResponse(w http.ResponseWriter, id string, resp *request.Response) {
	out := w.Header()
	for name, values := range header.Strip(resp.Header) {
		out[name] = values
	}
	out.Set(header.Outcome, string(resp.Outcome))
	if id != "" {
		out.Set(header.RequestID, id)
	}
	if resp.Remembered {
		out.Set(header.Remembered, "true")
	}
	body := resp.Body
	if resp.Reason != "" {
		out.Set(header.Reason, string(resp.Reason))
		out.Set("Content-Type", "application/json")
		body, _ = json.Marshal(refusalBody{resp.Outcome, resp.Reason, resp.Detail, resp.RetryAfter.Milliseconds()})
		body = append(body, '\n')
	}
	if resp.RetryAfter > 0 {
		out.Set(header.RetryAfterMS, strconv.FormatInt(resp.RetryAfter.Milliseconds(), 10))
		out.Set("Retry-After", strconv.FormatInt(int64(resp.RetryAfter.Seconds())+1, 10))
	}
	setLength(out, len(body))
	_ = http.NewResponseController(w).SetWriteDeadline(time.Now().Add(writeTimeout))
	w.WriteHeader(resp.Status)
	_, _ = w.Write(body)
}

// setLength sets Content-Length to the length of the body. An answer to HEAD has no body and keeps the length that the backend
// server declared.
func setLength(out http.Header, length int) {
	if length > 0 || out.Get("Content-Length") == "" {
		out.Set("Content-Length", strconv.Itoa(length))
	}
}
