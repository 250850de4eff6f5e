package dispatch_test

import (
	"context"
	"fmt"
	"math"
	"math/rand/v2"
	"net/http"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/rs/zerolog"

	"github.com/primroseladder/primroseladder/internal/backend"
	"github.com/primroseladder/primroseladder/internal/dispatch"
	"github.com/primroseladder/primroseladder/internal/poison"
	"github.com/primroseladder/primroseladder/internal/roster"
	"github.com/primroseladder/primroseladder/internal/route"
)

// workKind is a kind of request. Its durations are log-normal, but one in 33 takes rareFactor times as long.
type workKind struct {
	name       string
	mean       time.Duration
	spread     float64
	rareFactor float64
	perSecond  float64
	target     time.Duration
}

// workFleet is six VMs, which hear of each other's requests after some milliseconds, before backend servers that run two requests at a time,
// queue eight more and refuse any further one.
type workFleet struct {
	vms     []*dispatch.Dispatcher
	targets []*route.Target

	mu      sync.Mutex
	random  *rand.Rand
	servers map[string]*workServer
	// took holds the durations of the answered requests, by kind.
	took [][]time.Duration
	// ran holds how long each answered request ran in its slot.
	ran    [][]time.Duration
	failed int
}

// workServer limits by places the running and the waiting requests, and by slots the running ones.
type workServer struct{ places, slots chan struct{} }

func newWorkFleet(tb testing.TB, kinds []workKind, servers int) *workFleet {
	f := &workFleet{
		random: rand.New(rand.NewPCG(5, 6)), servers: map[string]*workServer{},
		took: make([][]time.Duration, len(kinds)), ran: make([][]time.Duration, len(kinds)),
	}
	config := &route.Config{Version: 1, Services: []route.Service{{Name: simService}}}
	for _, k := range kinds {
		config.Routes = append(config.Routes, route.Route{
			Name: k.name, Host: "h", Prefix: "/" + k.name + "/", Timeout: 4 * time.Second, TargetLatency: k.target, MaxAttempts: 2,
			Shares: []route.Share{{Service: simService, Weight: 1}},
		})
	}
	qt.Assert(tb, config.Validate(), qt.IsNil)
	table := route.NewTable(config, nil)
	for _, k := range kinds {
		f.targets = append(f.targets, table.Find("h", "/"+k.name+"/"))
	}
	list := map[string][]roster.Server{}
	zones := []string{"a", "b"}
	for i := range servers {
		id := fmt.Sprint("s", i)
		f.servers[id] = &workServer{places: make(chan struct{}, 10), slots: make(chan struct{}, 2)}
		list[simService] = append(list[simService], roster.Server{ID: id, Service: simService, Slots: 2, Zone: zones[i%2]})
	}
	for i := range 6 {
		f.vms = append(f.vms, dispatch.New(dispatch.Options{
			Zone: zones[i%2], Region: "r", Regions: map[string]string{"a": "r", "b": "r"}, Protocol: simProtocol, Log: zerolog.Nop(),
			Connect:       func(to roster.Server, _ int) dispatch.ConnectionPool { return f.servers[to.ID] },
			ShareEvidence: func(e dispatch.Evidence) { f.share(i, e) },
			ShareCrash:    func(poison.Crash) {},
			RetryRatio:    0.2, RetryWindow: 10 * time.Second, RetryAllowance: func(string) float64 { return 9 },
		}))
		f.vms[i].Update(list, config)
	}
	return f
}

func (f *workFleet) float() float64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.random.Float64()
}

func (f *workFleet) share(from int, e dispatch.Evidence) {
	for i, vm := range f.vms {
		if i != from {
			time.AfterFunc(time.Duration(1+5*f.float())*time.Millisecond, func() { vm.ReceiveEvidence(fmt.Sprint(from), e) })
		}
	}
}

// duration draws how long a request of a kind runs.
func (f *workFleet) duration(k workKind) time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	factor := math.Exp(k.spread*f.random.NormFloat64() - k.spread*k.spread/2)
	if f.random.Float64() < 0.03 {
		factor = k.rareFactor
	}
	return time.Duration(factor * float64(k.mean))
}

