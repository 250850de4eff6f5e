package dispatch_test

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"sync/atomic"
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

// TestPoisonRequestIsBlockedOnAllVMs repeatedly sends a request to both VMs in turn. The request crashes each backend
// server that runs it. After two crashes no VM may send it, and the outcome must be that it has not run.
func TestPoisonRequestIsBlockedOnAllVMs(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		s := newSim(t, 18, route.Idempotent, true)
		for _, server := range s.servers {
			server.crashes = true
		}
		time.Sleep(time.Second)
		arrivals := func() int {
			n := 0
			for _, server := range s.servers {
				n += len(server.arrived)
			}
			return n
		}
		for n := range 20 {
			result := s.vms[n%2].Do(context.Background(), &dispatch.Request{
				ID: fmt.Sprint(n), Method: http.MethodGet, URI: "/poison", Host: "h", Header: http.Header{},
				Target: s.target, Service: simService, Arrival: time.Now(),
			})
			if n >= 2 {
				c.Check(result.Outcome, qt.Equals, dispatch.NotRun)
				c.Check(result.RetryAfter > 0, qt.IsTrue)
			}
			time.Sleep(100 * time.Millisecond)
		}
		c.Check(arrivals() <= 3, qt.IsTrue, qt.Commentf("%d backend servers ran it", arrivals()))
	})
}

// TestCrashingRequestOfSeveralCallersIsNotRetried guards against a request that was sent several times before its first crash, and
// whose sends are each retried though the others have crashed backend servers as well.
func TestCrashingRequestOfSeveralCallersIsNotRetried(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const sends = 6
		s := newSim(t, 18, route.Idempotent, true)
		for _, server := range s.servers {
			server.crashes = true
		}
		time.Sleep(10 * time.Second)
		var wait sync.WaitGroup
		for n := range sends {
			wait.Go(func() {
				result := s.vms[n%2].Do(context.Background(), &dispatch.Request{
					ID: fmt.Sprint(n), Method: http.MethodGet, URI: "/poison", Host: "h", Header: http.Header{}, Target: s.target,
					Service: simService, Arrival: time.Now(),
				})
				qt.Check(t, result.Outcome, qt.Equals, dispatch.Unknown)
			})
			time.Sleep(crashDelay / sends / 2)
		}
		wait.Wait()
		arrivals := 0
		for _, server := range s.servers {
			arrivals += len(server.arrived)
		}
		qt.Check(t, arrivals <= sends+1, qt.IsTrue, qt.Commentf("%d sends reached backend servers %d times", sends, arrivals))
	})
}

// cuttingPool is a backend server that cuts its answers off, and ends with the first one if hasEnded is set.
type cuttingPool struct {
	simPath
	sends    *atomic.Int32
	hasEnded bool
}

func (p cuttingPool) Do(context.Context, *backend.Request) (*backend.Answer, error) {
	p.sends.Add(1)
	return nil, &backend.AttemptError{MayHaveStarted: true, Err: backend.ErrAnswerTruncated}
}

func (p cuttingPool) RefusesConnections(context.Context) bool { return p.hasEnded }

// TestCrashWithinAnAnswer guards against a request whose backend servers end within their answer, which is then sent without end,
// and against a request that is blocked because faulty backend servers cut their answers off and go on.
func TestCrashWithinAnAnswer(t *testing.T) {
	for _, hasEnded := range []bool{true, false} {
		synctest.Test(t, func(t *testing.T) {
			const requests = 12
			s := newSim(t, 18, route.NonIdempotent, true)
			var sends atomic.Int32
			vm := dispatch.New(dispatch.Options{
				Zone: "a", Region: "r", Regions: map[string]string{"a": "r"}, Protocol: simProtocol, Log: zerolog.Nop(),
				Connect: func(roster.Server, int) dispatch.ConnectionPool {
					return cuttingPool{sends: &sends, hasEnded: hasEnded}
				},
				ShareEvidence: func(dispatch.Evidence) {}, ShareCrash: func(poison.Crash) {},
				RetryWindow: time.Second, RetryAllowance: func(string) float64 { return 0 },
			})
			vm.Update(s.list(), nil)
			for range requests {
				vm.Do(context.Background(), s.request(0))
				time.Sleep(time.Second)
			}
			want := int32(requests)
			if hasEnded {
				want = 2
			}
			qt.Check(t, sends.Load(), qt.Equals, want)
		})
	}
}

// fakePools records by address which requests were sent and which connection pools were closed.
type fakePools struct {
	mu     sync.Mutex
	sent   map[string][]*backend.Request
	closed map[string]bool
	answer func(address string) (*backend.Answer, error)
}

type fakePool struct {
	*fakePools
	address string
}

func (p fakePool) Do(_ context.Context, r *backend.Request) (*backend.Answer, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.sent[p.address] = append(p.sent[p.address], r)
	return p.answer(p.address)
}

func (p fakePool) HasIdle() bool { return true }

func (p fakePool) Close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closed[p.address] = true
}

