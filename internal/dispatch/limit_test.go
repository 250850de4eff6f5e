package dispatch_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"strconv"
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

// limitedServer is a backend server that names a limit while limit is above 0. It answers after work.
type limitedServer struct {
	work time.Duration

	mu      sync.Mutex
	limit   float64
	arrived []time.Time
}

// Do implements dispatch.ConnectionPool.
func (s *limitedServer) Do(context.Context, *backend.Request) (*backend.Answer, error) {
	s.mu.Lock()
	s.arrived = append(s.arrived, time.Now())
	s.mu.Unlock()
	time.Sleep(s.work)
	header := http.Header{simProtocol.Signature: {"s"}}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.limit > 0 {
		header.Set(simProtocol.Limit, strconv.FormatFloat(s.limit, 'f', -1, 64))
	}
	return &backend.Answer{Status: http.StatusOK, Header: header}, nil
}

// HasIdle implements dispatch.ConnectionPool.
func (s *limitedServer) HasIdle() bool { return true }

// Close implements dispatch.ConnectionPool.
func (s *limitedServer) Close() {}

func (s *limitedServer) setLimit(perSecond float64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.limit = perSecond
}

// between returns how many requests arrived from a time on, within a length of time.
func (s *limitedServer) between(from time.Time, length time.Duration) int {
	n := 0
	for _, at := range s.arrived {
		if !at.Before(from) && at.Before(from.Add(length)) {
			n++
		}
	}
	return n
}

// limitFleet is a group of VMs that serve one service and tell each other of their requests, with a delay and some loss.
type limitFleet struct {
	vms     []*dispatch.Dispatcher
	servers map[string]*limitedServer
	target  *route.Target

	mu     sync.Mutex
	random *rand.Rand
	served int
}

const (
	// evidenceLoss is the share of datagrams that are lost, and maxEvidenceDelay the longest delay of the others.
	evidenceLoss     = 0.02
	maxEvidenceDelay = 6 * time.Millisecond
)

// newLimitFleet returns n VMs and backend servers of one zone. serves tells which VMs serve the service.
func newLimitFleet(n int, servers map[string]*limitedServer, serves func(vm int) bool, seed uint64) *limitFleet {
	f := &limitFleet{servers: servers, random: rand.New(rand.NewPCG(seed, 9)), target: newSim(nil, 0, route.NonIdempotent, false).target}
	var list []roster.Server
	for id := range servers {
		list = append(list, roster.Server{ID: id, Service: simService, Zone: "a", Slots: 400, Incarnation: 1})
	}
	for vm := range n {
		f.vms = append(f.vms, dispatch.New(dispatch.Options{
			Zone: "a", Region: "r", Regions: map[string]string{"a": "r"}, Protocol: simProtocol, Log: zerolog.Nop(),
			Connect:       func(to roster.Server, _ int) dispatch.ConnectionPool { return servers[to.ID] },
			ShareEvidence: func(e dispatch.Evidence) { f.share(vm, e) },
			ShareCrash:    func(poison.Crash) {}, RetryAllowance: func(string) float64 { return 0 },
			Serves: func(string) bool { return serves(vm) },
		}))
	}
	for _, vm := range f.vms {
		vm.Update(map[string][]roster.Server{simService: list}, nil)
	}
	return f
}

// share passes evidence on to all other VMs.
func (f *limitFleet) share(from int, e dispatch.Evidence) {
	for to, vm := range f.vms {
		delay, isLost := f.draw()
		if to != from && !isLost {
			time.AfterFunc(delay, func() { vm.ReceiveEvidence(fmt.Sprint(from), e) })
		}
	}
}

func (f *limitFleet) draw() (delay time.Duration, isLost bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return time.Duration(f.random.Int64N(int64(maxEvidenceDelay))), f.random.Float64() < evidenceLoss
}

// load sends requests to random VMs for a time.
func (f *limitFleet) load(perSecond float64, length time.Duration) {
	var wait sync.WaitGroup
	for end := time.Now().Add(length); time.Now().Before(end); {
		f.mu.Lock()
		pause, vm := time.Duration(f.random.ExpFloat64()/perSecond*float64(time.Second)), f.random.IntN(len(f.vms))
		f.mu.Unlock()
		time.Sleep(pause)
		wait.Go(func() { f.send(vm) })
	}
	wait.Wait()
}

func (f *limitFleet) send(vm int) {
	result := f.vms[vm].Do(context.Background(), &dispatch.Request{
		Header: http.Header{}, Target: f.target, Service: simService, Arrival: time.Now(),
	})
	f.mu.Lock()
	defer f.mu.Unlock()
	if result.Outcome == dispatch.Answered {
		f.served++
	}
}

