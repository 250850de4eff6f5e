// Package entrypeer implements the gRPC client and server for calls between entries: forwarding of requests, the records of
// idempotency keys (package once) and notes on crashes of backend servers (package poison).
//
// Errors of the client name the operation and the peer. If no connection to the peer is ready, Client.Forward sends nothing,
// reports the request as not started and returns an error with the gRPC code Unavailable.
package entrypeer

import (
	"net/http"
	"slices"
	"time"

	pb "github.com/primroseladder/primroseladder/api/primrosev1"
	"github.com/primroseladder/primroseladder/internal/header"
	"github.com/primroseladder/primroseladder/internal/once"
	"github.com/primroseladder/primroseladder/internal/outcome"
	"github.com/primroseladder/primroseladder/internal/request"
)

var outcomeToProto = map[outcome.Outcome]pb.Outcome{
	outcome.Done:    pb.Outcome_OUTCOME_DONE,
	outcome.NotRun:  pb.Outcome_OUTCOME_NOT_RUN,
	outcome.Unknown: pb.Outcome_OUTCOME_UNKNOWN,
}

// outcomeFromProto converts an outcome. Any value other than done and not-run becomes unknown.
func outcomeFromProto(o pb.Outcome) outcome.Outcome {
	switch o {
	case pb.Outcome_OUTCOME_DONE:
		return outcome.Done
	case pb.Outcome_OUTCOME_NOT_RUN:
		return outcome.NotRun
	default:
		return outcome.Unknown
	}
}

func headersToProto(h http.Header) []*pb.Header {
	out := make([]*pb.Header, 0, len(h))
	for name, values := range h {
		out = append(out, &pb.Header{Name: name, Values: values})
	}
	return out
}

func headersFromProto(list []*pb.Header) http.Header {
	out := make(http.Header, len(list))
	for _, h := range list {
		out[h.GetName()] = h.GetValues()
	}
	return out
}

func requestToProto(r *request.Request) *pb.ForwardRequest {
	return &pb.ForwardRequest{
		RequestId: r.ID, Service: r.Entry.Service, Method: r.Method, Target: r.Target,
		Headers: headersToProto(r.Header), Body: r.Body, Hops: r.Hops + 1,
		TimeoutMs:    uint32(max(0, time.Until(r.Deadline).Milliseconds())),
		Organisation: r.Organisation, IdempotencyKey: r.Key, SendNumber: r.SendNumber,
		NotRunThrough: r.NotRunThrough, NonIdempotent: !r.Idempotent,
	}
}

// responseToProto sends whether an answer is remembered among its headers, in place of what the backend server may have set
// there. VMs of earlier versions remove that header.
func responseToProto(id string, r *request.Response) *pb.ForwardResponse {
	headers := headersToProto(r.Header)
	headers = slices.DeleteFunc(headers, func(h *pb.Header) bool { return h.GetName() == header.Remembered })
	if r.Remembered {
		headers = append(headers, &pb.Header{Name: header.Remembered, Values: []string{"true"}})
	}
	return &pb.ForwardResponse{
		RequestId: id, Outcome: outcomeToProto[r.Outcome], Status: uint32(r.Status), Headers: headers,
		Body: r.Body, Reason: string(r.Reason), RetryAfterMs: uint32(r.RetryAfter.Milliseconds()), Backend: r.Backend,
	}
}

func responseFromProto(r *pb.ForwardResponse) *request.Response {
	headers := headersFromProto(r.GetHeaders())
	isRemembered := headers.Get(header.Remembered) == "true"
	headers.Del(header.Remembered)
	return &request.Response{
		Outcome: outcomeFromProto(r.GetOutcome()), Status: int(r.GetStatus()), Header: headers, Remembered: isRemembered,
		Body: r.GetBody(), Reason: outcome.Reason(r.GetReason()), Backend: r.GetBackend(),
		RetryAfter: time.Duration(r.GetRetryAfterMs()) * time.Millisecond,
	}
}

func answerToProto(a once.Answer) *pb.RememberedAnswer {
	return &pb.RememberedAnswer{Status: uint32(a.Status), Headers: headersToProto(a.Header), Body: a.Body, BodyKept: a.BodyKept}
}

func answerFromProto(a *pb.RememberedAnswer) once.Answer {
	return once.Answer{
		Status: int(a.GetStatus()), Header: headersFromProto(a.GetHeaders()), Body: a.GetBody(), BodyKept: a.GetBodyKept(),
	}
}

// Headers returns the HTTP headers of a forwarded request.
func Headers(r *pb.ForwardRequest) http.Header { return headersFromProto(r.GetHeaders()) }