// TestNewIncarnationStartsWithoutHistory restarts a backend server with the same ID at another address. Outcomes of the
// old incarnation must not affect the new one.
func TestNewIncarnationStartsWithoutHistory(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		config := &route.Config{Services: []route.Service{{Name: simService}}, Routes: []route.Route{{
			Host: "h", Prefix: "/", Kind: route.NonIdempotent, Timeout: time.Second, TargetLatency: time.Second, MaxAttempts: 2,
			Shares: []route.Share{{Service: simService, Weight: 1}},
		}}}
		p := &fakePools{sent: map[string][]*backend.Request{}, closed: map[string]bool{}}
		d := dispatch.New(dispatch.Options{
			Zone: "a", Region: "r", Regions: map[string]string{"a": "r"}, Protocol: simProtocol, Log: zerolog.Nop(),
			Connect:       func(to roster.Server, _ int) dispatch.ConnectionPool { return fakePool{p, to.Address} },
			ShareEvidence: func(dispatch.Evidence) {}, ShareCrash: func(poison.Crash) {},
			RetryWindow: time.Second, RetryAllowance: func(string) float64 { return 1000 },
		})
		update := func(list ...roster.Server) { d.Update(map[string][]roster.Server{simService: list}, config) }
		send := func() dispatch.Result {
			return d.Do(context.Background(), &dispatch.Request{
				ID: "7", Method: http.MethodPost, URI: "/1", Host: "h", Header: http.Header{}, Service: simService,
				Target: route.NewTable(config, nil).Find("h", "/"), Arrival: time.Now(),
			})
		}
		old := roster.Server{ID: "i-1", Service: simService, Zone: "a", Slots: 4, Address: "10.0.0.1:1", Incarnation: 1}
		other := roster.Server{ID: "i-2", Service: simService, Zone: "a", Slots: 4, Address: "10.0.0.2:1", Incarnation: 1}

		p.answer = func(string) (*backend.Answer, error) {
			return nil, &backend.AttemptError{MayHaveStarted: true, Err: syscall.ECONNRESET}
		}
		update(old)
		send()
		c.Assert(p.sent[old.Address], qt.HasLen, 1)

		restarted := old
		restarted.Incarnation, restarted.Address = 2, "10.0.0.3:1"
		update(restarted, other)
		c.Check(p.closed[old.Address], qt.IsTrue)
		p.answer = func(string) (*backend.Answer, error) {
			return &backend.Answer{Status: 200, Header: http.Header{simProtocol.Signature: {"s"}}}, nil
		}
		for range 20 {
			c.Check(send().Outcome, qt.Equals, dispatch.Answered)
		}
		c.Check(p.sent[old.Address], qt.HasLen, 1)
		c.Check(len(p.sent[restarted.Address]) > 0, qt.IsTrue, qt.Commentf("the failure of the old incarnation still counts"))
		for address, id := range map[string]string{restarted.Address: "i-1", other.Address: "i-2"} {
			for _, r := range p.sent[address] {
				c.Check(r.Header.Get(simProtocol.ExpectedInstance), qt.Equals, id)
			}
		}
		// Evidence on a backend server that is no longer listed arrives late and must be ignored.
		update(other)
		d.ReceiveEvidence("peer", dispatch.Evidence{Service: simService, Server: "i-1", HasOutcome: true, Outcome: evidence.Failure})
		c.Check(send().Server, qt.Equals, "i-2")
	})
}

// TestMisdirectedRequestIsSentElsewhere sends a request to an address that another backend server has taken over. That
// one refuses it because of the expected instance, and the request is sent to a different backend server.
func TestMisdirectedRequestIsSentElsewhere(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &script{steps: []step{{status: http.StatusMisdirectedRequest, header: http.Header{}}, signed(200)}}
		got := runScript(route.NonIdempotent, s, time.Second, time.Second)
		qt.Check(t, got.Outcome, qt.Equals, dispatch.Answered)
		qt.Check(t, s.sent, qt.HasLen, 2)
	})
}

// TestLeavingIsRememberedForTheIncarnation guards against requests to a backend server that has said that it leaves, once its
// entry has disappeared from the list and come back, and against keeping its next incarnation out.
func TestLeavingIsRememberedForTheIncarnation(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		s := newSim(t, 1, route.NonIdempotent, false)
		vm, server := s.vms[0], s.servers[0]
		server.Incarnation = 1
		s.update(nil)
		vm.ReceiveHealthTransition(dispatch.Evidence{
			Service: simService, Server: server.ID, Statement: dispatch.Statement{Incarnation: 1, IsLeaving: true},
		})
		send := func() dispatch.Outcome { return vm.Do(context.Background(), s.request(0)).Outcome }
		c.Check(send(), qt.Equals, dispatch.NotRun)
		vm.Update(map[string][]roster.Server{}, nil)
		time.Sleep(time.Minute)
		s.update(nil)
		c.Check(send(), qt.Equals, dispatch.NotRun)
		server.Incarnation = 2
		s.update(nil)
		c.Check(send(), qt.Equals, dispatch.Answered)
	})
}