func everyVM(int) bool { return true }

// TestSharedLimit guards against VMs that together exceed the limit that a backend server names, and against VMs that leave
// most of it unused, with evidence that is late or lost.
func TestSharedLimit(t *testing.T) {
	const (
		contact = 3 * time.Second
		window  = 4 * time.Second
		// minUsedShare is the share of the limit that should be used over the whole time.
		minUsedShare = 0.8
		// maxSimulated bounds the product of VMs and limit, which the time of a run grows with.
		maxSimulated = 6000
	)
	for _, vms := range []int{4, 12, 40, 104, 444} {
		for _, limit := range []float64{0.25, 1, 7.5, 60, 500} {
			if float64(vms)*limit > maxSimulated {
				continue
			}
			for seed := range seedsFor(vms) {
				t.Run(fmt.Sprintf("vms=%d/limit=%v/seed=%d", vms, limit, seed), func(t *testing.T) {
					synctest.Test(t, func(t *testing.T) {
						limited := &limitedServer{work: 100 * time.Millisecond, limit: limit}
						f := newLimitFleet(vms, map[string]*limitedServer{"i-1": limited}, everyVM, seed)
						began := time.Now()
						length := max(10*time.Second, time.Duration(20/limit)*time.Second)
						f.load(max(20, 3*limit), contact+length)
						for from := began.Add(contact); from.Before(began.Add(contact + length - window)); from = from.Add(window / 16) {
							n := float64(limited.between(from, window))
							qt.Check(t, n <= 1.5*limit*window.Seconds()+5, qt.IsTrue, qt.Commentf("%v requests from %v on", n, from.Sub(began)))
						}
						used := float64(limited.between(began.Add(contact), length)) / (limit * length.Seconds())
						t.Logf("%.2f of the limit is used", used)
						qt.Check(t, used >= minUsedShare, qt.IsTrue, qt.Commentf("%.2f of the limit is used", used))
					})
				})
			}
		}
	}
}

// seedsFor returns how many seeds are run at a size. Large fleets take seconds each.
func seedsFor(vms int) uint64 {
	if vms > 40 {
		return 1
	}
	return 3
}

// TestLimitEndsForAllVMs checks that a backend server gets the usual requests again soon after it has stopped naming a limit.
func TestLimitEndsForAllVMs(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		limited := &limitedServer{work: 50 * time.Millisecond, limit: 1}
		f := newLimitFleet(6, map[string]*limitedServer{"i-1": limited}, everyVM, 1)
		f.load(30, 5*time.Second)
		limited.setLimit(0)
		f.load(30, 3*time.Second)
		since := time.Now()
		f.load(30, 2*time.Second)
		qt.Check(t, limited.between(since, 2*time.Second) >= 40, qt.IsTrue, qt.Commentf("%d", limited.between(since, 2*time.Second)))
	})
}

// TestVMOutsideTheGroupLeavesALimitedServerAlone guards against a VM that does not hear of the requests of others and sends a
// limited backend server its own on top of theirs.
func TestVMOutsideTheGroupLeavesALimitedServerAlone(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		limited := &limitedServer{work: 50 * time.Millisecond, limit: 1}
		f := newLimitFleet(2, map[string]*limitedServer{"i-1": limited}, func(vm int) bool { return vm == 0 }, 1)
		f.send(0)
		time.Sleep(time.Minute)
		f.send(1)
		qt.Check(t, limited.arrived, qt.HasLen, 1)
		f.send(0)
		qt.Check(t, limited.arrived, qt.HasLen, 2)
	})
}

// TestRefusalNamesWhenALimitedServerTakesARequest checks the Retry-After of a request for which all backend servers have
// reached their limits.
func TestRefusalNamesWhenALimitedServerTakesARequest(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		limited := &limitedServer{work: time.Millisecond, limit: 0.5}
		f := newLimitFleet(1, map[string]*limitedServer{"i-1": limited}, everyVM, 1)
		f.send(0)
		result := f.vms[0].Do(context.Background(), &dispatch.Request{
			Header: http.Header{}, Target: f.target, Service: simService, Arrival: time.Now(),
		})
		qt.Check(t, result.Outcome, qt.Equals, dispatch.NotRun)
		qt.Check(t, result.RetryAfter > time.Second && result.RetryAfter <= 2*time.Second, qt.IsTrue, qt.Commentf("%v", result.RetryAfter))
	})
}
