package once

import (
	"time"

	"github.com/primroseladder/primroseladder/internal/outcome"
)

// pendingGrace is added to the timeout of a send: without a result by then, the send is overdue and its outcome unknown.
const pendingGrace = time.Second

// record holds the last known grant of a key and its result.
type record struct {
	key       Key
	grantedAt time.Time
	// pendingLimit is the time after the grant at which a send without a result is overdue.
	pendingLimit time.Duration
	number       uint32
	bodyDigest   uint64
	claimID      string
	// isCopy is set if another VM decides about the key.
	isCopy bool
	// result is empty while the send is pending.
	result outcome.Outcome
	answer Answer
	// done is closed once result is set.
	done chan struct{}
}

func newRecord(s Send) *record {
	return &record{
		key: s.Key, grantedAt: time.Now(), pendingLimit: s.Timeout + pendingGrace, number: s.Number, bodyDigest: s.BodyDigest,
		claimID: s.ClaimID, isCopy: s.Copy, done: make(chan struct{}),
	}
}

func (r *record) isPending() bool { return r.result == "" }

// isOverdue reports whether the send is still pending after pendingLimit.
func (r *record) isOverdue() bool { return r.isPending() && time.Since(r.grantedAt) >= r.pendingLimit }

// finish sets the result of a pending record.
func (r *record) finish(result outcome.Outcome, a Answer) {
	r.result = result
	r.answer = a
	close(r.done)
}

// isSupersededBy reports whether the record of another claim, received from another VM, replaces this one. The higher send
// number takes precedence, and of two records with the same number the one that allows less.
func (r *record) isSupersededBy(number uint32, result outcome.Outcome) bool {
	if r.number != number {
		return r.number < number
	}
	return r.result == outcome.NotRun && result != outcome.NotRun
}

// verdict returns the verdict on a send that this record refuses, with the answer for VerdictRemembered.
func (r *record) verdict(s Send) (Verdict, Answer) {
	if r.bodyDigest != s.BodyDigest {
		return VerdictMismatch, Answer{}
	}
	switch {
	case r.result == outcome.Done:
		return VerdictRemembered, r.answer
	case r.result == outcome.NotRun && s.Number > 0 && r.number == s.NotRunThrough+1:
		// The send after NotRunThrough is the only one that was a first send, so no other can have been dispatched.
		return VerdictNotRun, Answer{}
	case r.isPending() && !r.isOverdue():
		return VerdictPending, Answer{}
	default:
		return VerdictUnknown, Answer{}
	}
}
