package dispatch_test

import (
	"context"
	"fmt"
	"net/http"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/rs/zerolog"

	"github.com/primroseladder/primroseladder/internal/dispatch"
	"github.com/primroseladder/primroseladder/internal/evidence"
	"github.com/primroseladder/primroseladder/internal/poison"
	"github.com/primroseladder/primroseladder/internal/roster"
	"github.com/primroseladder/primroseladder/internal/route"
)

// TestOtherRegionUsesHealthTransition reproduces the start of day quiet-1 of Cristal Brillante: each of 13 unhealthy
// backend servers failed a request of both regions, since neither received the evidence of the other.
func TestOtherRegionUsesHealthTransition(t *testing.T) {
	c := qt.New(t)
	s := newSim(t, 4, route.NonIdempotent, true)
	for _, server := range s.servers {
		server.failing = func(time.Duration) float64 { return 0 }
	}
	s.servers[0].failing = func(time.Duration) float64 { return 1 }
	var transitions []dispatch.Evidence
	near, far := twoRegions(s, func(e dispatch.Evidence) {
		if e.IsHealthTransition {
			transitions = append(transitions, e)
		}
	})

	only := map[string][]roster.Server{simService: {s.servers[0].Server}}
	near.Update(only, nil)
	for n := range 2 {
		near.Do(context.Background(), s.request(n))
	}
	c.Assert(transitions, qt.HasLen, 1, qt.Commentf("the second failure is no health transition"))
	c.Check(transitions[0].Outcome, qt.Equals, evidence.EarlyFailure)

	far.ReceiveHealthTransition(transitions[0])
	for n := range 3 {
		result := far.Do(context.Background(), s.request(n))
		c.Check(result.Answer.Status, qt.Equals, http.StatusOK, qt.Commentf("from %s", result.Server))
	}
}

// twoRegions returns a VM in each of two regions that do not exchange evidence. share is called with the evidence of
// the first one.
func twoRegions(s *sim, share func(dispatch.Evidence)) (near, far *dispatch.Dispatcher) {
	regions := map[string]string{"a": "r", "b": "r", "c": "q"}
	connect := func(to roster.Server, _ int) dispatch.ConnectionPool { return simPath{s.server(to.ID), "c"} }
	build := func(zone string, share func(dispatch.Evidence)) *dispatch.Dispatcher {
		return dispatch.New(dispatch.Options{
			Zone: zone, Region: regions[zone], Regions: regions, Protocol: simProtocol, Log: zerolog.Nop(), Connect: connect,
			ShareEvidence: share, ShareCrash: func(poison.Crash) {}, RetryRatio: 0.2, RetryWindow: 10 * time.Second,
			RetryAllowance: func(string) float64 { return 9 },
		})
	}
	near, far = build("a", share), build("c", func(dispatch.Evidence) {})
	near.Update(s.list(), nil)
	far.Update(s.list(), nil)
	return near, far
}

// request returns a request for the route of the simulation.
func (s *sim) request(n int) *dispatch.Request {
	return &dispatch.Request{
		ID: fmt.Sprint(n), Method: http.MethodPost, URI: fmt.Sprintf("/%d", n), Host: "h", Header: http.Header{},
		Target: s.target, Service: simService, Arrival: time.Now(),
	}
}
