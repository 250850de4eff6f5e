package run_test

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/primroseladder/primroseladder/internal/admission"
	"github.com/primroseladder/primroseladder/internal/catalogue"
	"github.com/primroseladder/primroseladder/internal/duration"
	"github.com/primroseladder/primroseladder/internal/fleet"
	"github.com/primroseladder/primroseladder/internal/header"
	"github.com/primroseladder/primroseladder/internal/listen/listentest"
	"github.com/primroseladder/primroseladder/internal/outcome"
	"github.com/primroseladder/primroseladder/internal/poison"
	"github.com/primroseladder/primroseladder/internal/request"
	"github.com/primroseladder/primroseladder/internal/run"
	"github.com/primroseladder/primroseladder/internal/snapshot"
)

type noSharing struct{}

func (noSharing) ShareCrash(string, poison.Fingerprint, string) {}
func (noSharing) ShareCleared(string, poison.Fingerprint)       {}

// testEntry returns a catalogue entry with default settings and a request timeout of 2 s.
func testEntry() *catalogue.Entry {
	e := &catalogue.Entry{Service: "deposits", Owner: "finance", Routes: []catalogue.Route{{Prefix: "/"}}}
	e.Limits.RequestTimeout = duration.Duration(2 * time.Second)
	e.ApplyDefaults()
	return e
}

// newRunner returns a runner with backend servers at the given addresses, all in the runner's region.
func newRunner(e *catalogue.Entry, addresses ...string) *run.Runner {
	return newRunnerIn("perth", e, addresses...)
}

// newRunnerIn returns a runner of a region with backend servers in perth at the given addresses.
func newRunnerIn(region string, e *catalogue.Entry, addresses ...string) *run.Runner {
	var vms []fleet.VM
	for i, address := range addresses {
		vms = append(vms, fleet.VM{
			Name: fmt.Sprint("backend-", i), Role: fleet.RoleBackendServer, State: fleet.StateLive, Region: "perth",
			Zone: "perth-a", Service: e.Service, Address: address,
		})
	}
	holder := snapshot.NewHolder()
	holder.ApplyView(fleet.NewView(1, vms))
	holder.ApplyCatalogue(snapshot.CatalogueUpdate{Revision: 1, Complete: true, Entries: []*catalogue.Entry{e}})
	return run.NewRunner(
		region, &run.HealthOptions{}, holder, admission.NewGate(1000), poison.NewRegistry(poison.DefaultWindow), noSharing{},
	)
}

func newRequest(e *catalogue.Entry, idempotent bool, body string) *request.Request {
	return &request.Request{
		ID: "id-1", Entry: e, Method: http.MethodPost, Target: "/x", Host: "x", Header: http.Header{}, Body: []byte(body),
		Arrival: time.Now(), Deadline: time.Now().Add(time.Second), Idempotent: idempotent, Key: "key-1", SendNumber: 1,
	}
}

func address(s *httptest.Server) string { return strings.TrimPrefix(s.URL, "http://") }

// crashingHandler counts the request and closes the connection without an answer.
func crashingHandler(runs *atomic.Int64) http.HandlerFunc {
	return func(http.ResponseWriter, *http.Request) {
		runs.Add(1)
		panic(http.ErrAbortHandler)
	}
}

func TestSecondAttempts(t *testing.T) {
	sheds := func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set(header.NotStarted, "true")
		w.WriteHeader(http.StatusServiceUnavailable)
	}
	succeeds := func(http.ResponseWriter, *http.Request) {}
	returnsError := func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusInternalServerError) }
	abortsConnection := func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }
	tests := []struct {
		name       string
		idempotent bool
		first      http.HandlerFunc
		want       outcome.Outcome
		wantStatus int
		// wantRuns is the number of requests that reach the two backend servers, without shed ones.
		wantRuns int64
	}{
		{"shed work goes elsewhere", false, sheds, outcome.Done, 200, 1},
		{"idempotent work is retried after a lost answer", true, abortsConnection, outcome.Done, 200, 2},
		{"idempotent work is retried after an error", true, returnsError, outcome.Done, 200, 2},
		{"non-idempotent work is not retried after a lost answer", false, abortsConnection, outcome.Unknown, 502, 1},
		{"non-idempotent work is not retried after an error", false, returnsError, outcome.Done, 500, 1},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			var runs, total atomic.Int64
			// The first request gets the faulty answer, whichever backend server receives it.
			handler := http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				nth := total.Add(1)
				if nth == 1 {
					if test.name != "shed work goes elsewhere" {
						runs.Add(1)
					}
					test.first(w, r)
					return
				}
				runs.Add(1)
				succeeds(w, r)
			})
			a, b := httptest.NewServer(handler), httptest.NewServer(handler)
			defer a.Close()
			defer b.Close()
			e := testEntry()
			response := newRunner(e, address(a), address(b)).Run(context.Background(), newRequest(e, test.idempotent, "x"))
			c.Assert(response.Outcome, qt.Equals, test.want)
			c.Assert(response.Status, qt.Equals, test.wantStatus)
			c.Assert(runs.Load(), qt.Equals, test.wantRuns)
		})
	}
}

