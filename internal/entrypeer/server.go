package entrypeer

import (
	"context"
	"time"

	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	pb "github.com/primroseladder/primroseladder/api/primrosev1"
	"github.com/primroseladder/primroseladder/internal/once"
	"github.com/primroseladder/primroseladder/internal/request"
)

// Acceptor runs the requests that other entries forward.
type Acceptor interface {
	// Accept runs the request and returns the response, or false if the service is not in the catalogue.
	Accept(ctx context.Context, r *pb.ForwardRequest) (*request.Response, bool)
}

// Server implements the gRPC service that other entries call.
type Server struct {
	pb.UnimplementedEntryServer
	acceptor Acceptor
	memory   *once.Memory
}

// NewServer returns the gRPC service of an entry.
func NewServer(acceptor Acceptor, memory *once.Memory) *Server {
	return &Server{acceptor: acceptor, memory: memory}
}

// Forward implements the gRPC service. It refuses a request that was forwarded more than once, so that requests cannot loop.
func (s *Server) Forward(ctx context.Context, r *pb.ForwardRequest) (*pb.ForwardResponse, error) {
	if r.GetHops() > 1 {
		return nil, status.Error(codes.FailedPrecondition, "forwarded more than once")
	}
	response, found := s.acceptor.Accept(ctx, r)
	if !found {
		return nil, status.Errorf(codes.NotFound, "no service %s in the catalogue", r.GetService())
	}
	return responseToProto(r.GetRequestId(), response), nil
}

// Claim implements the gRPC service. A sealed memory is reported as Unavailable.
func (s *Server) Claim(_ context.Context, r *pb.ClaimRequest) (*pb.ClaimResponse, error) {
	verdict, answer := s.memory.Claim(once.Send{
		Key: keyFromProto(r), Number: r.GetSendNumber(), NotRunThrough: r.GetNotRunThrough(),
		BodyDigest: r.GetBodyDigest(), ClaimID: r.GetClaimId(), Copy: r.GetCopy(),
		Timeout: time.Duration(r.GetTimeoutMs()) * time.Millisecond,
	})
	if verdict == once.VerdictSealed {
		return nil, status.Error(codes.Unavailable, "the memory was handed over")
	}
	return &pb.ClaimResponse{Verdict: pb.ClaimVerdict(verdict), Answer: answerToProto(answer)}, nil
}

// Complete implements the gRPC service. If the record of the claim is missing, the result is recorded as a copy.
func (s *Server) Complete(_ context.Context, r *pb.CompleteRequest) (*pb.CompleteResponse, error) {
	send := once.Send{
		Key: keyFromProto(r), Number: r.GetSendNumber(), BodyDigest: r.GetBodyDigest(), ClaimID: r.GetClaimId(), Copy: true,
	}
	s.memory.Complete(send, outcomeFromProto(r.GetOutcome()), answerFromProto(r.GetAnswer()))
	return &pb.CompleteResponse{}, nil
}

// Lookup implements the gRPC service.
func (s *Server) Lookup(ctx context.Context, r *pb.LookupRequest) (*pb.LookupResponse, error) {
	verdict, answer := s.memory.Lookup(ctx, once.Send{
		Key: keyFromProto(r), Number: r.GetSendNumber(), NotRunThrough: r.GetNotRunThrough(), BodyDigest: r.GetBodyDigest(),
	})
	return &pb.LookupResponse{Verdict: pb.ClaimVerdict(verdict), Answer: answerToProto(answer)}, nil
}

// HandOver implements the gRPC service. It records the coverage only after all records of the message are imported.
func (s *Server) HandOver(_ context.Context, r *pb.HandOverRequest) (*pb.HandOverResponse, error) {
	records := make([]once.ExportedRecord, 0, len(r.GetRecords()))
	for _, m := range r.GetRecords() {
		records = append(records, recordFromProto(m))
	}
	if !s.memory.Import(records) {
		return nil, status.Error(codes.Unavailable, "the memory was handed over")
	}
	for _, c := range r.GetCoverage() {
		s.memory.RecordHandOver(c.GetVm(), time.Duration(c.GetCoveredMs())*time.Millisecond, r.GetListIndex())
	}
	return &pb.HandOverResponse{}, nil
}
