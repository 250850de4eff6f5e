// Package header defines the HTTP headers that callers, the system and backend servers exchange.
package header

import (
	"net/http"
	"net/textproto"
	"strings"
)

// Headers that callers set.
const (
	// IdempotencyKey identifies one operation of the caller across its sends.
	IdempotencyKey = "Idempotency-Key"
	// SendNumber is the number of this send of the key, counted from 1.
	SendNumber = "Primrose-Send-Number"
	// NotRunThrough is the highest send number that was answered not-run.
	NotRunThrough = "Primrose-Not-Run-Through"
	// TimeoutMS is how long the caller waits for the answer, in milliseconds.
	TimeoutMS = "Primrose-Timeout-Ms"
	// Organisation is the organisation on whose behalf the request is made.
	Organisation = "Primrose-Organisation"
	// NonIdempotent, set to "true", marks a request as non-idempotent although it is idempotent by the catalogue.
	NonIdempotent = "Primrose-Non-Idempotent"
)

// Headers that the system sets in answers.
const (
	// Outcome is the outcome of the request: done, not-run or unknown.
	Outcome = "Primrose-Outcome"
	// Reason states why there is no answer of a backend server.
	Reason = "Primrose-Reason"
	// RequestID identifies the request in logs and traces.
	RequestID = "Primrose-Request-Id"
	// Remembered is "true" if the answer is the recorded one of an earlier send.
	Remembered = "Primrose-Remembered"
	// RetryAfterMS is how long the caller should wait before the next send, in milliseconds.
	RetryAfterMS = "Primrose-Retry-After-Ms"
)

// Trial, set to "true" in a request to a backend server, marks it as one whose result decides whether the server returns to
// service.
const Trial = "Primrose-Trial"

// Headers that backend servers set.
const (
	// NotStarted, set to "true", reports that the backend server shed the request before running any of it.
	NotStarted = "Backend-Not-Started"
	// Draining, set to "true", reports that the backend server accepts no new requests.
	Draining = "Backend-Draining"
)

// internalPrefixes are the prefixes of the headers that are never passed through.
var internalPrefixes = []string{"Primrose-", "Backend-"}

// hopByHop are the headers that apply to one connection only.
var hopByHop = []string{
	"Connection", "Proxy-Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization",
	"Te", "Trailer", "Transfer-Encoding", "Upgrade", "Expect",
}

// Strip returns a copy of h without hop-by-hop headers, headers named by Connection, and internal headers.
func Strip(h http.Header) http.Header {
	out := h.Clone()
	for _, line := range h["Connection"] {
		for name := range strings.SplitSeq(line, ",") {
			delete(out, textproto.CanonicalMIMEHeaderKey(strings.TrimSpace(name)))
		}
	}
	for _, name := range hopByHop {
		delete(out, name)
	}
	for name := range out {
		if isInternal(name) {
			delete(out, name)
		}
	}
	return out
}

// isInternal reports whether a header in canonical form has an internal prefix.
func isInternal(name string) bool {
	for _, prefix := range internalPrefixes {
		if strings.HasPrefix(name, prefix) {
			return true
		}
	}
	return false
}
