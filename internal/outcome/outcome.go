// Package outcome defines the outcomes of requests and the reasons for refusals and failures. Callers receive both as
// header values.
package outcome

import "net/http"

// Outcome states whether a request has run.
type Outcome string

// The outcomes.
const (
	// Done means that the response is the whole answer of a backend server.
	Done Outcome = "done"
	// NotRun means that no attempt was started and none will be. The caller can safely send the request again.
	NotRun Outcome = "not-run"
	// Unknown means that an attempt may have run. The request will not be run again.
	Unknown Outcome = "unknown"
)

// Reason is a stable identifier that states why a request has no answer from a backend server.
type Reason string

// The reasons.
const (
	ReasonBadRequest      Reason = "bad-request"
	ReasonNoRoute         Reason = "no-route"
	ReasonTooLarge        Reason = "request-too-large"
	ReasonOverload        Reason = "overload"
	ReasonDeadline        Reason = "deadline"
	ReasonNoBackend       Reason = "no-backend"
	ReasonPoison          Reason = "poison"
	ReasonLostAnswer      Reason = "lost-answer"
	ReasonBrokenAnswer    Reason = "broken-answer"
	ReasonAnswerTooLarge  Reason = "answer-too-large"
	ReasonNotRemembered   Reason = "not-remembered"
	ReasonStillRunning    Reason = "still-running"
	ReasonKeyMismatch     Reason = "key-mismatch"
	ReasonAnswerNotKept   Reason = "answer-not-kept"
	ReasonHomeUnreachable Reason = "home-unreachable"
	ReasonNoCatalogue     Reason = "no-catalogue"
	ReasonStopping        Reason = "stopping"
	ReasonPeerLost        Reason = "peer-lost"
	ReasonEarlierNotRun   Reason = "earlier-not-run"
)

// statusOfReason holds the HTTP status of each reason. Reasons that are not listed have status 503.
var statusOfReason = map[Reason]int{
	ReasonBadRequest:     http.StatusBadRequest,
	ReasonNoRoute:        http.StatusNotFound,
	ReasonTooLarge:       http.StatusRequestEntityTooLarge,
	ReasonOverload:       http.StatusTooManyRequests,
	ReasonDeadline:       http.StatusGatewayTimeout,
	ReasonLostAnswer:     http.StatusBadGateway,
	ReasonBrokenAnswer:   http.StatusBadGateway,
	ReasonAnswerTooLarge: http.StatusBadGateway,
	ReasonPeerLost:       http.StatusBadGateway,
	ReasonKeyMismatch:    http.StatusUnprocessableEntity,
	ReasonNotRemembered:  http.StatusConflict,
	ReasonStillRunning:   http.StatusConflict,
	ReasonAnswerNotKept:  http.StatusConflict,
}

// Status returns the HTTP status of the reason.
func (r Reason) Status() int {
	if status, ok := statusOfReason[r]; ok {
		return status
	}
	return http.StatusServiceUnavailable
}
