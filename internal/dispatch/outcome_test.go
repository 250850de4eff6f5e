package dispatch_test

import (
	"context"
	"errors"
	"net/http"
	"strconv"
	"sync"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/rs/zerolog"

	"github.com/primroseladder/primroseladder/internal/backend"
	"github.com/primroseladder/primroseladder/internal/dispatch"
	"github.com/primroseladder/primroseladder/internal/evidence"
	"github.com/primroseladder/primroseladder/internal/poison"
	"github.com/primroseladder/primroseladder/internal/roster"
	"github.com/primroseladder/primroseladder/internal/route"
)

// step is what a backend server does with an attempt.
type step struct {
	status  int
	header  http.Header
	err     error
	started bool
	// wait is how long the attempt takes. If hangs is set, it ends only with its context.
	wait  time.Duration
	hangs bool
	// idleFor is how long the connection was idle before the attempt.
	idleFor time.Duration
}

// script answers attempts in order, whichever backend server they go to.
type script struct {
	mu    sync.Mutex
	steps []step
	sent  []*backend.Request
	// share, if set, is called with the evidence of the dispatcher.
	share func(dispatch.Evidence)
}

func (s *script) Do(ctx context.Context, r *backend.Request) (*backend.Answer, error) {
	if err := r.BeforeWrite(); err != nil {
		return nil, &backend.AttemptError{Err: err}
	}
	s.mu.Lock()
	s.sent = append(s.sent, r)
	next := s.steps[0]
	s.steps = s.steps[1:]
	s.mu.Unlock()
	time.Sleep(next.wait)
	if next.hangs {
		<-ctx.Done()
		return nil, &backend.AttemptError{MayHaveStarted: true, Err: ctx.Err()}
	}
	if next.err != nil {
		return nil, &backend.AttemptError{MayHaveStarted: next.started, ConnIdle: next.idleFor, Err: next.err}
	}
	return &backend.Answer{Status: next.status, Header: next.header}, nil
}

func (s *script) HasIdle() bool { return true }

func (s *script) Close() {}

func (s *script) shareEvidence(e dispatch.Evidence) {
	if s.share != nil {
		s.share(e)
	}
}

func signed(status int) step {
	return step{status: status, header: http.Header{simProtocol.Signature: {"s"}}}
}

func notExecuted(status int) step {
	return step{status: status, header: http.Header{simProtocol.NotExecuted: {"1"}}}
}

// runScript sends one request through a dispatcher whose backend servers follow the script.
func runScript(kind route.Kind, s *script, timeout time.Duration, callerWaits time.Duration) dispatch.Result {
	config := &route.Config{Services: []route.Service{{Name: simService}}, Routes: []route.Route{{
		Host: "h", Prefix: "/", Kind: kind, Timeout: timeout, TargetLatency: time.Second, MaxAttempts: 2,
		Shares: []route.Share{{Service: simService, Weight: 1}},
	}}}
	d := dispatch.New(dispatch.Options{
		Zone: "a", Region: "r", Regions: map[string]string{"a": "r"}, Protocol: simProtocol, Log: zerolog.Nop(),
		Connect:       func(roster.Server, int) dispatch.ConnectionPool { return s },
		ShareEvidence: s.shareEvidence, ShareCrash: func(poison.Crash) {},
		RetryWindow: time.Second, RetryAllowance: func(string) float64 { return 1000 },
	})
	list := []roster.Server{}
	for _, id := range []string{"i-1", "i-2", "i-3", "i-4", "i-5", "i-6"} {
		list = append(list, roster.Server{ID: id, Service: simService, Zone: "a", Slots: 4})
	}
	d.Update(map[string][]roster.Server{simService: list}, config)
	time.Sleep(time.Second)
	return d.Do(context.Background(), &dispatch.Request{
		ID: "7", Method: http.MethodPost, URI: "/1", Host: "h", Header: http.Header{}, Service: simService,
		Target: route.NewTable(config, nil).Find("h", "/"), Arrival: time.Now(), CallerDeadline: time.Now().Add(callerWaits),
	})
}

