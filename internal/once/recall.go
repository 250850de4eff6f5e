package once

import (
	"context"
	"time"

	"github.com/primroseladder/primroseladder/internal/fleet"
	"github.com/primroseladder/primroseladder/internal/outcome"
	"github.com/primroseladder/primroseladder/internal/request"
)

// recallReserveDivisor is the part of the remaining time, one of so many, that is kept back to tell the caller.
const recallReserveDivisor = 10

// recallDeadline leaves time to tell the caller before its own deadline.
func recallDeadline(req *request.Request) time.Time {
	return req.Deadline.Add(-time.Until(req.Deadline) / recallReserveDivisor)
}

// lookupResult is what one VM knows of a re-send.
type lookupResult struct {
	verdict Verdict
	answer  Answer
}

// isConclusive reports whether no other VM can know better.
func (f lookupResult) isConclusive() bool {
	return f.verdict == VerdictRemembered || f.verdict == VerdictNotRun || f.verdict == VerdictMismatch
}

// recall asks this VM and the homes of all regions for the outcome of an earlier send. It never runs the request.
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
		f := <-results
		if f.isConclusive() {
			return responseFor(f.verdict, f.answer)
		}
		if f.verdict != VerdictNoMemory {
			best = f
		}
	}
	return responseFor(best.verdict, best.answer)
}

// lookupTargets returns this VM and the two VMs of each region that may remember the key.
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

// regions returns the own region first.
func (g *Guard) regions() []string {
	regions := []string{g.region}
	known := map[string]bool{g.region: true}
	for _, vm := range g.holder.Get().View.Live("") {
		if !known[vm.Region] {
			known[vm.Region] = true
			regions = append(regions, vm.Region)
		}
	}
	return regions
}

func (g *Guard) lookup(ctx context.Context, home fleet.VM, s Send) (Verdict, Answer, error) {
	if home.Name == g.self {
		verdict, answer := g.memory.Lookup(ctx, s)
		return verdict, answer, nil
	}
	return g.peers.Lookup(ctx, home, s)
}

// responseFor turns a verdict into the response to a send that is not dispatched.
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
		return request.LeaveUnknown(outcome.ReasonStillRunning)
	case VerdictMismatch:
		return request.LeaveUnknown(outcome.ReasonKeyMismatch)
	case VerdictUnknown:
		return request.LeaveUnknown(outcome.ReasonLostAnswer)
	case VerdictSealed:
		return request.LeaveUnknown(outcome.ReasonStopping)
	default:
		return request.LeaveUnknown(outcome.ReasonNotRemembered)
	}
}
