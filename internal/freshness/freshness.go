// Package freshness keeps the proof that the configuration of this VM was the newest one a short time ago.
//
// A key that was taken away may not be served for longer than a bound, also by VMs that cannot hear of it. So a VM serves keys only
// while it holds a proof that is younger than the bound. A proof states that no configuration newer than Version had been
// acknowledged at the time At. It comes from a read of the store, and At is then when the read was sent. VMs pass proofs on: one asks
// another, which answers with the age of its proof, and At is then when the question was sent less this age. However long a question
// or an answer was on its way, and whatever was suspended meanwhile, At is never later than the read of the store from which the
// proof comes.
//
// docs/design/revocation.md explains what was weighed.
package freshness

import (
	"math/rand/v2"
	"slices"
	"sync"
	"time"
)

const (
	// marginShare is the share of the bound that is left for differences between the clocks of VMs, and for the time between the
	// check of a request and its dispatch.
	marginShare = 0.05
	// askShare is the share of the bound from which another VM is asked for a younger proof, and askIntervalShare that between two
	// questions.
	askShare         = 0.2
	askIntervalShare = 1.0 / 12
	// goodShare is the share of the bound up to which the age of another VM's proof is good enough not to ask further ones.
	goodShare = 0.35
	// FirstAskInterval is the interval between questions of a VM without a proof.
	FirstAskInterval = 100 * time.Millisecond
	// firstQuestions is how many questions are asked at FirstAskInterval, and questionsBeforeRead how many of them before a VM without
	// a proof reads the store itself: VMs that start together learn of each other first.
	firstQuestions, questionsBeforeRead = 20, 10
	// readShare is the share of the bound from which this VM reads the store itself, since no other VM has helped. Up to
	// readSpread is added at random, so that the VMs of a zone that lost its readers do not all read at once.
	readShare  = 0.45
	readSpread = 0.1
	// currentShare is the share of the bound up to which a key that is not known counts as unknown to the operator too.
	currentShare = 0.5
	// maxProofs is the number of configurations for which proofs are kept, and maxQuestions that of open questions.
	maxProofs, maxQuestions = 4, 16
)

// Proof states that no configuration newer than Version had been acknowledged at the time At.
type Proof struct {
	Version uint64
	At      time.Duration
}

// Tracker keeps the latest proofs of this VM. It is safe for concurrent use.
type Tracker struct {
	// bound returns the time for which keys may be served after they were taken away. It may change.
	bound func() time.Duration
	now   Clock
	// readFrom is the share of the bound from which this VM reads the store itself.
	readFrom float64
	first    chan struct{}

	mu sync.Mutex
	// proofs holds the latest proof for each of the newest configurations, in ascending order of their versions.
	proofs []Proof
	// known is the newest configuration that any VM has told of.
	known uint64
	// questions holds the time at which each open question was sent.
	questions []question
	// lastAsked is when the last question was sent.
	lastAsked time.Duration
	// unanswered is the number of questions since one has led to a proof that is young enough.
	unanswered int
}

type question struct {
	nonce uint64
	at    time.Duration
}

// NewTracker returns a Tracker for keys that may be served for the time that bound returns after they were taken away.
func NewTracker(bound func() time.Duration, now Clock) *Tracker {
	return &Tracker{bound: bound, now: now, first: make(chan struct{}), readFrom: readShare + readSpread*rand.Float64()}
}

func (t *Tracker) share(x float64) time.Duration { return time.Duration(x * float64(t.bound())) }

// Now returns the time by the clock of the proofs.
func (t *Tracker) Now() time.Duration { return t.now() }

// RecordRead records that a linearizable read of the store, sent at the given time, has shown that version is the newest
// configuration.
func (t *Tracker) RecordRead(version uint64, sent time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.record(Proof{Version: version, At: sent})
}

// record keeps a proof unless a newer configuration is known to exist: a store that was restored from an older copy of itself may not
// have it. The caller holds t.mu.
func (t *Tracker) record(p Proof) {
	if p.Version < t.known {
		return
	}
	t.known = p.Version
	if len(t.proofs) == 0 {
		close(t.first)
	}
	if n := len(t.proofs); n > 0 && t.proofs[n-1].Version == p.Version {
		t.proofs[n-1].At = max(t.proofs[n-1].At, p.At)
		return
	}
	t.proofs = append(t.proofs, p)
	t.proofs = t.proofs[max(0, len(t.proofs)-maxProofs):]
}

