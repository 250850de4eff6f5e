package dispatch_test

import (
	"context"
	"fmt"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/rs/zerolog"

	"github.com/primroseladder/primroseladder/internal/backend"
	"github.com/primroseladder/primroseladder/internal/dispatch"
	"github.com/primroseladder/primroseladder/internal/poison"
	"github.com/primroseladder/primroseladder/internal/roster"
	"github.com/primroseladder/primroseladder/internal/route"
)

// sendRecorder stands for backend servers that answer at once. It records when requests were written to them.
type sendRecorder struct {
	// connectTime is how long a connection takes.
	connectTime time.Duration

	mu   sync.Mutex
	sent []sentRequest
}

type sentRequest struct {
	id, server string
	at         time.Time
}

type recordingPool struct {
	*sendRecorder
	server string
}

// Do implements dispatch.ConnectionPool.
func (p recordingPool) Do(_ context.Context, r *backend.Request) (*backend.Answer, error) {
	time.Sleep(p.connectTime)
	if err := r.BeforeWrite(); err != nil {
		return nil, &backend.AttemptError{Err: err}
	}
	p.mu.Lock()
	p.sent = append(p.sent, sentRequest{r.ID, p.server, time.Now()})
	p.mu.Unlock()
	return &backend.Answer{Status: http.StatusOK, Header: http.Header{simProtocol.Signature: {"s"}}}, nil
}

// HasIdle implements dispatch.ConnectionPool.
func (p recordingPool) HasIdle() bool { return true }

// Close implements dispatch.ConnectionPool.
func (p recordingPool) Close() {}

// lateTo returns how many requests were written to a backend server later than bound after it was known to leave.
func (v *slowVM) lateTo(bound time.Duration) (count int) {
	v.mu.Lock()
	defer v.mu.Unlock()
	for _, r := range v.sent {
		if known, isLeaving := v.leaving[r.server]; isLeaving && r.at.Sub(known) > bound {
			count++
		}
	}
	return count
}

// drainBound is how long after its leaving is known a backend server may still get requests, on the users' strictest deployments.
const drainBound = 2 * time.Second

// slowVM is a VM that takes choiceTime for each choice of a backend server, and its backend servers.
type slowVM struct {
	*sendRecorder
	*dispatch.Dispatcher
	config *route.Config
	list   []roster.Server
	// leaving holds when the news that a backend server leaves came to the VM.
	leaving map[string]time.Time
}

func newSlowVM(choiceTime, connectTime time.Duration) *slowVM {
	v := &slowVM{sendRecorder: &sendRecorder{connectTime: connectTime}, leaving: map[string]time.Time{}}
	v.config = &route.Config{Version: 1, Services: []route.Service{{Name: simService}}, Routes: []route.Route{{
		Host: "h", Prefix: "/", Kind: route.NonIdempotent, Timeout: 10 * time.Second, TargetLatency: time.Second, MaxAttempts: 2,
		Shares: []route.Share{{Service: simService, Weight: 1}},
	}}}
	for n := range 20 {
		v.list = append(v.list, roster.Server{ID: fmt.Sprintf("i-%d", n), Service: simService, Zone: "a", Slots: 1000})
	}
	v.Dispatcher = dispatch.New(dispatch.Options{
		Zone: "a", Region: "r", Regions: map[string]string{"a": "r"}, Protocol: simProtocol, Log: zerolog.Nop(),
		Connect: func(to roster.Server, _ int) dispatch.ConnectionPool { return recordingPool{v.sendRecorder, to.ID} },
		Serves: func(string) bool {
			time.Sleep(choiceTime)
			return true
		},
		ShareEvidence: func(dispatch.Evidence) {}, ShareCrash: func(poison.Crash) {},
		RetryWindow: time.Second, RetryAllowance: func(string) float64 { return 1000 },
	})
	v.update()
	return v
}

// update passes the list of backend servers to the dispatcher.
func (v *slowVM) update() { v.Update(map[string][]roster.Server{simService: v.list}, v.config) }

// drain passes on the news, which came at the given time, that some backend servers leave.
func (v *slowVM) drain(servers []roster.Server, known time.Time) {
	for _, s := range servers {
		v.leaving[s.ID] = known
	}
	v.list = slices.Clone(v.list)
	for i := range v.list {
		_, v.list[i].IsDraining = v.leaving[v.list[i].ID]
	}
	v.update()
}

// request returns a request that the VM reads now, with a deadline after the given time.
func (v *slowVM) request(id string, timeout time.Duration) *dispatch.Request {
	now := time.Now()
	return &dispatch.Request{
		ID: id, Method: http.MethodPost, URI: "/", Host: "h", Header: http.Header{}, Service: simService,
		Target: route.NewTable(v.config, nil).Find("h", "/"), Arrival: now, CallerDeadline: now.Add(timeout),
	}
}

