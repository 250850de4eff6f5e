package once

import (
	"context"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/primroseladder/primroseladder/internal/fleet"
	"github.com/primroseladder/primroseladder/internal/outcome"
	"github.com/primroseladder/primroseladder/internal/placement"
	"github.com/primroseladder/primroseladder/internal/request"
	"github.com/primroseladder/primroseladder/internal/snapshot"
	"github.com/primroseladder/primroseladder/internal/tracing"
)

// HomeClient calls the Memory of other entries.
type HomeClient interface {
	// Claim calls Memory.Claim on another VM.
	Claim(ctx context.Context, home fleet.VM, s Send) (Verdict, Answer, error)
	// Complete calls Memory.Complete on another VM.
	Complete(ctx context.Context, home fleet.VM, s Send, result outcome.Outcome, answer Answer) error
	// Lookup calls Memory.Lookup on another VM.
	Lookup(ctx context.Context, home fleet.VM, s Send) (Verdict, Answer, error)
}

// claimTimeout is the timeout of a claim at another VM.
const claimTimeout = 250 * time.Millisecond

// Guard ensures that non-idempotent requests with an idempotency key run at most once.
type Guard struct {
	self   string
	region string
	holder *snapshot.Holder
	memory *Memory
	peers  HomeClient
	// completions counts the results that are still being sent to other VMs.
	completions sync.WaitGroup
}

// NewGuard returns the guard of the entry VM self in a region.
func NewGuard(self, region string, holder *snapshot.Holder, memory *Memory, peers HomeClient) *Guard {
	return &Guard{self: self, region: region, holder: holder, memory: memory, peers: peers}
}

// Do runs the request at most once: it calls run only if no other send of the key was granted and the deadline has not
// passed. Idempotent requests and requests without a key are run without a check.
func (g *Guard) Do(ctx context.Context, req *request.Request, run func() *request.Response) *request.Response {
	if req.Idempotent || req.Key == "" {
		return run()
	}
	send := newSend(req)
	if send.IsResend() {
		return g.recall(ctx, req, send)
	}
	contacted, refusal := g.admit(ctx, req, send)
	if refusal != nil {
		return refusal
	}
	response := dispatch(req, run)
	g.complete(contacted, send, response)
	return maskNotRun(send, response)
}

// maskNotRun replaces the outcome not-run by unknown for a caller that does not number its sends: an earlier send of the key
// may still be on its way and be granted after this one. The caller may send the key again; the home then decides.
func maskNotRun(s Send, response *request.Response) *request.Response {
	if s.Number > 0 || response.Outcome != outcome.NotRun {
		return response
	}
	masked := *response
	masked.Outcome = outcome.Unknown
	return &masked
}

// dispatch runs the request unless its deadline has passed, for example after a pause of this process.
func dispatch(req *request.Request, run func() *request.Response) *request.Response {
	if hasPassed(req.Deadline) {
		return request.Refuse(req, outcome.ReasonDeadline, 0)
	}
	return run()
}

// hasPassed compares by the wall clock too, because the monotonic clock may not advance while a VM is paused.
func hasPassed(deadline time.Time) bool {
	now := time.Now()
	return !now.Before(deadline) || !now.Round(0).Before(deadline.Round(0))
}

// newSend returns the send that a request represents. Its body digest covers method, target and body.
func newSend(req *request.Request) Send {
	scope := ScopeRegion
	if req.SendNumber == 0 {
		scope = ScopeFleet
	}
	return Send{
		Key:           Key{Scope: scope, Service: req.Entry.Service, Organisation: req.Organisation, Key: req.Key},
		Number:        req.SendNumber,
		NotRunThrough: req.NotRunThrough,
		BodyDigest:    xxhash.Sum64(req.Body) ^ xxhash.Sum64String(req.Method+" "+req.Target),
		ClaimID:       req.ID,
		Timeout:       time.Until(req.Deadline),
	}
}

