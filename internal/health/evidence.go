package health

import (
	"math"
	"time"
)

// Kind is the kind of fault that evidence indicates.
type Kind int

// The kinds, from the weakest to the strongest evidence.
const (
	KindNone Kind = iota
	// KindSlow means slower than the service's other backend servers.
	KindSlow
	// KindFailing means a 5xx status, a reset or a broken answer.
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
	// ResultIgnored carries no evidence: the request was shed, cancelled or stopped by a limit of this VM.
	ResultIgnored Result = iota
	// ResultSuccess is a complete answer with a status below 500.
	ResultSuccess
	// ResultFailure is an answer with a 5xx status.
	ResultFailure
	// ResultBroken is a reset or a broken answer after the request was sent.
	ResultBroken
	// ResultTimeout means that no answer was received by the deadline. It is scored as slow, by the time elapsed.
	ResultTimeout
	// ResultUnreachable is a connection that was refused or could not be opened.
	ResultUnreachable
)

// Observer is an entry VM that observes backend servers.
type Observer struct {
	VM   string
	Zone string
}

// Opinion is one observer's health report on one backend server. A newer opinion replaces an older one.
type Opinion struct {
	Backend  string
	Observer Observer
	Kind     Kind
	// Failing and Slow are scores. Negative scores are evidence that the backend server is healthy.
	Failing float64
	Slow    float64
	// Draining is set if the backend server has announced that it accepts no new work.
	Draining bool
	// Epoch and Sequence order the opinions of one observer.
	Epoch    uint64
	Sequence uint64
	// Lifetime is how long the opinion is valid after it was received.
	Lifetime time.Duration
}

const (
	// minScore bounds one observer's evidence that a backend server is healthy.
	minScore = -0.3
	// maxScore bounds one observer's evidence that a backend server is unhealthy.
	maxScore = 2
	// unreachableScore is the score of a connection that could not be opened.
	unreachableScore = 1
)

// evidence holds the scores that one observer gives one backend server.
type evidence struct {
	vm            string
	zone          string
	kind          Kind
	failing, slow float64
	at            time.Time
	// until is when a peer's evidence expires. It is zero for this VM.
	until           time.Time
	epoch, sequence uint64
	// draining is the value of Opinion.Draining last received from a peer.
	draining bool
}

func (e *evidence) highest() float64 { return max(e.failing, e.slow) }

// decay reduces both scores exponentially for the time since e.at, and sets e.at to now.
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

// add changes both scores within their bounds. They fall below 0 only while the backend server is suspected.
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
