// Package request defines a caller's request and its response as they are passed between the packages of an entry.
package request

import (
	"context"
	"net/http"
	"time"

	"github.com/primroseladder/primroseladder/internal/catalogue"
	"github.com/primroseladder/primroseladder/internal/outcome"
	"github.com/primroseladder/primroseladder/internal/tracing"
)

// Request is a caller's request with its whole body.
type Request struct {
	ID string
	// Entry is the catalogue entry of the request's service.
	Entry        *catalogue.Entry
	Method       string
	Target       string
	Host         string
	Header       http.Header
	Body         []byte
	Organisation string
	// Arrival is the time at which this entry had read the whole request.
	Arrival  time.Time
	Deadline time.Time
	// Idempotent is false if the request must run at most once.
	Idempotent bool
	// Key is the idempotency key, or empty.
	Key string
	// SendNumber counts the caller's sends with Key from 1; 0 if the caller does not number them.
	SendNumber uint32
	// NotRunThrough is the highest send number that the caller knows was not run.
	NotRunThrough uint32
	// Hops is the number of entries that have forwarded the request.
	Hops uint32
	// IsConfirmedNew is set if the home of the key has confirmed that no earlier send ran.
	IsConfirmedNew bool
}

// IsFirstSend reports whether the caller states that no earlier send of the key can have run.
func (r *Request) IsFirstSend() bool {
	return r.SendNumber > 0 && r.SendNumber == r.NotRunThrough+1
}

// MayHaveRunBefore reports whether an earlier send with the same key, of which this entry has no record, may have run.
func (r *Request) MayHaveRunBefore() bool {
	return !r.Idempotent && r.Key != "" && !r.IsFirstSend() && !r.IsConfirmedNew
}

// WithTrace returns a copy of the request whose headers carry the trace context of ctx.
func (r *Request) WithTrace(ctx context.Context) *Request {
	out := *r
	out.Header = r.Header.Clone()
	tracing.Inject(ctx, out.Header)
	return &out
}

// Response is the response to a caller.
type Response struct {
	Outcome outcome.Outcome
	// Reason is empty if a backend server answered.
	Reason     outcome.Reason
	Detail     string
	Status     int
	Header     http.Header
	Body       []byte
	RetryAfter time.Duration
	// Backend is the backend server that answered.
	Backend string
	// Remembered is set if the answer is the stored answer to an earlier send.
	Remembered bool
}

// Refuse returns the response to a request of which no attempt has started. The outcome is not-run, or unknown if an
// earlier send with the same key may have run.
func Refuse(r *Request, reason outcome.Reason, retryAfter time.Duration) *Response {
	result := outcome.NotRun
	if r.MayHaveRunBefore() {
		result = outcome.Unknown
	}
	return &Response{Outcome: result, Reason: reason, Status: reason.Status(), RetryAfter: retryAfter}
}

// UnknownOutcome returns the response to a request that may have run, with the outcome unknown.
func UnknownOutcome(reason outcome.Reason) *Response {
	return &Response{Outcome: outcome.Unknown, Reason: reason, Status: reason.Status()}
}