// load sends requests of all kinds for a time and waits until all have ended.
func (f *workFleet) load(kinds []workKind, length time.Duration) {
	var wait sync.WaitGroup
	for i, k := range kinds {
		wait.Go(func() {
			for end := time.Now().Add(length); time.Now().Before(end); {
				time.Sleep(time.Duration(-math.Log(1-f.float()) / k.perSecond * float64(time.Second)))
				wait.Go(func() { f.send(i, k) })
			}
		})
	}
	wait.Wait()
}

func (f *workFleet) send(i int, k workKind) {
	vm, runs, start := f.vms[int(f.float()*float64(len(f.vms)))], f.duration(k), time.Now()
	result := vm.Do(context.Background(), &dispatch.Request{
		ID: "1", Method: http.MethodPost, URI: "/" + k.name + "/" + fmt.Sprint(f.float()), Host: "h", Header: http.Header{"Runs": {runs.String()}},
		Target: f.targets[i], Service: simService, Arrival: start,
	})
	f.mu.Lock()
	defer f.mu.Unlock()
	if result.Outcome != dispatch.Answered {
		f.failed++
		return
	}
	f.took[i], f.ran[i] = append(f.took[i], time.Since(start)), append(f.ran[i], runs)
}

func (s *workServer) Do(ctx context.Context, r *backend.Request) (*backend.Answer, error) {
	header := http.Header{simProtocol.RequestID: {r.ID}, simProtocol.Signature: {"s"}}
	select {
	case s.places <- struct{}{}:
		defer func() { <-s.places }()
	default:
		header.Set(simProtocol.NotExecuted, "1")
		return &backend.Answer{Status: http.StatusServiceUnavailable, Header: header}, nil
	}
	s.slots <- struct{}{}
	defer func() { <-s.slots }()
	runs, _ := time.ParseDuration(r.Header.Get("Runs"))
	time.Sleep(runs)
	return &backend.Answer{Status: http.StatusOK, Header: header}, nil
}

func (s *workServer) HasIdle() bool { return true }
func (s *workServer) Close()        {}

// waitedTooLong returns the share of a kind's answers that were late though the request itself ran for less than the target.
func (f *workFleet) waitedTooLong(i int, k workKind) float64 {
	late := 0
	for n, took := range f.took[i] {
		if took > k.target && f.ran[i][n] <= k.target {
			late++
		}
	}
	return float64(late) / float64(len(f.took[i]))
}

// TestUnevenWork checks that few answers are late because of the requests before them, under loads in which the number of open
// requests says little about the work that a backend server has left.
func TestUnevenWork(t *testing.T) {
	const ms = time.Millisecond
	for _, load := range []struct {
		name    string
		servers int
		kinds   []workKind
	}{
		{"kinds of very different cost share servers", 16, []workKind{
			{"tile", 180 * ms, 0.8, 7, 60, 600 * ms}, {"charge", 94 * ms, 0.3, 7, 70, 400 * ms}, {"frame", 53 * ms, 0.3, 7, 55, 300 * ms},
		}},
		{"one in 33 takes seven times as long", 12, []workKind{{"charge", 94 * ms, 0.3, 7, 160, 400 * ms}}},
		{"two kinds on one service", 15, []workKind{
			{"upload", 200 * ms, 0.3, 3, 45, 700 * ms}, {"lookup", 650 * ms, 0.5, 5, 18, 2000 * ms},
		}},
	} {
		t.Run(load.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newWorkFleet(t, load.kinds, load.servers)
				f.load(load.kinds, 120*time.Second)
				qt.Check(t, f.failed, qt.Equals, 0)
				for i, k := range load.kinds {
					late, took := f.waitedTooLong(i, k), slices.Sorted(slices.Values(f.took[i]))
					t.Logf("%s: %.4f late, p50 %v p90 %v p99 %v", k.name, late, took[len(took)/2], took[len(took)*9/10], took[len(took)*99/100])
					qt.Check(t, late < 0.01, qt.IsTrue, qt.Commentf("%s: %.4f of the answers waited too long", k.name, late))
				}
			})
		})
	}
}
