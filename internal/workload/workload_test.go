package workload_test

import (
	"math"
	"math/rand/v2"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/primroseladder/primroseladder/internal/workload"
)

const ms = time.Millisecond

var start = time.Unix(1000, 0)

// learn returns a model of two classes: class 1 takes 94 ms, one request in 33 seven times as long, and class 2 takes 650 ms.
func learn() workload.Model {
	m, random := workload.NewModel(300*ms), rand.New(rand.NewPCG(1, 2))
	for i := range 1000 {
		took := time.Duration(float64(94*ms) * math.Exp(0.3*random.NormFloat64()))
		if i%33 == 32 {
			took = 7 * 94 * ms
		}
		m.Observe(1, took)
		m.Observe(2, 650*ms)
	}
	return m
}

// TestOneIn33TakesSevenTimesAsLong checks that the rare long requests neither set the mean of their class nor pass for requests
// that are about to end.
func TestOneIn33TakesSevenTimesAsLong(t *testing.T) {
	m := learn()
	d := &m.Of(1).Durations
	mean := d.Mean()
	qt.Check(t, mean > 100*ms && mean < 130*ms, qt.IsTrue, qt.Commentf("mean %v", mean))
	qt.Check(t, m.Of(1).Usual.ExceedProbability(400*ms, 1) < 0.03, qt.IsTrue)
	m.Observe(1, 658*ms)
	qt.Check(t, d.Mean()-mean < 5*ms, qt.IsTrue)
	qt.Check(t, d.Remaining(60*ms, 1) < mean, qt.IsTrue)
	qt.Check(t, d.Remaining(300*ms, 1) > 2*mean, qt.IsTrue, qt.Commentf("%v", d.Remaining(300*ms, 1)))
	late := d.ExceedProbability(400*ms, 1)
	qt.Check(t, late > 0.015 && late < 0.05, qt.IsTrue, qt.Commentf("%.3f exceed 400 ms", late))
	qt.Check(t, d.ExceedProbability(400*ms, 3) > late, qt.IsTrue)
	qt.Check(t, m.Of(2).Durations.Mean() > 500*ms, qt.IsTrue)
	qt.Check(t, m.Of(77), qt.Equals, m.All())
}

// TestWaitFollowsWorkLeft checks that of two backend servers with as many open requests the one with less work is expected to be
// free earlier.
func TestWaitFollowsWorkLeft(t *testing.T) {
	m := learn()
	wait := func(age time.Duration, classes ...workload.Class) time.Duration {
		var q workload.Queue
		for i, c := range classes {
			q.Add(workload.RequestKey{Number: uint16(i)}, c, 2, start)
		}
		return q.ExpectedWait(&m, 1, 2, 0, start.Add(age))
	}
	qt.Check(t, wait(0, 1), qt.Equals, time.Duration(0))
	qt.Check(t, 2*wait(0, 1, 1) < wait(0, 2, 2), qt.IsTrue)
	qt.Check(t, wait(0, 1, 1) < wait(0, 1, 1, 1), qt.IsTrue)
	qt.Check(t, wait(80*ms, 1, 1) < wait(0, 1, 1), qt.IsTrue)
	qt.Check(t, wait(300*ms, 1, 1) > wait(0, 1, 1), qt.IsTrue)
}

// TestQueueAfterLostEvidence checks that the number that a peer sends with each evidence repairs what was lost, that peers which send
// no more than the number are counted, and that silent peers expire.
func TestQueueAfterLostEvidence(t *testing.T) {
	var q workload.Queue
	q.Add(workload.RequestKey{Peer: "a", Number: 1}, 1, 2, start)
	q.Reconcile("a", 2, 2, start)
	q.Reconcile("b", 3, 2, start)
	q.Add(workload.RequestKey{Number: 1}, 1, 2, start)
	qt.Check(t, q.Len(), qt.Equals, 6)
	qt.Check(t, q.Own(), qt.Equals, 1)
	q.Reconcile("a", 0, 2, start.Add(3*time.Second))
	qt.Check(t, q.Len(), qt.Equals, 4)
	q.Expire(4*time.Second, 2, start.Add(4*time.Second))
	qt.Check(t, q.Len(), qt.Equals, 1)
	waited := q.Remove(workload.RequestKey{Number: 1}, 2, start.Add(5*time.Second))
	qt.Check(t, waited, qt.Equals, 4*time.Second, qt.Commentf("it got a slot when the requests of b expired"))
	qt.Check(t, q.Len(), qt.Equals, 0)
}