// TestNewsOfLeavingPassesWaitingRequests guards against requests that a VM short of processor time sends to backend servers which
// have said that they leave (DRAIN): the news must not stand in the queue in which the requests wait for their choice.
func TestNewsOfLeavingPassesWaitingRequests(t *testing.T) {
	c := qt.New(t)
	const requests, choiceTime, newsInterval = 1000, 5 * time.Millisecond, 100 * time.Millisecond
	v := newSlowVM(choiceTime, 0)
	var wait sync.WaitGroup
	for n := range requests {
		wait.Go(func() { v.Do(t.Context(), v.request(fmt.Sprint(n), 10*time.Second)) })
	}
	began, latest := time.Now(), time.Duration(0)
	for n := range 5 {
		known := began.Add(time.Duration(n+1) * newsInterval)
		time.Sleep(time.Until(known))
		v.drain(v.list[3*n:3*n+3], known)
		latest = max(latest, time.Since(known))
	}
	wait.Wait()
	c.Check(v.lateTo(drainBound), qt.Equals, 0)
	c.Check(latest < drainBound, qt.IsTrue, qt.Commentf("news was in force after %v", latest))
}

// TestNothingIsSentToAServerThatIsKnownToLeave guards against requests that are sent to a backend server which has said that it
// leaves, or is gone, while they waited for a connection to it: the choice is old by then.
func TestNothingIsSentToAServerThatIsKnownToLeave(t *testing.T) {
	tests := map[string]func(v *slowVM){
		"draining": func(v *slowVM) { v.drain(v.list[:15], time.Now()) },
		"gone": func(v *slowVM) {
			gone := v.list[:15]
			v.list = v.list[15:]
			v.update()
			for _, s := range gone {
				v.leaving[s.ID] = time.Now()
			}
		},
		"said so itself": func(v *slowVM) {
			for _, s := range v.list[:15] {
				v.ReceiveHealthTransition(dispatch.Evidence{Service: simService, Server: s.ID, Statement: dispatch.Statement{IsLeaving: true}})
				v.leaving[s.ID] = time.Now()
			}
		},
	}
	for name, leave := range tests {
		t.Run(name, func(t *testing.T) {
			const requests, connectTime = 100, 200 * time.Millisecond
			v := newSlowVM(0, connectTime)
			var wait sync.WaitGroup
			var answered atomic.Int32
			for n := range requests {
				wait.Go(func() {
					if v.Do(t.Context(), v.request(fmt.Sprint(n), 10*time.Second)).Outcome == dispatch.Answered {
						answered.Add(1)
					}
				})
			}
			time.Sleep(connectTime / 4)
			leave(v)
			wait.Wait()
			qt.Check(t, v.lateTo(connectTime/4), qt.Equals, 0)
			// The others take the requests.
			qt.Check(t, answered.Load(), qt.Equals, int32(requests))
		})
	}
}

// TestNothingIsSentByASupersededConfiguration guards against requests that run at a service to which the configuration in force does
// not let them go, because it came while they waited for a connection (CONFIG).
func TestNothingIsSentByASupersededConfiguration(t *testing.T) {
	c := qt.New(t)
	v := newSlowVM(0, 50*time.Millisecond)
	r := v.request("1", time.Second)
	asked := 0
	r.IsStillAllowed = func() bool {
		asked++
		return false
	}
	result := v.Do(t.Context(), r)
	c.Check(result.Outcome, qt.Equals, dispatch.NotRun)
	c.Check(result.IsSuperseded, qt.IsTrue)
	c.Check(v.sent, qt.HasLen, 0)
	c.Check(asked, qt.Equals, 1)
}

// TestNothingIsSentThatHasBeenBlockedMeanwhile guards against requests that crash a further backend server because the news of their
// crashes came while they waited for a connection (BUDGET).
func TestNothingIsSentThatHasBeenBlockedMeanwhile(t *testing.T) {
	c := qt.New(t)
	const connectTime = 100 * time.Millisecond
	v := newSlowVM(0, connectTime)
	r := v.request("1", time.Second)
	time.AfterFunc(connectTime/2, func() {
		for _, server := range []string{"i-1", "i-2"} {
			v.ReceiveCrash(poison.Crash{Fingerprint: poison.FingerprintOf(r.Organisation, r.Method, r.Host+r.URI, r.Body), Server: server})
		}
	})
	result := v.Do(t.Context(), r)
	c.Check(result.Outcome, qt.Equals, dispatch.NotRun)
	c.Check(result.RetryAfter > time.Second, qt.IsTrue)
	c.Check(v.sent, qt.HasLen, 0)
}

// TestRequestsAreNotSentAfterTheirDeadline guards against requests that are sent to a backend server after their deadline, or with
// next to no time, because the clock was read before the wait for their choice.
func TestRequestsAreNotSentAfterTheirDeadline(t *testing.T) {
	c := qt.New(t)
	const requests, choiceTime, timeout = 400, 5 * time.Millisecond, 500 * time.Millisecond
	v := newSlowVM(choiceTime, 0)
	var wait sync.WaitGroup
	began := time.Now()
	for n := range requests {
		wait.Go(func() { v.Do(context.Background(), v.request(fmt.Sprint(n), timeout)) })
	}
	wait.Wait()
	v.mu.Lock()
	defer v.mu.Unlock()
	late := 0
	for _, r := range v.sent {
		if r.at.Sub(began) > timeout+10*time.Millisecond {
			late++
		}
	}
	c.Check(late, qt.Equals, 0, qt.Commentf("of %d", len(v.sent)))
	c.Check(len(v.sent) > 0, qt.IsTrue)
}
