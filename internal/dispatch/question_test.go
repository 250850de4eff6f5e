package dispatch_test

import (
	"context"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/rs/zerolog"

	"github.com/primroseladder/primroseladder/internal/dispatch"
	"github.com/primroseladder/primroseladder/internal/evidence"
	"github.com/primroseladder/primroseladder/internal/poison"
	"github.com/primroseladder/primroseladder/internal/roster"
	"github.com/primroseladder/primroseladder/internal/route"
)

// TestVMWithoutCallersAvoidsKnownHealth guards against a VM that seldom gets a request and chooses among unhealthy backend
// servers as if nothing were known, although other VMs of its region know them: routes that were added seem not to be served.
func TestVMWithoutCallersAvoidsKnownHealth(t *testing.T) {
	const (
		requests = 40
		// episode is how long half of the backend servers stay unhealthy, and pause the time between two requests.
		episode = 25 * time.Second
		pause   = 17 * time.Second
		// maxFailed is a tenth of the requests, as for the users' floor.
		maxFailed = requests / 10
	)
	synctest.Test(t, func(t *testing.T) {
		s := newSim(t, 18, route.NonIdempotent, true)
		for i, server := range s.servers {
			server.failing = func(at time.Duration) float64 {
				if (i+int(at/episode))%2 == 0 {
					return 0.9
				}
				return healthyFailureShare
			}
		}
		var idle *dispatch.Dispatcher
		idle = dispatch.New(dispatch.Options{
			Zone: "a", Region: "r", Regions: map[string]string{"a": "r", "b": "r"}, Protocol: simProtocol, Log: zerolog.Nop(),
			Connect:       func(to roster.Server, _ int) dispatch.ConnectionPool { return simPath{s.server(to.ID), "idle"} },
			ShareEvidence: func(dispatch.Evidence) {}, ShareCrash: func(poison.Crash) {},
			RetryAllowance: func(string) float64 { return 0 },
			AskHealth: func(service string) bool {
				go func() {
					time.Sleep(3 * time.Millisecond)
					idle.ReceiveHealth(service, s.vms[0].KnownHealth(service))
				}()
				return true
			},
		})
		idle.Update(s.list(), nil)
		go s.load(60, requests*pause+10*time.Second)
		time.Sleep(5 * time.Second)
		failed := 0
		for n := range requests {
			result := idle.Do(context.Background(), s.request(n))
			if result.Outcome != dispatch.Answered || result.Answer.Status != http.StatusOK {
				failed++
			}
			time.Sleep(pause)
		}
		qt.Check(t, failed <= maxFailed, qt.IsTrue, qt.Commentf("%d of %d requests failed", failed, requests))
		time.Sleep(time.Minute)
	})
}

// TestQuestionWithoutAnswerDelaysOnce checks that requests do not wait for other VMs again and again while none answers.
func TestQuestionWithoutAnswerDelaysOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		asked := 0
		d := dispatch.New(dispatch.Options{
			Zone: "a", Region: "r", Regions: map[string]string{"a": "r"}, Protocol: simProtocol, Log: zerolog.Nop(),
			Connect:       func(roster.Server, int) dispatch.ConnectionPool { return instantPool{} },
			ShareEvidence: func(dispatch.Evidence) {}, ShareCrash: func(poison.Crash) {},
			RetryAllowance: func(string) float64 { return 0 },
			AskHealth:      func(string) bool { asked++; return true },
		})
		d.Update(map[string][]roster.Server{simService: {{ID: "i-1", Service: simService, Zone: "a", Slots: 4}}}, nil)
		target := newSim(t, 0, route.NonIdempotent, false).target
		began := time.Now()
		for range 10 {
			d.Do(context.Background(), &dispatch.Request{Header: http.Header{}, Target: target, Service: simService, Arrival: time.Now()})
		}
		qt.Check(t, asked, qt.Equals, 1)
		qt.Check(t, time.Since(began), qt.Equals, 40*time.Millisecond)
	})
}

// TestAnswerWithoutKnowledgeEndsTheWait guards against requests of a service that is seldom used and that wait for knowledge
// which no VM has.
func TestAnswerWithoutKnowledgeEndsTheWait(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var d *dispatch.Dispatcher
		d = dispatch.New(dispatch.Options{
			Zone: "a", Region: "r", Regions: map[string]string{"a": "r"}, Protocol: simProtocol, Log: zerolog.Nop(),
			Connect:       func(roster.Server, int) dispatch.ConnectionPool { return instantPool{} },
			ShareEvidence: func(dispatch.Evidence) {}, ShareCrash: func(poison.Crash) {},
			RetryAllowance: func(string) float64 { return 0 },
			AskHealth: func(service string) bool {
				time.AfterFunc(2*time.Millisecond, func() { d.ReceiveHealth(service, nil) })
				return true
			},
		})
		d.Update(map[string][]roster.Server{simService: {{ID: "i-1", Service: simService, Zone: "a", Slots: 4}}}, nil)
		target := newSim(t, 0, route.NonIdempotent, false).target
		began := time.Now()
		d.Do(context.Background(), &dispatch.Request{Header: http.Header{}, Target: target, Service: simService, Arrival: time.Now()})
		qt.Check(t, time.Since(began), qt.Equals, 2*time.Millisecond)
	})
}