// Latest returns the latest proof that holds for a VM with the given configuration, if there is one.
func (t *Tracker) Latest(version uint64) (Proof, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.latest(version)
}

func (t *Tracker) latest(version uint64) (best Proof, ok bool) {
	for _, p := range t.proofs {
		if p.Version <= version && (!ok || p.At > best.At) {
			best, ok = p, true
		}
	}
	return best, ok
}

// Age returns the age of the latest proof that holds for a VM with the given configuration, if there is one.
func (t *Tracker) Age(version uint64) (time.Duration, bool) {
	p, ok := t.Latest(version)
	return t.now() - p.At, ok
}

// State is what a proof allows now.
type State struct {
	// Age is the age of the proof, or NoAge.
	Age time.Duration
	// MayServe is set if keys may be served.
	MayServe bool
	// IsCurrent is set if the configuration is so likely the newest one that a key which it does not hold does not exist.
	IsCurrent bool
}

// NoAge is the age of a proof that does not exist, -1 ms in logs.
const NoAge = -time.Millisecond

// State returns what the latest proof allows for the keys of the configuration with the given version.
func (t *Tracker) State(version uint64) State {
	age, ok := t.Age(version)
	if !ok {
		return State{Age: NoAge}
	}
	return State{Age: age, MayServe: age < t.share(1-marginShare), IsCurrent: age < t.share(currentShare)}
}

// MustRead reports whether this VM has to read the store itself, since other VMs do not keep its proof young.
func (t *Tracker) MustRead(version uint64) bool {
	now := t.now()
	t.mu.Lock()
	defer t.mu.Unlock()
	p, ok := t.latest(version)
	if !ok {
		return t.unanswered >= questionsBeforeRead
	}
	return now-p.At > t.share(t.readFrom)
}

// First returns a channel that is closed once there is a proof of any configuration.
func (t *Tracker) First() <-chan struct{} { return t.first }

// Ask returns the nonce of a question if another VM should be asked now. attempt is the number of questions, from 0, that have been
// asked in vain.
func (t *Tracker) Ask(version uint64) (nonce uint64, attempt int, ok bool) {
	now := t.now()
	t.mu.Lock()
	defer t.mu.Unlock()
	interval := t.share(askIntervalShare)
	p, hasProof := t.latest(version)
	switch {
	case hasProof && now-p.At < t.share(askShare):
		t.unanswered = 0
		return 0, 0, false
	case !hasProof && t.unanswered < firstQuestions:
		interval = FirstAskInterval
	}
	if len(t.questions) > 0 && now-t.lastAsked < interval {
		return 0, 0, false
	}
	nonce, attempt = rand.Uint64(), t.unanswered
	t.questions = append(t.questions, question{nonce: nonce, at: now})
	t.questions = t.questions[max(0, len(t.questions)-maxQuestions):]
	t.lastAsked = now
	t.unanswered++
	return nonce, attempt, true
}

// Answer returns the version and the age of the latest proof of this VM, whose configuration has the given version, for a VM that
// asks. ok is false if there is none that is worth passing on.
func (t *Tracker) Answer(version uint64) (proven uint64, age time.Duration, ok bool) {
	p, ok := t.Latest(version)
	age = t.now() - p.At
	return p.Version, age, ok && age < t.bound()
}

// ReceiveAnswer records the answer to the question with the given nonce. Answers to other questions are ignored.
func (t *Tracker) ReceiveAnswer(nonce, version uint64, age time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	i := slices.IndexFunc(t.questions, func(q question) bool { return q.nonce == nonce })
	if i < 0 || age < 0 {
		return
	}
	asked := t.questions[i].at
	t.questions = slices.Delete(t.questions, i, i+1)
	t.record(Proof{Version: version, At: asked - age})
	if asked-age > t.now()-t.share(goodShare) {
		t.unanswered = 0
	}
}