func TestRefusedConnectionIsNotRun(t *testing.T) {
	c := qt.New(t)
	e := testEntry()
	response := newRunner(e, listentest.FreeAddress(t)).Run(context.Background(), newRequest(e, false, "x"))
	c.Assert(response.Outcome, qt.Equals, outcome.NotRun)
}

func TestPoisonRequestCrashesAtMostTwoBackendServers(t *testing.T) {
	c := qt.New(t)
	var runs atomic.Int64
	var addresses []string
	for range 8 {
		server := httptest.NewServer(crashingHandler(&runs))
		defer server.Close()
		addresses = append(addresses, address(server))
	}
	e := testEntry()
	runner := newRunner(e, addresses...)
	for range 10 {
		runner.Run(context.Background(), newRequest(e, true, "poison"))
	}
	c.Assert(runs.Load(), qt.Equals, int64(2))
	response := runner.Run(context.Background(), newRequest(e, true, "poison"))
	c.Assert(response.Reason, qt.Equals, outcome.ReasonPoison)
	c.Assert(response.Outcome, qt.Equals, outcome.NotRun)
}

func TestSlotsOfABackendServerAreNotExceeded(t *testing.T) {
	c := qt.New(t)
	var running, maxRunning atomic.Int64
	server := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) {
		n := running.Add(1)
		defer running.Add(-1)
		for seen := maxRunning.Load(); n > seen && !maxRunning.CompareAndSwap(seen, n); seen = maxRunning.Load() {
		}
		time.Sleep(5 * time.Millisecond)
	}))
	defer server.Close()
	e := testEntry()
	runner := newRunner(e, address(server))
	var wg sync.WaitGroup
	for range 40 {
		wg.Go(func() { runner.Run(context.Background(), newRequest(e, true, "x")) })
	}
	wg.Wait()
	c.Assert(maxRunning.Load() <= int64(e.Limits.SlotsPerBackend), qt.IsTrue, qt.Commentf("%d at a time", maxRunning.Load()))
}

// TestMoreSlotsThanConnections checks that requests wait, and do not fail, if an entry has fewer connections than slots.
func TestMoreSlotsThanConnections(t *testing.T) {
	c := qt.New(t)
	server := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) { time.Sleep(5 * time.Millisecond) }))
	defer server.Close()
	e := testEntry()
	e.Limits.SlotsPerBackend = 256
	runner := newRunner(e, address(server))
	var notDone atomic.Int64
	var wg sync.WaitGroup
	for range 100 {
		wg.Go(func() {
			if runner.Run(context.Background(), newRequest(e, true, "x")).Outcome != outcome.Done {
				notDone.Add(1)
			}
		})
	}
	wg.Wait()
	c.Assert(notDone.Load(), qt.Equals, int64(0))
}

// TestDrainingEndsAfterARestartInPlace checks that a draining backend server is used again once it has stopped and
// restarted at the same address, and not before.
func TestDrainingEndsAfterARestartInPlace(t *testing.T) {
	c := qt.New(t)
	draining := http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { w.Header().Set(header.Draining, "true") })
	listener, err := net.Listen("tcp", listentest.FreeAddress(t))
	c.Assert(err, qt.IsNil)
	first := &httptest.Server{Listener: listener, Config: &http.Server{Handler: draining}}
	first.Start()
	defer first.Close()
	e := testEntry()
	runner := newRunner(e, address(first))
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go runner.WatchDraining(ctx)
	isDraining := func() bool { return runner.HealthReports()[e.Service].Draining > 0 }
	runner.Run(ctx, newRequest(e, true, "x"))
	c.Assert(isDraining(), qt.IsTrue)

	first.Close()
	time.Sleep(500 * time.Millisecond)
	c.Assert(isDraining(), qt.IsTrue)
	listener, err = net.Listen("tcp", address(first))
	c.Assert(err, qt.IsNil)
	second := &http.Server{Handler: http.HandlerFunc(func(http.ResponseWriter, *http.Request) {})}
	defer second.Close()
	go func() { _ = second.Serve(listener) }()
	for deadline := time.Now().Add(5 * time.Second); isDraining(); time.Sleep(10 * time.Millisecond) {
		c.Assert(time.Now().Before(deadline), qt.IsTrue)
	}
	response := runner.Run(ctx, newRequest(e, true, "x"))
	c.Assert(response.Outcome, qt.Equals, outcome.Done)
}
