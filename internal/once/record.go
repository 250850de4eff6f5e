package once

import (
	"time"

	"github.com/primroseladder/primroseladder/internal/outcome"
)

// pendingGrace is added to the timeout of a send before a send without a result counts as lost.
const pendingGrace = time.Second

// record is what is known of one key.
type record struct {
	key          Key
	grantedAt    time.Time
	pendingLimit time.Duration
	number       uint32
	bodyDigest   uint64
	claimID      string
	// isCopy is set where another VM decides about the key.
	isCopy bool
	// result is empty while the send is pending.
	result outcome.Outcome
	answer Answer
	done   chan struct{}
}

func newRecord(s Send) *record {
	return &record{
		key: s.Key, grantedAt: time.Now(), pendingLimit: s.Timeout + pendingGrace, number: s.Number, bodyDigest: s.BodyDigest,
		claimID: s.ClaimID, isCopy: s.Copy, done: make(chan struct{}),
	}
}

func (r *record) isPending() bool { return r.result == "" }

// isOverdue reports whether the result should have come by now.
func (r *record) isOverdue() bool { return r.isPending() && time.Since(r.grantedAt) >= r.pendingLimit }

// finish sets the result of a pending record.
func (r *record) finish(result outcome.Outcome, a Answer) {
	r.result = result
	r.answer = a
	close(r.done)
}

// isSupersededBy reports whether a record of another claim that another VM made takes the place of this one. Of two records of
// the same send number the one that allows less stays.
func (r *record) isSupersededBy(number uint32, result outcome.Outcome) bool {
	if r.number != number {
		return r.number < number
	}
	return r.result == outcome.NotRun && result != outcome.NotRun
}

// verdict is what the record says about a send that is not granted.
func (r *record) verdict(s Send) (Verdict, Answer) {
	if r.bodyDigest != s.BodyDigest {
		return VerdictMismatch, Answer{}
	}
	switch {
	case r.result == outcome.Done:
		return VerdictRemembered, r.answer
	case r.result == outcome.NotRun && s.Number > 0 && r.number == s.NotRunThrough+1:
		// Only the send after the last one known as not run was a first send, so no other can have been dispatched.
		return VerdictNotRun, Answer{}
	case r.isPending() && !r.isOverdue():
		return VerdictPending, Answer{}
	default:
		return VerdictUnknown, Answer{}
	}
}
