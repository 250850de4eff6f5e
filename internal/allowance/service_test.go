package allowance_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/rs/zerolog"

	"github.com/primroseladder/primroseladder/internal/allowance"
	"github.com/primroseladder/primroseladder/internal/organisation"
)

// silence is a Sender whose messages are lost.
type silence struct{}

func (silence) SendAllowanceReport(allowance.Message)            {}
func (silence) SendAllowanceQuestion(string, allowance.Question) {}
func (silence) SendAllowanceAnswer(string, allowance.Answer)     {}

func startService(t *testing.T, counters ...allowance.Counter) *allowance.Service {
	s := allowance.NewService(allowance.Options{
		Limits: allowance.Limits{Window: 5 * time.Second, Over: 0.1, Slack: 20}, Incarnation: 1,
		Counters: func() []allowance.Counter { return counters }, IsNeeded: func() bool { return true }, Sender: silence{},
		Log: zerolog.Nop(),
	})
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	go s.Run(ctx)
	return s
}

// TestRequestsWaitWhileTheFleetStarts sends requests before the VM knows that nobody has counted any: they wait and are accepted.
func TestRequestsWaitWhileTheFleetStarts(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := startService(t, allowance.Counter{Address: "a", IsSelf: true})
		began := time.Now()
		v, _ := s.Take(&organisation.Organisation{Name: "parish", PerSecond: 50, Burst: 50}, began)
		qt.Check(t, v, qt.Equals, organisation.Within)
		qt.Check(t, time.Since(began) < time.Second, qt.IsTrue, qt.Commentf("%v", time.Since(began)))
	})
}

// TestNobodyToAskIsNoRefusal asks counters that cannot be reached, long after the start: the request is not held for long, and is not
// said to exceed the allowance.
func TestNobodyToAskIsNoRefusal(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := startService(t, allowance.Counter{Address: "a"}, allowance.Counter{Address: "b"})
		time.Sleep(10 * time.Second)
		for range 2 {
			began := time.Now()
			v, retryAfter := s.Take(&organisation.Organisation{Name: "parish", PerSecond: 50, Burst: 50}, began)
			qt.Check(t, v, qt.Equals, organisation.Unconfirmed)
			qt.Check(t, retryAfter > 0, qt.IsTrue)
			qt.Check(t, time.Since(began) < 300*time.Millisecond, qt.IsTrue, qt.Commentf("%v", time.Since(began)))
		}
	})
}
