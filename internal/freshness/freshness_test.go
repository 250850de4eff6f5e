package freshness_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/primroseladder/primroseladder/internal/freshness"
)

const bound = 5 * time.Second

// fakeClock is the clock of one VM. It goes on while the VM is suspended.
type fakeClock struct{ now time.Duration }

func (c *fakeClock) Now() time.Duration { return c.now }

func newTracker() (*fakeClock, *freshness.Tracker) {
	clock := &fakeClock{now: time.Hour}
	return clock, freshness.NewTracker(func() time.Duration { return bound }, clock.Now)
}

// TestSuspendedVMServesNoKeys suspends a VM right after it has read the store.
func TestSuspendedVMServesNoKeys(t *testing.T) {
	c := qt.New(t)
	clock, tracker := newTracker()
	c.Check(tracker.State(7).MayServe, qt.IsFalse)
	tracker.RecordRead(7, clock.now)
	clock.now += 4700 * time.Millisecond
	c.Check(tracker.State(7).MayServe, qt.IsTrue)
	clock.now += 100 * time.Millisecond
	c.Check(tracker.State(7).MayServe, qt.IsFalse)
	c.Check(tracker.MustRead(7), qt.IsTrue)
}

// TestLateAnswerMakesNoProofYounger receives an answer that waited while the VM was suspended, twice.
func TestLateAnswerMakesNoProofYounger(t *testing.T) {
	c := qt.New(t)
	clock, tracker := newTracker()
	nonce, _, ok := tracker.Ask(7)
	c.Assert(ok, qt.IsTrue)
	clock.now += 3 * time.Second
	tracker.ReceiveAnswer(nonce+1, 7, 0)
	_, ok = tracker.Age(7)
	c.Check(ok, qt.IsFalse)
	for range 2 {
		tracker.ReceiveAnswer(nonce, 7, time.Second)
		age, _ := tracker.Age(7)
		c.Check(age, qt.Equals, 4*time.Second)
		clock.now += time.Second
		age, _ = tracker.Age(7)
		c.Check(age, qt.Equals, 5*time.Second)
		clock.now -= time.Second
	}
	version, age, ok := tracker.Answer(7)
	c.Check([]any{version, age, ok}, qt.DeepEquals, []any{uint64(7), 4 * time.Second, true})
}

// TestProofOfANewerConfigurationDoesNotHold hears of a configuration that the VM does not have yet: what it holds stays proven as
// long as before and no longer, also if a restored store does not know of the newer one.
func TestProofOfANewerConfigurationDoesNotHold(t *testing.T) {
	c := qt.New(t)
	clock, tracker := newTracker()
	tracker.RecordRead(7, clock.now)
	clock.now += time.Second
	nonce, _, _ := tracker.Ask(7)
	tracker.ReceiveAnswer(nonce, 8, 0)
	tracker.RecordRead(7, clock.now)
	age, _ := tracker.Age(7)
	c.Check(age, qt.Equals, time.Second)
	age, _ = tracker.Age(8)
	c.Check(age, qt.Equals, time.Duration(0))
	clock.now += 4 * time.Second
	c.Check(tracker.State(7).MayServe, qt.IsFalse)
	c.Check(tracker.State(8).MayServe, qt.IsTrue)
}

// TestQuestionsAreBounded counts the questions of a VM that nobody answers, and of one with a proof.
func TestQuestionsAreBounded(t *testing.T) {
	c := qt.New(t)
	count := func(each func(*freshness.Tracker, *fakeClock)) (n int) {
		clock, tracker := newTracker()
		for range 1000 {
			each(tracker, clock)
			if _, _, ok := tracker.Ask(7); ok {
				n++
			}
			clock.now += 10 * time.Millisecond
		}
		return n
	}
	c.Check(count(func(*freshness.Tracker, *fakeClock) {}) <= 20+8*12/5+2, qt.IsTrue)
	c.Check(count(func(t *freshness.Tracker, clock *fakeClock) { t.RecordRead(7, clock.now-time.Second/2) }), qt.Equals, 0)
}

func TestBootClockGoesOn(t *testing.T) {
	first := freshness.BootClock()
	qt.Check(t, freshness.BootClock() >= first && first > 0, qt.IsTrue)
}
