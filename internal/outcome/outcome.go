// Package outcome names how a request ended and why it was refused.
package outcome

import "net/http"

// Outcome is what a caller may conclude about its request.
type Outcome string

// The outcomes.
const (
	// Done means that the answer is the backend server's own, whole answer.
	Done Outcome = "done"
	// NotRun means that no attempt was started and none will be; the request may be sent anew.
	NotRun Outcome = "not-run"
	// Unknown means that an attempt may have run. The request is not run again.
	Unknown Outcome = "unknown"
)

// Reason is a stable word that tells why a request has no answer of its own.
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

// statusOfReason are the HTTP statusOfReason of the reasons. The rest are 503.
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

// Status returns the HTTP status of a reason.
func (r Reason) Status() int {
	if status, ok := statusOfReason[r]; ok {
		return status
	}
	return http.StatusServiceUnavailable
}