// rankedHomes returns the home of a key in a region and the VM that ranks second. The region is ignored for a key of
// ScopeFleet.
func (g *Guard) rankedHomes(k Key, region string) []fleet.VM {
	if k.Scope == ScopeFleet {
		region = ""
	}
	return placement.TopTwo(k.rankKey(), g.holder.Get().View.SharedLiveEntries(region))
}

// admit claims a send on this VM and then on one other, so that each grant is recorded on two VMs if a second one can be
// reached. It returns the other VMs that were contacted, or the response that refuses the send.
func (g *Guard) admit(ctx context.Context, req *request.Request, s Send) ([]fleet.VM, *request.Response) {
	homes := g.rankedHomes(s.Key, g.region)
	isHome := len(homes) > 0 && homes[0].Name == g.self
	if s.Number == 0 && !g.memory.HasFreshList() {
		// If this process was paused, the send may have waited here for longer than homes keep their records.
		return nil, request.Refuse(req, outcome.ReasonHomeUnreachable, time.Second)
	}
	local := s
	local.Copy = !isHome
	verdict, answer := g.memory.Claim(local)
	if verdict != VerdictGranted && (verdict != VerdictSealed || !s.IsFirst()) {
		return nil, g.resolveRefusal(ctx, verdict, answer, req, s, fleet.VM{Name: g.self})
	}
	contacted, refusal := g.claimAtPeers(ctx, req, s, homes, isHome)
	if refusal != nil {
		return nil, refusal
	}
	req.IsConfirmedNew = true
	return contacted, nil
}

// claimAtPeers claims a send at the home of its key, and as a copy at the VM that ranks second if this VM is the home or the
// home is sealed or unreachable. Without the home, only a numbered first send is allowed. The claim at the second VM may fail.
// It returns the VMs that were contacted, or the response that refuses the send.
func (g *Guard) claimAtPeers(
	ctx context.Context, req *request.Request, s Send, homes []fleet.VM, isHome bool,
) ([]fleet.VM, *request.Response) {
	var contacted []fleet.VM
	for i, home := range homes {
		if home.Name == g.self {
			continue
		}
		remote := s
		remote.Copy = i > 0
		contacted = append(contacted, home)
		verdict, answer, err := g.claimAt(ctx, home, remote)
		if err == nil && verdict == VerdictGranted {
			return contacted, nil
		}
		if err == nil && verdict != VerdictSealed {
			g.withdraw(contacted[:len(contacted)-1], s)
			return nil, g.resolveRefusal(ctx, verdict, answer, req, s, home)
		}
		if !isHome && !s.IsFirst() {
			g.withdraw(contacted, s)
			return nil, request.Refuse(req, outcome.ReasonHomeUnreachable, time.Second)
		}
	}
	if len(homes) == 0 {
		g.withdraw(nil, s)
		return nil, request.Refuse(req, outcome.ReasonHomeUnreachable, time.Second)
	}
	return contacted, nil
}

// claimAt sends a claim to another VM within claimTimeout, in a span of its own.
func (g *Guard) claimAt(ctx context.Context, home fleet.VM, s Send) (Verdict, Answer, error) {
	ctx, cancel := context.WithTimeout(ctx, claimTimeout)
	defer cancel()
	ctx, span := tracing.Start(ctx, "claim key")
	span.Set("home", home.Name)
	verdict, answer, err := g.peers.Claim(ctx, home, s)
	span.End(errorText(err))
	return verdict, answer, err
}

func errorText(err error) string {
	if err == nil {
		return ""
	}
	return err.Error()
}

// resolveRefusal returns the response to a send that home refused with verdict v. If an earlier send is pending, it first
// waits for the result of that send.
func (g *Guard) resolveRefusal(
	ctx context.Context, v Verdict, a Answer, req *request.Request, s Send, home fleet.VM,
) *request.Response {
	if v != VerdictPending {
		return responseFor(v, a)
	}
	ctx, cancel := context.WithDeadline(ctx, recallDeadline(req))
	defer cancel()
	verdict, answer, err := g.lookup(ctx, home, s)
	if err != nil {
		return responseFor(v, a)
	}
	return responseFor(verdict, answer)
}
