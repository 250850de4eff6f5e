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

// readRequest reads the complete request and chooses its service. If the request is invalid, it returns the status and the
// reason of the response; otherwise the status is 0.
func (h *Handler) readRequest(
	w http.ResponseWriter, r *http.Request, table *route.Table, target *route.Target, arrival time.Time,
) (*dispatch.Request, int, string) {
	if limit := table.Config.Limits.MaxHeaderBytes; limit > 0 && headerBytes(r) > limit {
		return nil, http.StatusRequestHeaderFieldsTooLarge, "header too long"
	}
	id := r.Header.Get(h.Headers.RequestID)
	if id == "" {
		return nil, http.StatusBadRequest, "no request id"
	}
	out := &dispatch.Request{
		ID: id, Method: r.Method, URI: r.RequestURI, Host: r.Host, Target: target, Arrival: arrival,
		ConfigVersion: table.Config.Version,
	}
	bodyTimeout := defaultBodyTimeout
	if text := r.Header.Get(h.Headers.DeadlineMS); text != "" {
		ms, err := strconv.ParseInt(text, 10, 64)
		if err != nil || ms < 0 {
			return nil, http.StatusBadRequest, "unreadable deadline"
		}
		bodyTimeout = time.Duration(ms) * time.Millisecond
		out.CallerDeadline = arrival.Add(bodyTimeout)
	}
	body, status := readBody(w, r, table.Config.Limits.MaxBodyBytes, min(bodyTimeout, target.Timeout))
	if status != 0 {
		return nil, status, "body not read"
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
	return out, 0, ""
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

// readBody reads the body of a request. It returns status 0, or that of the response if the body exceeds limit bytes, is
// not complete within the given time, or cannot be read.
func readBody(w http.ResponseWriter, r *http.Request, limit int64, within time.Duration) ([]byte, int) {
	if r.Body == nil || r.ContentLength == 0 {
		return nil, 0
	}
	control := http.NewResponseController(w)
	if err := control.SetReadDeadline(time.Now().Add(within)); err != nil {
		return nil, http.StatusInternalServerError
	}
	body, err := readWhole(w, r, limit)
	var tooLarge *http.MaxBytesError
	var timeout net.Error
	switch {
	case errors.As(err, &tooLarge):
		return nil, http.StatusRequestEntityTooLarge
	case errors.Is(err, membudget.ErrExhausted):
		return nil, http.StatusServiceUnavailable
	case errors.As(err, &timeout) && timeout.Timeout():
		return nil, http.StatusRequestTimeout
	case err != nil:
		return nil, http.StatusBadRequest
	}
	if err := control.SetReadDeadline(time.Time{}); err != nil {
		return nil, http.StatusInternalServerError
	}
	return body, 0
}

// readWhole returns the body of a request, without a copy if the connection has received it already.
func readWhole(w http.ResponseWriter, r *http.Request, limit int64) ([]byte, error) {
	if received, ok := r.Body.(interface{ Whole() ([]byte, error) }); ok {
		return received.Whole()
	}
	return io.ReadAll(http.MaxBytesReader(w, r.Body, limit))
}
