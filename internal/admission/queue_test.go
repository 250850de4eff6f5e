package admission_test

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"github.com/primroseladder/primroseladder/internal/admission"
)

func anyWaiter(*admission.Waiter) bool { return true }

// TestGreedyOrganisationDoesNotCrowdOthersOut fills a queue from one organisation and checks that the requests of other
// organisations are still accepted and served in turn.
func TestGreedyOrganisationDoesNotCrowdOthersOut(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		limit := rapid.IntRange(2, 40).Draw(t, "limit")
		others := rapid.IntRange(1, limit/2).Draw(t, "others")
		q := admission.NewQueue[int](limit)
		deadline := time.Unix(1000, 0)
		for i := range 10 * limit {
			q.Push(&admission.Waiter{Organisation: "greedy", Deadline: deadline}, i)
		}
		for i := range others {
			evicted, _ := q.Push(&admission.Waiter{Organisation: fmt.Sprint("org-", i), Deadline: deadline}, i)
			if evicted != nil && evicted.Organisation != "greedy" {
				t.Fatalf("a request of %s was evicted", evicted.Organisation)
			}
		}
		served := map[string]int{}
		for range 2 * (others + 1) {
			if w, _, found := q.Pop(anyWaiter); found {
				served[w.Organisation]++
			}
		}
		for i := range others {
			if served[fmt.Sprint("org-", i)] != 1 {
				t.Fatalf("org-%d was not served in the first two turns: %v", i, served)
			}
		}
	})
}

// TestQueueKeepsCount compares the queue with a plain set during random calls of Push, Pop and Remove.
func TestQueueKeepsCount(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		limit := rapid.IntRange(1, 10).Draw(t, "limit")
		q := admission.NewQueue[int](limit)
		waiting := map[*admission.Waiter]bool{}
		t.Repeat(map[string]func(*rapid.T){
			"push": func(t *rapid.T) {
				w := &admission.Waiter{
					Organisation: fmt.Sprint(rapid.IntRange(0, 3).Draw(t, "org")),
					Deadline:     time.Unix(rapid.Int64Range(0, 9).Draw(t, "deadline"), 0),
					IsUrgent:     rapid.Bool().Draw(t, "urgent"),
				}
				waiting[w] = true
				if evicted, _ := q.Push(w, 0); evicted != nil {
					delete(waiting, evicted)
				}
			},
			"pop": func(t *rapid.T) {
				w, _, found := q.Pop(anyWaiter)
				if found != (len(waiting) > 0) {
					t.Fatalf("pop found %t with %d waiting", found, len(waiting))
				}
				delete(waiting, w)
			},
			"remove": func(t *rapid.T) {
				for w := range waiting {
					if !q.Remove(w) {
						t.Fatal("a waiting request was not found")
					}
					delete(waiting, w)
					break
				}
			},
			"": func(t *rapid.T) {
				if q.Len() != len(waiting) || q.Len() > limit {
					t.Fatalf("the queue has %d, expected %d, limit %d", q.Len(), len(waiting), limit)
				}
			},
		})
	})
}

func TestEarliestDeadlineGoesFirstWithinOneOrganisation(t *testing.T) {
	c := qt.New(t)
	q := admission.NewQueue[string](10)
	q.Push(&admission.Waiter{Deadline: time.Unix(3, 0)}, "late")
	q.Push(&admission.Waiter{Deadline: time.Unix(1, 0)}, "early")
	q.Push(&admission.Waiter{Deadline: time.Unix(9, 0), IsUrgent: true}, "urgent")
	var order []string
	for q.Len() > 0 {
		_, item, _ := q.Pop(anyWaiter)
		order = append(order, item)
	}
	c.Assert(order, qt.DeepEquals, []string{"urgent", "early", "late"})
}

// TestRefusedCallersComeBackAtTheServiceRate refuses many callers at once and checks that their retries are spread over
// the time in which they can be served.
func TestRefusedCallersComeBackAtTheServiceRate(t *testing.T) {
	c := qt.New(t)
	e := admission.NewEstimator()
	for range 200 {
		e.Record(time.Unix(999, 0), 20*time.Millisecond, false)
	}
	now := time.Unix(1000, 0)
	const callers, concurrency = 1000, 4
	perSecond := map[int]int{}
	for range callers {
		perSecond[int(e.RetryAfter(now, concurrency)/time.Second)]++
	}
	// Four requests at a time of 20 ms each are 200 a second, and overbooking makes them 250; jitter moves some into the
	// next seconds.
	for second, n := range perSecond {
		c.Check(n < 400, qt.IsTrue, qt.Commentf("%d come back in second %d", n, second))
	}
}

func TestNoRetriesWhileTheServiceFails(t *testing.T) {
	c := qt.New(t)
	b := admission.NewRetryBudget(10)
	for range 1000 {
		b.Record(true)
	}
	c.Assert(b.Take(), qt.IsTrue)
	for range 100 {
		b.Record(false)
	}
	c.Assert(b.Take(), qt.IsFalse)
}

// TestRetriesStayInsideTheBudget takes every retry that is allowed and checks that the total matches the percentage, plus
// the three of a new budget.
func TestRetriesStayInsideTheBudget(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		percent := rapid.IntRange(0, 100).Draw(t, "percent")
		b := admission.NewRetryBudget(percent)
		successes, taken := 0, 0
		for _, succeeded := range rapid.SliceOfN(rapid.Bool(), 0, 500).Draw(t, "results") {
			b.Record(succeeded)
			if succeeded {
				successes++
			} else if b.Take() {
				taken++
			}
		}
		if taken*100 > successes*percent+300 {
			t.Fatalf("%d retries for %d successes at %d percent", taken, successes, percent)
		}
	})
}

func TestSpillStaysInsideTheBudget(t *testing.T) {
	c := qt.New(t)
	var b admission.SpillBudget
	now := time.Unix(1000, 0)
	c.Assert(b.Allows(now), qt.IsFalse)
	b.SetRate(1000)
	spent := 0
	for range 100 {
		now = now.Add(100 * time.Millisecond)
		if b.Allows(now) {
			b.Charge(150)
			spent += 150
		}
	}
	// The budget of ten seconds, a burst of one second, and one answer whose length was not known in advance.
	c.Assert(spent <= 11*1000+150, qt.IsTrue, qt.Commentf("spent %d", spent))
	c.Assert(spent >= 9*1000, qt.IsTrue, qt.Commentf("spent %d", spent))
}

func TestLateness(t *testing.T) {
	w := &admission.Waiter{Arrival: time.Unix(100, 0), Deadline: time.Unix(110, 0)}
	tests := []struct {
		name        string
		now         time.Time
		serviceTime time.Duration
		want        bool
	}{
		{"enough time", time.Unix(108, 0), time.Second, false},
		{"too little time", time.Unix(108, 0), 3 * time.Second, true},
		{"half of its time with a long service time", time.Unix(104, 0), time.Minute, false},
		{"past", time.Unix(111, 0), 0, true},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			qt.Assert(t, w.IsLate(test.now, test.serviceTime), qt.Equals, test.want)
		})
	}
}
