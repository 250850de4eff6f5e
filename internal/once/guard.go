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

// Homes reaches the memory of other entries.
type Homes interface {
	Claim(ctx context.Context, home fleet.VM, s Send) (Verdict, Answer, error)
	Complete(ctx context.Context, home fleet.VM, s Send, result outcome.Outcome, answer Answer) error
	Lookup(ctx context.Context, home fleet.VM, s Send) (Verdict, Answer, error)
}

// claimTimeout bounds the wait for a home.
const claimTimeout = 250 * time.Millisecond

// Guard decides for each non-idempotent request whether this entry may run it.
type Guard struct {
	self   string
	region string
	holder *snapshot.Holder
	memory *Memory
	homes  Homes
	// completions are the results that are being told to homes.
	completions sync.WaitGroup
}

// NewGuard returns the guard of the entry VM self in a region.
func NewGuard(self, region string, holder *snapshot.Holder, memory *Memory, homes Homes) *Guard {
	return &Guard{self: self, region: region, holder: holder, memory: memory, homes: homes}
}

// Do runs the request at most once. The function run is called only where no other send of the key was granted and the
// deadline has not passed.
func (g *Guard) Do(ctx context.Context, req *request.Request, run func() *request.Response) *request.Response {
	if req.Idempotent || req.Key == "" {
		return run()
	}
	send := newSend(req)
	if send.IsResend() {
		return g.recall(ctx, req, send)
	}
	asked, refusal := g.admit(ctx, req, send)
	if refusal != nil {
		return refusal
	}
	response := dispatch(req, run)
	g.complete(asked, send, response)
	return forCaller(send, response)
}

// forCaller says unknown instead of not-run to a caller without numbers: an earlier send of its key may still be on the
// way and be granted after this one. The caller may send the key again; the home then decides.
func forCaller(s Send, response *request.Response) *request.Response {
	if s.Number > 0 || response.Outcome != outcome.NotRun {
		return response
	}
	told := *response
	told.Outcome = outcome.Unknown
	return &told
}

// dispatch runs the request unless its deadline has passed, as after a pause of this process.
func dispatch(req *request.Request, run func() *request.Response) *request.Response {
	if isPast(req.Deadline) {
		return request.Refuse(req, outcome.ReasonDeadline, 0)
	}
	return run()
}

// isPast looks at the wall clock too, because the monotonic clock may stand still while a VM is paused.
func isPast(deadline time.Time) bool {
	now := time.Now()
	return !now.Before(deadline) || !now.Round(0).Before(deadline.Round(0))
}

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

// ranked returns the home of a key and the VM that ranks after it.
func (g *Guard) ranked(k Key, region string) []fleet.VM {
	if k.Scope == ScopeFleet {
		region = ""
	}
	return placement.TopTwo(k.rankKey(), g.holder.Get().View.SharedLiveEntries(region))
}

// admit gets the grant for a send. It returns the VMs that know of the claim, or the response that refuses the send.
// Each grant is recorded on this VM and on one other.
func (g *Guard) admit(ctx context.Context, req *request.Request, s Send) ([]fleet.VM, *request.Response) {
	homes := g.ranked(s.Key, g.region)
	isHome := len(homes) > 0 && homes[0].Name == g.self
	if s.Number == 0 && !g.memory.IsFresh() {
		// After a pause of this process the send may have waited here for longer than homes remember it.
		return nil, request.Refuse(req, outcome.ReasonHomeUnreachable, time.Second)
	}
	own := s
	own.Copy = !isHome
	verdict, answer := g.memory.Claim(own)
	if verdict != VerdictGranted && (verdict != VerdictSealed || !s.IsFirst()) {
		return nil, g.explain(ctx, verdict, answer, req, s, fleet.VM{Name: g.self})
	}
	asked, refusal := g.claimElsewhere(ctx, req, s, homes, isHome)
	if refusal != nil {
		return nil, refusal
	}
	req.IsConfirmedNew = true
	return asked, nil
}

// claimElsewhere claims at the home, and at the next VM where this one is the home or the home cannot be reached.
func (g *Guard) claimElsewhere(ctx context.Context, req *request.Request, s Send, homes []fleet.VM, isHome bool) ([]fleet.VM, *request.Response) {
	var asked []fleet.VM
	for i, home := range homes {
		if home.Name == g.self {
			continue
		}
		wanted := s
		wanted.Copy = i > 0
		asked = append(asked, home)
		verdict, answer, err := g.claim(ctx, home, wanted)
		if err == nil && verdict == VerdictGranted {
			return asked, nil
		}
		if err == nil && verdict != VerdictSealed {
			g.withdraw(asked[:len(asked)-1], s)
			return nil, g.explain(ctx, verdict, answer, req, s, home)
		}
		if !isHome && !s.IsFirst() {
			g.withdraw(asked, s)
			return nil, request.Refuse(req, outcome.ReasonHomeUnreachable, time.Second)
		}
	}
	if len(homes) == 0 {
		g.withdraw(nil, s)
		return nil, request.Refuse(req, outcome.ReasonHomeUnreachable, time.Second)
	}
	return asked, nil
}

func (g *Guard) claim(ctx context.Context, home fleet.VM, s Send) (Verdict, Answer, error) {
	ctx, cancel := context.WithTimeout(ctx, claimTimeout)
	defer cancel()
	ctx, span := tracing.Start(ctx, "claim key")
	span.Set("home", home.Name)
	verdict, answer, err := g.homes.Claim(ctx, home, s)
	span.End(failureText(err))
	return verdict, answer, err
}

func failureText(err error) string {
	if err == nil {
		return ""
	}
	return err.Error()
}

// explain turns a verdict that allows no dispatch into a response.
func (g *Guard) explain(ctx context.Context, v Verdict, a Answer, req *request.Request, s Send, home fleet.VM) *request.Response {
	if v != VerdictPending {
		return remembered(v, a)
	}
	ctx, cancel := context.WithDeadline(ctx, recallDeadline(req))
	defer cancel()
	verdict, answer, err := g.lookup(ctx, home, s)
	if err != nil {
		return remembered(v, a)
	}
	return remembered(verdict, answer)
}
