package evidence_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"github.com/primroseladder/primroseladder/internal/evidence"
)

var start = time.Unix(1000, 0)

// TestOneFailureMakesOtherServersPreferable checks that a backend server without evidence is preferred to one that has
// failed once, and that successes restore the failed one.
func TestOneFailureMakesOtherServersPreferable(t *testing.T) {
	c := qt.New(t)
	var failed, untried evidence.HealthEstimate
	failed.Observe(start, evidence.Failure, 1)
	c.Check(failed.UnhealthyProbability(start) > 0.5, qt.IsTrue)
	c.Check(failed.FailureProbability(start, 0) > 0.75, qt.IsTrue)
	c.Check(untried.FailureProbability(start, 0) < 0.2, qt.IsTrue)
	for range 4 {
		failed.Observe(start, evidence.Success, 1)
	}
	c.Check(failed.UnhealthyProbability(start) < 0.1, qt.IsTrue)
}

// TestUnhealthyServerRecoversWithTime checks that the estimate returns close to that of an untried backend server
// without any further outcome.
func TestUnhealthyServerRecoversWithTime(t *testing.T) {
	c := qt.New(t)
	var e, untried evidence.HealthEstimate
	for range 5 {
		e.Observe(start, evidence.Failure, 1)
	}
	c.Check(e.UnhealthyProbability(start.Add(time.Second)) > 0.7, qt.IsTrue)
	later := start.Add(30 * time.Second)
	c.Check(e.UnhealthyProbability(later)-untried.UnhealthyProbability(later) < 0.12, qt.IsTrue)
}

// TestRepeatedEpisodesLastLonger checks that a flapping backend server recovers more slowly than one that failed once.
func TestRepeatedEpisodesLastLonger(t *testing.T) {
	var once, often evidence.HealthEstimate
	once.Observe(start, evidence.Failure, 1)
	for n := range 4 {
		at := start.Add(time.Duration(n-3) * 4 * time.Second)
		often.Observe(at, evidence.Failure, 1)
		for range 5 {
			often.Observe(at.Add(time.Second), evidence.Success, 1)
		}
	}
	often.Observe(start, evidence.Failure, 1)
	later := start.Add(12 * time.Second)
	qt.Check(t, often.UnhealthyProbability(later) > once.UnhealthyProbability(later), qt.IsTrue)
}

// TestEstimateStaysAProbability observes random outcomes in random order, with times that also go back.
func TestEstimateStaysAProbability(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		var e evidence.HealthEstimate
		now := start
		for range rapid.IntRange(0, 50).Draw(rt, "outcomes") {
			now = now.Add(time.Duration(rapid.IntRange(-100, 5000).Draw(rt, "after ms")) * time.Millisecond)
			o := evidence.Outcome(rapid.IntRange(0, int(evidence.NumOutcomes)-1).Draw(rt, "outcome"))
			e.Observe(now, o, rapid.Float64Range(0, 1).Draw(rt, "weight"))
			if p := e.FailureProbability(now, rapid.Float64Range(0, 10).Draw(rt, "open log ratio")); !(p > 0 && p < 1) {
				rt.Fatalf("probability %g", p)
			}
		}
	})
}

// TestOverdueOpenRequestsAreEvidence checks that an open request counts as evidence only when nearly all others would
// have ended.
func TestOverdueOpenRequestsAreEvidence(t *testing.T) {
	c := qt.New(t)
	d := evidence.NewDurationModel(300 * time.Millisecond)
	for n := range 200 {
		d.Observe(time.Duration(200+n) * time.Millisecond)
	}
	c.Check(d.OpenLogRatio(300*time.Millisecond), qt.Equals, 0.0)
	c.Check(d.OpenLogRatio(time.Second) > 2, qt.IsTrue)
	c.Check(d.ExceedProbability(150*time.Millisecond, 1) > 0.9, qt.IsTrue)
	c.Check(d.ExceedProbability(2*time.Second, 1) < 0.05, qt.IsTrue)
	c.Check(d.ExceedProbability(2*time.Second, 8) > 0.5, qt.IsTrue)
}

// TestFailureIsClassifiedByDuration checks that a single immediate failure makes a healthy backend server count as
// unhealthy, that a single failure at the usual duration does not, and that several of those do.
func TestFailureIsClassifiedByDuration(t *testing.T) {
	c := qt.New(t)
	d := evidence.NewDurationModel(300 * time.Millisecond)
	for n := range 200 {
		d.Observe(time.Duration(200+n) * time.Millisecond)
	}
	unhealthyAfter := func(failures int, took time.Duration) float64 {
		var e evidence.HealthEstimate
		for range 5 {
			e.Observe(start, evidence.Success, 1)
		}
		for range failures {
			e.Observe(start, d.Classify(evidence.Failure, took, 1), 1)
		}
		return e.UnhealthyProbability(start)
	}
	c.Check(unhealthyAfter(1, 2*time.Millisecond) > 0.75, qt.IsTrue)
	c.Check(unhealthyAfter(1, 300*time.Millisecond) < 0.1, qt.IsTrue)
	c.Check(unhealthyAfter(5, 300*time.Millisecond) > 0.75, qt.IsTrue)
	c.Check(d.Classify(evidence.Failure, 4*time.Second, 1), qt.Equals, evidence.Failure)
	c.Check(d.Classify(evidence.Failure, 1200*time.Millisecond, 4), qt.Equals, evidence.UsualFailure)
	c.Check(d.Classify(evidence.Garbled, 2*time.Millisecond, 1), qt.Equals, evidence.Garbled)
}

// TestSlownessIsPerServer checks that a slow backend server is distinguished from a slow service.
func TestSlownessIsPerServer(t *testing.T) {
	c := qt.New(t)
	d := evidence.NewDurationModel(300 * time.Millisecond)
	var slow, usual evidence.Slowness
	for range 100 {
		d.Observe(300 * time.Millisecond)
	}
	for range 8 {
		slow.Observe(start, 1500*time.Millisecond, &d)
		usual.Observe(start, 300*time.Millisecond, &d)
	}
	c.Check(slow.Factor(start) > 2, qt.IsTrue)
	c.Check(usual.Factor(start) < 1.2, qt.IsTrue)
	c.Check(slow.Factor(start.Add(time.Minute)) < 1.1, qt.IsTrue)
}
