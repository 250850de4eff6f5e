package run_test

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/primroseladder/primroseladder/internal/outcome"
	"github.com/primroseladder/primroseladder/internal/request"
	"github.com/primroseladder/primroseladder/internal/run"
)

// watchHealth reassesses the backend servers of a runner until the test ends.
func watchHealth(t *testing.T, runner *run.Runner) {
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	go runner.WatchHealth(ctx)
}

// TestTrialsGoOnWhileRequestsWait guards against a backend server in a trial that gets no trial requests because all requests
// wait and none ends.
func TestTrialsGoOnWhileRequestsWait(t *testing.T) {
	c := qt.New(t)
	var isFailing atomic.Bool
	isFailing.Store(true)
	recovering := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		if isFailing.Load() {
			w.WriteHeader(http.StatusInternalServerError)
		}
	}))
	defer recovering.Close()
	release := make(chan struct{})
	var busyRequests atomic.Int64
	busy := httptest.NewServer(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		if body, _ := io.ReadAll(r.Body); string(body) == "long" {
			busyRequests.Add(1)
			<-release
		}
	}))
	defer busy.Close()
	defer close(release)

	e := testEntry()
	e.Limits.SlotsPerBackend = 1
	e.Health.FloorPercent = 50
	runner := newRunner(e, address(recovering), address(busy))
	watchHealth(t, runner)
	within := func(d time.Duration, condition func() bool) {
		c.Helper()
		for end := time.Now().Add(d); !condition(); time.Sleep(5 * time.Millisecond) {
			c.Assert(time.Now().Before(end), qt.IsTrue)
		}
	}
	within(10*time.Second, func() bool {
		runner.Run(context.Background(), newRequest(e, true, "short"))
		return len(runner.HealthReports()[e.Service].Out) == 1
	})
	isFailing.Store(false)
	send := func(body string) <-chan *request.Response {
		done := make(chan *request.Response, 1)
		r := newRequest(e, true, body)
		r.Deadline = time.Now().Add(10 * time.Second)
		go func() { done <- runner.Run(context.Background(), r) }()
		return done
	}
	send("long")
	within(time.Second, func() bool { return busyRequests.Load() == 1 })
	waiting := []<-chan *request.Response{send("short"), send("short"), send("short"), send("short")}
	// The first ejection lasts 2.5 s at most. Three trials take 0.6 s after that.
	timeout := time.After(4 * time.Second)
	for nth, done := range waiting {
		select {
		case response := <-done:
			c.Check(response.Outcome, qt.Equals, outcome.Done)
		case <-timeout:
			c.Fatalf("only %d of %d waiting requests were sent to the backend server in a trial", nth, len(waiting))
		}
	}
}

// TestRequestsWaitForTheSpillBudget guards against requests that wait until their deadline although the budget for other regions
// has been refilled.
func TestRequestsWaitForTheSpillBudget(t *testing.T) {
	c := qt.New(t)
	remote := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) {}))
	defer remote.Close()
	e := testEntry()
	e.Spill.BytesPerSecond = 1000
	runner := newRunnerIn("albany", e, address(remote))
	watchHealth(t, runner)
	for _, body := range []string{strings.Repeat("x", 1500), "x"} {
		r := newRequest(e, true, body)
		r.Deadline = time.Now().Add(3 * time.Second)
		begin := time.Now()
		c.Check(runner.Run(context.Background(), r).Outcome, qt.Equals, outcome.Done)
		c.Check(time.Since(begin) < 1500*time.Millisecond, qt.IsTrue, qt.Commentf("waited %s", time.Since(begin)))
	}
}
