package once

import (
	"context"
	"time"

	"github.com/primroseladder/primroseladder/internal/fleet"
	"github.com/primroseladder/primroseladder/internal/outcome"
	"github.com/primroseladder/primroseladder/internal/request"
)

// recallShare is the part of the remaining time, one of so many, that is kept back to tell the caller.
const recallShare = 10

// recallDeadline leaves time to tell the caller before its own deadline.
func recallDeadline(req *request.Request) time.Time {
	return req.Deadline.Add(-time.Until(req.Deadline) / recallShare)
}

// finding is what one VM knows of a re-send.
type finding struct {
	verdict Verdict
	answer  Answer
}

// isConclusive reports whether no other VM can know better.
func (f finding) isConclusive() bool {
	return f.verdict == VerdictRemembered || f.verdict == VerdictNotRun || f.verdict == VerdictMismatch
}

// recall asks this VM and the homes of all regions for the outcome of an earlier send. It never runs the request.
func (g *Guard) recall(ctx context.Context, req *request.Request, s Send) *request.Response {
	ctx, cancel := context.WithDeadline(ctx, recallDeadline(req))
	defer cancel()
	holders := g.holders(s.Key)
	found := make(chan finding, len(holders))
	for _, vm := range holders {
		go func() {
			verdict, answer, err := g.lookup(ctx, vm, s)
			if err != nil {
				verdict = VerdictNoMemory
			}
			found <- finding{verdict, answer}
		}()
	}
	best := finding{verdict: VerdictNoMemory}
	for range holders {
		f := <-found
		if f.isConclusive() {
			return remembered(f.verdict, f.answer)
		}
		if f.verdict != VerdictNoMemory {
			best = f
		}
	}
	return remembered(best.verdict, best.answer)
}

// holders returns this VM and the two VMs of each region that may remember the key.
func (g *Guard) holders(k Key) []fleet.VM {
	holders := []fleet.VM{{Name: g.self}}
	for _, region := range g.regions() {
		for _, vm := range g.ranked(k, region) {
			if vm.Name != g.self {
				holders = append(holders, vm)
			}
		}
	}
	return holders
}

// regions returns the own region first.
func (g *Guard) regions() []string {
	regions := []string{g.region}
	seen := map[string]bool{g.region: true}
	for _, vm := range g.holder.Get().View.SharedLiveEntries("") {
		if !seen[vm.Region] {
			seen[vm.Region] = true
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
	return g.homes.Lookup(ctx, home, s)
}

// remembered turns a verdict into the response to a send that is not dispatched.
func remembered(v Verdict, a Answer) *request.Response {
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
