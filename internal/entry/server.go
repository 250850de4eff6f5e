// Package entry assembles primrose-entry, the process that accepts callers' requests: its settings, the decision whether to
// serve or forward a request, the connection to the keeper on the same VM, and the planned stop.
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

// Server decides where a request is processed: on this VM, or on another VM of the service's group.
type Server struct {
	self   string
	region string
	holder *snapshot.Holder
	guard  *once.Guard
	runner *run.Runner
	peers  Forwarder
}

// Forwarder sends requests to other entries. If err is not nil, started reports whether the request may have been sent.
type Forwarder interface {
	Forward(ctx context.Context, to fleet.VM, r *request.Request) (response *request.Response, started bool, err error)
}

// NewServer returns the server of the entry VM self.
func NewServer(s *Settings, holder *snapshot.Holder, guard *once.Guard, runner *run.Runner, peers Forwarder) *Server {
	return &Server{self: s.VM, region: s.Region, holder: holder, guard: guard, runner: runner, peers: peers}
}

// Serve processes a caller's request: on this VM if it belongs to the service's group and its network path is not suspected of
// causing failures, otherwise on another VM of the group, if there is one.
func (s *Server) Serve(ctx context.Context, r *request.Request) *request.Response {
	view := s.holder.Get().View
	isMember := placement.IsMember(s.self, r.Entry.Service, s.region, view, placement.DefaultGroupSize)
	if isMember && !s.runner.IsLocalPathUnhealthy(r.Entry.Service) {
		return s.serveLocally(ctx, r)
	}
	group := placement.Group(r.Entry.Service, s.region, view, placement.DefaultGroupSize)
	group = slices.DeleteFunc(group, func(vm fleet.VM) bool { return vm.Name == s.self })
	if len(group) == 0 {
		return s.serveLocally(ctx, r)
	}
	return s.forward(ctx, r, group)
}

// serveLocally processes the request on this VM.
func (s *Server) serveLocally(ctx context.Context, r *request.Request) *request.Response {
	return s.guard.Do(ctx, r, func() *request.Response { return s.runner.Run(ctx, r) })
}

// maxForwardAttempts bounds the number of VMs of the group to which one request is forwarded in turn.
const maxForwardAttempts = 2

// forward sends the request to a VM of the group, or serves it on this VM if none can be reached. A non-idempotent request
// that may have been sent is not sent again.
func (s *Server) forward(ctx context.Context, r *request.Request, group []fleet.VM) *request.Response {
	ctx, cancel := context.WithDeadline(ctx, r.Deadline)
	defer cancel()
	ctx, span := tracing.Start(ctx, "forward")
	defer span.End("")
	mayHaveRun := false
	members := placement.Rank(r.ID, group)
	for _, member := range members[:min(maxForwardAttempts, len(members))] {
		response, started, err := s.peers.Forward(ctx, member, r.WithTrace(ctx))
		if err == nil {
			return adjustOutcome(mayHaveRun, response)
		}
		if started && !r.Idempotent {
			return request.UnknownOutcome(outcome.ReasonPeerLost)
		}
		mayHaveRun = mayHaveRun || started
	}
	return adjustOutcome(mayHaveRun, s.serveLocally(ctx, r))
}

// adjustOutcome changes the outcome not-run to unknown if a VM tried earlier may have run the request.
func adjustOutcome(mayHaveRun bool, response *request.Response) *request.Response {
	if mayHaveRun && response.Outcome == outcome.NotRun {
		return request.UnknownOutcome(outcome.ReasonPeerLost)
	}
	return response
}

// Accept implements entrypeer.Acceptor: it processes a request that another entry has forwarded. It returns false if this
// VM's catalogue does not have the service.
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
	response := s.serveLocally(ctx, r)
	span.End(string(response.Reason))
	return response, true
}
