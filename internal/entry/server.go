// Package entry puts the parts of primrose-entry together.
package entry

import (
	"context"
	"slices"
	"time"

	pb "github.com/primroseladder/primroseladder/api/primrosev1"
	"github.com/primroseladder/primroseladder/internal/entrypeer"
	"github.com/primroseladder/primroseladder/internal/fleet"
	"github.com/primroseladder/primroseladder/internal/once"
	"github.com/primroseladder/primroseladder/internal/outcome"
	"github.com/primroseladder/primroseladder/internal/placement"
	"github.com/primroseladder/primroseladder/internal/request"
	"github.com/primroseladder/primroseladder/internal/run"
	"github.com/primroseladder/primroseladder/internal/snapshot"
	"github.com/primroseladder/primroseladder/internal/tracing"
)

// Server decides where a request is carried out: here, or on a VM of the service's group.
type Server struct {
	self   string
	region string
	holder *snapshot.Holder
	guard  *once.Guard
	runner *run.Runner
	peers  Forwarder
}

// Forwarder hands requests to other entries. With an error, started tells whether the request may have left.
type Forwarder interface {
	Forward(ctx context.Context, to fleet.VM, r *request.Request) (response *request.Response, started bool, err error)
}

// NewServer returns the server of the entry VM self.
func NewServer(s *Settings, holder *snapshot.Holder, guard *once.Guard, runner *run.Runner, peers Forwarder) *Server {
	return &Server{self: s.VM, region: s.Region, holder: holder, guard: guard, runner: runner, peers: peers}
}

// Serve carries out a caller's request.
func (s *Server) Serve(ctx context.Context, r *request.Request) *request.Response {
	view := s.holder.Get().View
	isMember := placement.IsMember(s.self, r.Entry.Service, s.region, view, placement.DefaultGroupSize)
	if isMember && !s.runner.IsPathSuspect(r.Entry.Service) {
		return s.local(ctx, r)
	}
	group := placement.Group(r.Entry.Service, s.region, view, placement.DefaultGroupSize)
	group = slices.DeleteFunc(group, func(vm fleet.VM) bool { return vm.Name == s.self })
	if len(group) == 0 {
		return s.local(ctx, r)
	}
	return s.forward(ctx, r, group)
}

// local carries out the request on this VM.
func (s *Server) local(ctx context.Context, r *request.Request) *request.Response {
	return s.guard.Do(ctx, r, func() *request.Response { return s.runner.Run(ctx, r) })
}

// maxForwards bounds the members of the group that are tried for one request.
const maxForwards = 2

// forward hands the request to a member of the group, or serves it here where none can be reached.
func (s *Server) forward(ctx context.Context, r *request.Request, group []fleet.VM) *request.Response {
	ctx, cancel := context.WithDeadline(ctx, r.Deadline)
	defer cancel()
	ctx, span := tracing.Start(ctx, "forward")
	defer span.End("")
	mayHaveRun := false
	members := placement.Rank(r.ID, group)
	for _, member := range members[:min(maxForwards, len(members))] {
		response, started, err := s.peers.Forward(ctx, member, r.WithTrace(ctx))
		if err == nil {
			return afterLostForward(mayHaveRun, response)
		}
		if started && !r.Idempotent {
			return request.UnknownOutcome(outcome.ReasonPeerLost)
		}
		mayHaveRun = mayHaveRun || started
	}
	return afterLostForward(mayHaveRun, s.local(ctx, r))
}

// afterLostForward turns not-run into unknown where an earlier member may have run the request.
func afterLostForward(mayHaveRun bool, response *request.Response) *request.Response {
	if mayHaveRun && response.Outcome == outcome.NotRun {
		return request.UnknownOutcome(outcome.ReasonPeerLost)
	}
	return response
}

// Accept implements entrypeer.Acceptor.
func (s *Server) Accept(ctx context.Context, f *pb.ForwardRequest) (*request.Response, bool) {
	e, found := s.holder.Get().Routes.Service(f.GetService())
	if !found {
		return nil, false
	}
	r := &request.Request{
		ID: f.GetRequestId(), Entry: e, Method: f.GetMethod(), Target: f.GetTarget(), Body: f.GetBody(),
		Header: entrypeer.Headers(f), Organisation: f.GetOrganisation(), Key: f.GetIdempotencyKey(),
		SendNumber: f.GetSendNumber(), NotRunThrough: f.GetNotRunThrough(), Idempotent: !f.GetNonIdempotent(),
		Arrival:  time.Now(),
		Deadline: time.Now().Add(time.Duration(f.GetTimeoutMs()) * time.Millisecond), Hops: f.GetHops(),
	}
	ctx, span := tracing.Start(tracing.Extract(ctx, r.Header), "forwarded request")
	span.Set("request_id", r.ID)
	response := s.local(ctx, r)
	span.End(string(response.Reason))
	return response, true
}