// TestVMOutsideTheGroupMakesNoTrials guards against a VM that does not serve a service and takes its backend servers for idle,
// since it does not hear when they were used: its few requests went to servers that are likely unhealthy.
func TestVMOutsideTheGroupMakesNoTrials(t *testing.T) {
	for _, isServing := range []bool{true, false} {
		synctest.Test(t, func(t *testing.T) {
			tried := 0
			d := dispatch.New(dispatch.Options{
				Zone: "a", Region: "r", Regions: map[string]string{"a": "r"}, Protocol: simProtocol, Log: zerolog.Nop(),
				Connect: func(roster.Server, int) dispatch.ConnectionPool { return instantPool{} },
				ShareEvidence: func(e dispatch.Evidence) {
					if e.IsStart && e.Server == "i-2" {
						tried++
					}
				},
				ShareCrash: func(poison.Crash) {}, RetryAllowance: func(string) float64 { return 0 },
				Serves: func(string) bool { return isServing },
			})
			list := []roster.Server{{ID: "i-1", Service: simService, Zone: "a", Slots: 4}, {ID: "i-2", Service: simService, Zone: "a", Slots: 4}}
			d.Update(map[string][]roster.Server{simService: list}, nil)
			hear := func(server string, o evidence.Outcome) {
				d.ReceiveEvidence("peer", dispatch.Evidence{Service: simService, Server: server, HasOutcome: true, Outcome: o, Took: time.Second})
			}
			hear("i-2", evidence.Shed)
			time.Sleep(2 * time.Second)
			target := newSim(t, 0, route.NonIdempotent, false).target
			for range 20 {
				hear("i-1", evidence.Success)
				d.Do(context.Background(), &dispatch.Request{Header: http.Header{}, Target: target, Service: simService, Arrival: time.Now()})
				time.Sleep(20 * time.Millisecond)
			}
			qt.Check(t, tried > 0, qt.Equals, isServing, qt.Commentf("serving: %t, %d trials", isServing, tried))
		})
	}
}

// TestVMWithoutCallersSeesTheLoad guards against a VM that seldom gets a request and sends it to a backend server that is healthy
// but busy with the requests of other VMs, where it waits until its deadline.
func TestVMWithoutCallersSeesTheLoad(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var d *dispatch.Dispatcher
		sent := map[string]int{}
		d = dispatch.New(dispatch.Options{
			Zone: "a", Region: "r", Regions: map[string]string{"a": "r"}, Protocol: simProtocol, Log: zerolog.Nop(),
			Connect: func(roster.Server, int) dispatch.ConnectionPool { return instantPool{} },
			ShareEvidence: func(e dispatch.Evidence) {
				if e.IsStart {
					sent[e.Server]++
				}
			},
			ShareCrash: func(poison.Crash) {}, RetryAllowance: func(string) float64 { return 0 },
			Serves: func(string) bool { return false },
			AskHealth: func(service string) bool {
				time.AfterFunc(2*time.Millisecond, func() {
					d.ReceiveHealth(service, []dispatch.ServerHealth{{"busy", 0.01, 20}, {"free", 0.1, 0}})
				})
				return true
			},
		})
		list := []roster.Server{{ID: "busy", Service: simService, Zone: "a", Slots: 4}, {ID: "free", Service: simService, Zone: "a", Slots: 4}}
		d.Update(map[string][]roster.Server{simService: list}, nil)
		target := newSim(t, 0, route.NonIdempotent, false).target
		for range 10 {
			d.Do(context.Background(), &dispatch.Request{Header: http.Header{}, Target: target, Service: simService, Arrival: time.Now()})
			time.Sleep(10 * time.Second)
		}
		qt.Check(t, sent, qt.DeepEquals, map[string]int{"free": 10})
	})
}

// TestOwnOutcomesDoNotReplaceAnswers guards against a VM outside the group of a service that judges all backend servers by the few
// requests that it sent itself.
func TestOwnOutcomesDoNotReplaceAnswers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const seconds = 10
		asked := 0
		var d *dispatch.Dispatcher
		d = dispatch.New(dispatch.Options{
			Zone: "a", Region: "r", Regions: map[string]string{"a": "r"}, Protocol: simProtocol, Log: zerolog.Nop(),
			Connect:       func(roster.Server, int) dispatch.ConnectionPool { return instantPool{} },
			ShareEvidence: func(dispatch.Evidence) {}, ShareCrash: func(poison.Crash) {},
			RetryAllowance: func(string) float64 { return 0 },
			Serves:         func(string) bool { return false },
			AskHealth: func(service string) bool {
				asked++
				time.AfterFunc(2*time.Millisecond, func() { d.ReceiveHealth(service, []dispatch.ServerHealth{{"i-1", 0.01, 0}}) })
				return true
			},
		})
		d.Update(map[string][]roster.Server{simService: {{ID: "i-1", Service: simService, Zone: "a", Slots: 4}}}, nil)
		target := newSim(t, 0, route.NonIdempotent, false).target
		for range seconds * 2 {
			d.Do(context.Background(), &dispatch.Request{Header: http.Header{}, Target: target, Service: simService, Arrival: time.Now()})
			time.Sleep(500 * time.Millisecond)
		}
		qt.Check(t, asked >= seconds*2/3, qt.IsTrue, qt.Commentf("asked %d times in %d s", asked, seconds))
	})
}
