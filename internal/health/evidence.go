package health

import (
	"math"
	"time"
)

// Kind is what evidence says of a backend server.
type Kind int

// The kinds, from the weakest to the strongest.
const (
	KindNone Kind = iota
	// KindSlow means slower than the service's other backend servers.
	KindSlow
	// KindFailing means 5xx, a reset, or a broken answer.
	KindFailing
	// KindUnreachable means that no connection could be opened.
	KindUnreachable
)

func (k Kind) String() string {
	switch k {
	case KindSlow:
		return "slow"
	case KindFailing:
		return "failing"
	case KindUnreachable:
		return "unreachable"
	default:
		return "none"
	}
}

// Result is how an attempt on a backend server ended.
type Result int

// The results.
const (
	// ResultIgnored says nothing of the backend server: shed, cancelled, or stopped by a limit of this VM.
	ResultIgnored Result = iota
	// ResultSuccess is a whole answer below status 500.
	ResultSuccess
	// ResultFailure is a 5xx.
	ResultFailure
	// ResultBroken is a reset or a broken answer after the request was sent.
	ResultBroken
	// ResultTimeout is an answer that had not come by the deadline. It counts by the time that it took.
	ResultTimeout
	// ResultUnreachable is a connection that was refused or could not be opened.
	ResultUnreachable
)

// Observer is an entry VM that has evidence.
type Observer struct {
	VM   string
	Zone string
}

// Opinion is the score of one backend server at one observer. A newer opinion replaces an older one.
type Opinion struct {
	Backend  string
	Observer Observer
	Kind     Kind
	// Failing and Slow are scores. Negative ones speak for the backend server.
	Failing float64
	Slow    float64
	// Draining is set where the backend server said that it takes no new work.
	Draining bool
	// Epoch and Sequence order the opinions of one observer.
	Epoch    uint64
	Sequence uint64
	// Lifetime is how long the opinion holds after it was received.
	Lifetime time.Duration
}

const (
	// minScore bounds how much one observer speaks for a backend server.
	minScore = -0.3
	// maxScore bounds how much one observer speaks against a backend server.
	maxScore = 2
	// unreachableScore is the score of a connection that could not be opened.
	unreachableScore = 1
)

// evidence is the evidence of one observer on one backend server.
type evidence struct {
	vm            string
	zone          string
	kind          Kind
	failing, slow float64
	at            time.Time
	// until is when a peer's score lapses. It is zero for the own score.
	until           time.Time
	epoch, sequence uint64
	// draining is what a peer said last.
	draining bool
}

func (e *evidence) highest() float64 { return max(e.failing, e.slow) }

// decay fades the score up to now.
func (e *evidence) decay(now time.Time, timeConstant time.Duration) {
	elapsed := now.Sub(e.at)
	e.at = now
	if elapsed <= 0 || (e.failing == 0 && e.slow == 0) {
		return
	}
	factor := math.Exp(-float64(elapsed) / float64(timeConstant))
	e.failing *= factor
	e.slow *= factor
}

// add changes the score. Below zero it goes only while the backend server is suspected.
func (e *evidence) add(failing, slow float64, suspected bool) {
	lowest := 0.0
	if suspected {
		lowest = minScore
	}
	e.failing = min(maxScore, max(lowest, e.failing+failing))
	e.slow = min(maxScore, max(lowest, e.slow+slow))
	if e.highest() <= 0 {
		e.kind = KindNone
	}
}
