package ingress

import (
	"errors"
	"io"
	"net"
	"net/http"
	"strconv"
	"time"

	"github.com/primroseladder/primroseladder/internal/dispatch"
	"github.com/primroseladder/primroseladder/internal/header"
	"github.com/primroseladder/primroseladder/internal/membudget"
	"github.com/primroseladder/primroseladder/internal/route"
)

// readRequest reads the complete request and chooses its service, unless the request is invalid or there is no memory for its body.
func (h *Handler) readRequest(
	w http.ResponseWriter, r *http.Request, table *route.Table, target *route.Target, sent time.Time,
) (*dispatch.Request, refusal) {
	if limit := table.Config.Limits.MaxHeaderBytes; limit > 0 && headerBytes(r) > limit {
		return nil, refusal{status: http.StatusRequestHeaderFieldsTooLarge, reason: "header too long"}
	}
	id := r.Header.Get(h.Headers.RequestID)
	if id == "" {
		return nil, refusal{status: http.StatusBadRequest, reason: "no request id"}
	}
	out := &dispatch.Request{
		ID: id, Method: r.Method, URI: r.RequestURI, Host: r.Host, Target: target, Arrival: sent,
		ConfigVersion: table.Config.Version,
	}
	bodyTimeout := defaultBodyTimeout
	if text := r.Header.Get(h.Headers.DeadlineMS); text != "" {
		ms, err := strconv.ParseInt(text, 10, 64)
		if err != nil || ms < 0 {
			return nil, refusal{status: http.StatusBadRequest, reason: "unreadable deadline"}
		}
		bodyTimeout = time.Duration(ms) * time.Millisecond
		out.CallerDeadline = sent.Add(bodyTimeout)
	}
	body, refused := readBody(w, r, table.Config.Limits.MaxBodyBytes, min(bodyTimeout, target.Timeout))
	if refused.status != 0 {
		return nil, refused
	}
	out.Body = body
	out.Header = header.Strip(r.Header)
	for _, name := range h.Headers.Internal {
		out.Header.Del(name)
	}
	if _, named := out.Header["User-Agent"]; !named {
		// If the caller sent no User-Agent, none is forwarded. An empty value keeps the header out of the request too.
		delete(out.Header, "User-Agent")
	}
	out.Service = target.NextService()
	return out, refusal{}
}

// headerBytes returns the length in bytes of the request line and the header lines, assuming the usual single space after
// each colon.
func headerBytes(r *http.Request) int {
	const lineEnd, separator = len("\r\n"), len(": ")
	n := len(r.Method) + len(" ") + len(r.RequestURI) + len(" ") + len(r.Proto) + lineEnd
	n += len("Host") + separator + len(r.Host) + lineEnd
	for name, values := range r.Header {
		for _, value := range values {
			n += len(name) + separator + len(value) + lineEnd
		}
	}
	return n + lineEnd
}

// readBody reads the body of a request, unless it exceeds limit bytes or the memory, is not complete within the given time, or cannot
// be read.
func readBody(w http.ResponseWriter, r *http.Request, limit int64, within time.Duration) ([]byte, refusal) {
	if r.Body == nil || r.ContentLength == 0 {
		return nil, refusal{}
	}
	control := http.NewResponseController(w)
	if err := control.SetReadDeadline(time.Now().Add(within)); err != nil {
		return nil, refusal{status: http.StatusInternalServerError, reason: "the time to read the body cannot be limited"}
	}
	body, err := readWhole(w, r, limit)
	var tooLarge *http.MaxBytesError
	var timeout net.Error
	switch {
	case errors.As(err, &tooLarge):
		return nil, refusal{status: http.StatusRequestEntityTooLarge, reason: "the body is too large"}
	case errors.Is(err, membudget.ErrExhausted):
		return nil, refusal{http.StatusServiceUnavailable, "the memory of the VM for bodies is used up", retryAfterNoMemory}
	case errors.As(err, &timeout) && timeout.Timeout():
		return nil, refusal{status: http.StatusRequestTimeout, reason: "the body was not received in time"}
	case err != nil:
		return nil, refusal{status: http.StatusBadRequest, reason: "the body cannot be read"}
	}
	if err := control.SetReadDeadline(time.Time{}); err != nil {
		return nil, refusal{status: http.StatusInternalServerError, reason: "the time to read the body cannot be lifted"}
	}
	return body, refusal{}
}

// readWhole returns the body of a request, without a copy if the connection has received it already.
func readWhole(w http.ResponseWriter, r *http.Request, limit int64) ([]byte, error) {
	if received, ok := r.Body.(interface{ Whole() ([]byte, error) }); ok {
		return received.Whole()
	}
	return io.ReadAll(http.MaxBytesReader(w, r.Body, limit))
}
