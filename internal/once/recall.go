package once

import (
	"context"
	"time"

	"github.com/primroseladder/primroseladder/internal/fleet"
	"github.com/primroseladder/primroseladder/internal/outcome"
	"github.com/primroseladder/primroseladder/internal/request"
)

// recallReserveDivisor divides the remaining time of a request into the part that is reserved for answering the caller.
const recallReserveDivisor = 10

// recallDeadline returns the time at which to stop waiting for a result, early enough to answer the caller in time.
func recallDeadline(req *request.Request) time.Time {
	return req.Deadline.Add(-time.Until(req.Deadline) / recallReserveDivisor)
}

// lookupResult is the result of a lookup at one VM.
type lookupResult struct {
	verdict Verdict
	answer  Answer
}

// isConclusive reports whether the result stands whatever the other VMs reply.
func (r lookupResult) isConclusive() bool {
	return r.verdict == VerdictRemembered || r.verdict == VerdictNotRun || r.verdict == VerdictMismatch
}

// recall looks up the outcome of an earlier send on this VM and on the homes of all regions at once. It returns the first
// conclusive result and never runs the request.
func (g *Guard) recall(ctx context.Context, req *request.Request, s Send) *request.Response {
	ctx, cancel := context.WithDeadline(ctx, recallDeadline(req))
	defer cancel()
	targets := g.lookupTargets(s.Key)
	results := make(chan lookupResult, len(targets))
	for _, vm := range targets {
		go func() {
			verdict, answer, err := g.lookup(ctx, vm, s)
			if err != nil {
				verdict = VerdictNoMemory
			}
			results <- lookupResult{verdict, answer}
		}()
	}
	best := lookupResult{verdict: VerdictNoMemory}
	for range targets {
		result := <-results
		if result.isConclusive() {
			return responseFor(result.verdict, result.answer)
		}
		if result.verdict != VerdictNoMemory {
			best = result
		}
	}
	return responseFor(best.verdict, best.answer)
}

// lookupTargets returns this VM and the two VMs of each region that may have a record of the key.
func (g *Guard) lookupTargets(k Key) []fleet.VM {
	targets := []fleet.VM{{Name: g.self}}
	for _, region := range g.regions() {
		for _, vm := range g.rankedHomes(k, region) {
			if vm.Name != g.self {
				targets = append(targets, vm)
			}
		}
	}
	return targets
}

// regions returns the regions with live entry VMs, the local one first.
func (g *Guard) regions() []string {
	regions := []string{g.region}
	known := map[string]bool{g.region: true}
	for _, vm := range g.holder.Get().View.SharedLiveEntries("") {
		if !known[vm.Region] {
			known[vm.Region] = true
			regions = append(regions, vm.Region)
		}
	}
	return regions
}

// lookup looks a send up on this VM or on another one.
func (g *Guard) lookup(ctx context.Context, home fleet.VM, s Send) (Verdict, Answer, error) {
	if home.Name == g.self {
		verdict, answer := g.memory.Lookup(ctx, s)
		return verdict, answer, nil
	}
	return g.peers.Lookup(ctx, home, s)
}

// responseFor returns the response to a send that is not dispatched because of verdict v.
func responseFor(v Verdict, a Answer) *request.Response {
	switch v {
	case VerdictRemembered:
		if !a.BodyKept {
			return &request.Response{
				Outcome: outcome.Done, Reason: outcome.ReasonAnswerNotKept,
				Status: outcome.ReasonAnswerNotKept.Status(), Remembered: true,
			}
		}
		return &request.Response{Outcome: outcome.Done, Status: a.Status, Header: a.Header, Body: a.Body, Remembered: true}
	case VerdictNotRun:
		return &request.Response{
			Outcome: outcome.NotRun, Reason: outcome.ReasonEarlierNotRun, Remembered: true,
			Status: outcome.ReasonEarlierNotRun.Status(), RetryAfter: time.Second,
		}
	case VerdictPending:
		return request.UnknownOutcome(outcome.ReasonStillRunning)
	case VerdictMismatch:
		return request.UnknownOutcome(outcome.ReasonKeyMismatch)
	case VerdictUnknown:
		return request.UnknownOutcome(outcome.ReasonLostAnswer)
	case VerdictSealed:
		return request.UnknownOutcome(outcome.ReasonStopping)
	default:
		return request.UnknownOutcome(outcome.ReasonNotRemembered)
	}
}