// TestAttempts checks after each kind of attempt whether another one follows and which outcome is reported. A request
// that is not idempotent must be sent again only if the previous attempt provably did not run, and the outcome may be
// "not run" only if that holds for all attempts.
func TestAttempts(t *testing.T) {
	refused := step{err: syscall.ECONNREFUSED}
	reset := step{err: syscall.ECONNRESET, started: true}
	unusable := step{err: errors.New("not HTTP"), started: true}
	ok, failure := signed(200), signed(500)
	tests := []struct {
		name  string
		kind  route.Kind
		steps []step
		want  dispatch.Outcome
		sends int
	}{
		{"answered", route.NonIdempotent, []step{ok}, dispatch.Answered, 1},
		{"failure is the answer", route.NonIdempotent, []step{failure}, dispatch.Answered, 1},
		{"reset", route.NonIdempotent, []step{reset}, dispatch.Unknown, 1},
		{"unusable", route.NonIdempotent, []step{unusable}, dispatch.Unknown, 1},
		{"no connection, then answered", route.NonIdempotent, []step{refused, refused, ok}, dispatch.Answered, 3},
		{"shed, then answered", route.NonIdempotent, []step{notExecuted(503), ok}, dispatch.Answered, 2},
		{"another instance, then answered", route.NonIdempotent, []step{notExecuted(421), ok}, dispatch.Answered, 2},
		{"shed by all allowed attempts", route.NonIdempotent, []step{notExecuted(503), notExecuted(429)}, dispatch.NotRun, 2},
		{"503 without the not-executed header", route.NonIdempotent, []step{signed(503)}, dispatch.Unknown, 1},
		{"429 without the not-executed header", route.NonIdempotent, []step{signed(429)}, dispatch.Unknown, 1},
		{"408 without the not-executed header", route.NonIdempotent, []step{signed(408)}, dispatch.Unknown, 1},
		{"success without signature", route.NonIdempotent, []step{{status: 200, header: http.Header{}}}, dispatch.Unknown, 1},
		{"encoded body", route.NonIdempotent, []step{{status: 200, header: http.Header{
			simProtocol.Signature: {"s"}, "Content-Encoding": {"gzip"},
		}}}, dispatch.Unknown, 1},
		{"idempotent, reset, then answered", route.Idempotent, []step{reset, ok}, dispatch.Answered, 2},
		{"idempotent, failure, then answered", route.Idempotent, []step{failure, ok}, dispatch.Answered, 2},
		{"idempotent, failure, then reset", route.Idempotent, []step{failure, reset}, dispatch.Answered, 2},
		{"idempotent, failure, then shed", route.Idempotent, []step{failure, notExecuted(503)}, dispatch.Answered, 2},
		{"idempotent, failure, then no answer", route.Idempotent, []step{failure, {hangs: true}}, dispatch.Answered, 2},
		{"idempotent, reset, then shed", route.Idempotent, []step{reset, notExecuted(503)}, dispatch.Unknown, 2},
		{"idempotent, reset twice", route.Idempotent, []step{reset, reset}, dispatch.Unknown, 2},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := &script{steps: test.steps}
				got := runScript(test.kind, s, 3*time.Second, 3*time.Second)
				qt.Check(t, got.Outcome, qt.Equals, test.want, qt.Commentf("%s", got.Reason))
				qt.Check(t, s.sent, qt.HasLen, test.sends)
			})
		})
	}
}

// TestTimeLimit checks that the request ends at the route's time limit or the caller's deadline, whichever is first,
// and not later.
func TestTimeLimit(t *testing.T) {
	for _, test := range []struct{ timeout, caller, want time.Duration }{
		{time.Second, 3 * time.Second, time.Second},
		{3 * time.Second, time.Second, time.Second},
	} {
		synctest.Test(t, func(t *testing.T) {
			s := &script{steps: []step{{hangs: true}}}
			began := time.Now()
			got := runScript(route.NonIdempotent, s, test.timeout, test.caller)
			qt.Check(t, got.Outcome, qt.Equals, dispatch.TimedOut)
			// runScript waits for a second before it sends.
			qt.Check(t, time.Since(began)-time.Second, qt.Equals, test.want)
		})
	}
}

// TestDeadlineHeaderIsTimeLeft checks the deadline header of each attempt.
func TestDeadlineHeaderIsTimeLeft(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		slow := notExecuted(503)
		slow.wait = 700 * time.Millisecond
		s := &script{steps: []step{slow, signed(200)}}
		runScript(route.NonIdempotent, s, 5*time.Second, 2*time.Second)
		c.Assert(s.sent, qt.HasLen, 2)
		for i, want := range []int{2000, 1300} {
			got, err := strconv.Atoi(s.sent[i].Header.Get(simProtocol.DeadlineMS))
			c.Assert(err, qt.IsNil)
			c.Check(got, qt.Equals, want)
		}
		c.Check(s.sent[0].Header.Get(simProtocol.ExpectedInstance), qt.Not(qt.Equals),
			s.sent[1].Header.Get(simProtocol.ExpectedInstance))
	})
}

// TestResetOfIdleConnectionIsWeakEvidence guards against the fault idle_race of the grown deployments: backend servers
// drop idle connections, so the reset of a connection that was idle for seconds is weaker evidence than the reset of
// one in use.
func TestResetOfIdleConnectionIsWeakEvidence(t *testing.T) {
	for idleFor, want := range map[time.Duration]evidence.Outcome{
		0: evidence.EarlyFailure, 300 * time.Millisecond: evidence.EarlyFailure, 2 * time.Second: evidence.Failure,
	} {
		synctest.Test(t, func(t *testing.T) {
			reset := step{err: syscall.ECONNRESET, started: true, idleFor: idleFor}
			var shared []dispatch.Evidence
			s := &script{steps: []step{reset}, share: func(e dispatch.Evidence) { shared = append(shared, e) }}
			runScript(route.NonIdempotent, s, 3*time.Second, 3*time.Second)
			qt.Assert(t, shared, qt.HasLen, 2)
			qt.Check(t, shared[1].Outcome, qt.Equals, want, qt.Commentf("idle for %v", idleFor))
		})
	}
}
