package trial

import (
	"container/heap"
	"fmt"
	"math"
	"math/rand/v2"
	"time"

	"github.com/primroseladder/primroseladder/internal/catalogue"
	"github.com/primroseladder/primroseladder/internal/health"
)

const (
	// zoneCount is the number of availability zones.
	zoneCount = 2
	// refusalTime is how long a refused connection takes.
	refusalTime = time.Millisecond
	// networkTime is the round-trip time to a backend server.
	networkTime = 2 * time.Millisecond
	// maxAttempts bounds the attempts of a request.
	maxAttempts = 3
	// maxSheds bounds how often a request is shed.
	maxSheds = 8
)

// event is a function that is called at a point in virtual time.
type event struct {
	at     time.Duration
	number uint64
	do     func()
}

type eventQueue []event

func (q eventQueue) Len() int { return len(q) }
func (q eventQueue) Less(i, j int) bool {
	return q[i].at < q[j].at || (q[i].at == q[j].at && q[i].number < q[j].number)
}
func (q eventQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *eventQueue) Push(x any)   { *q = append(*q, x.(event)) }
func (q *eventQueue) Pop() any {
	last := len(*q) - 1
	e := (*q)[last]
	*q = (*q)[:last]
	return e
}

// simulation is the state of a run.
type simulation struct {
	config Config
	// Arrivals and service times have separate random sources, so that all policies see the same requests for a seed.
	arrivals, service, choice, network *rand.Rand
	now                                time.Duration
	start                              time.Time
	queue                              eventQueue
	eventCount                         uint64
	servers                            []*server
	entries                            []*entry
	result                             Result
	recorder                           recorder
}

type server struct {
	name      string
	index     int
	unhealthy bool
	running   int
}

type entry struct {
	index    int
	ejector  ejector
	inFlight []int
	// sent counts the opinions sent in the second sentSecond.
	sent       int
	sentSecond int64
}

// Run simulates one configuration.
func Run(c Config) Result {
	s := &simulation{
		config: c, start: time.Unix(1_800_000_000, 0), arrivals: source(c.Seed, 1), service: source(c.Seed, 2),
		choice: source(c.Seed, 3), network: source(c.Seed, 4),
		result: Result{Policy: c.Policy, Fault: c.Fault, Seed: c.Seed, DetectionMS: -1, LastWorkMS: -1, ReturnMS: -1},
	}
	for i := range c.Servers {
		s.servers = append(s.servers, &server{name: fmt.Sprintf("deposits-%02d", i), index: i, unhealthy: i < c.UnhealthyServers})
	}
	for i := range c.Entries {
		e := &entry{index: i, inFlight: make([]int, c.Servers)}
		e.ejector = s.newEjector(e)
		s.entries = append(s.entries, e)
	}
	s.at(0, s.tick)
	s.at(s.nextArrival(), s.arrive)
	for len(s.queue) > 0 {
		e := heap.Pop(&s.queue).(event)
		s.now = e.at
		e.do()
	}
	s.finish()
	return s.result
}

func source(seed, stream uint64) *rand.Rand { return rand.New(rand.NewPCG(seed, stream)) }

func (s *simulation) wallClock() time.Time { return s.start.Add(s.now) }

// at schedules a function after a delay.
func (s *simulation) at(delay time.Duration, do func()) {
	s.eventCount++
	heap.Push(&s.queue, event{s.now + delay, s.eventCount, do})
}

func (s *simulation) newEjector(e *entry) ejector {
	self := health.Observer{VM: fmt.Sprintf("entry-%d", e.index), Zone: fmt.Sprintf("perth-%d", e.index%zoneCount)}
	hooks := health.Hooks{
		ShareOpinion: func(o health.Opinion) { s.sendOpinion(e, o) },
		Verify:       func(backend string) { s.verify(e, backend) },
	}
	switch s.config.Policy {
	case PolicyQuick:
		return newBoardEjector(self, catalogue.DetectionQuick, s, hooks)
	case PolicyCareful:
		return newBoardEjector(self, catalogue.DetectionCareful, s, hooks)
	case PolicyConsecutive:
		return newLocalEjector(s, false)
	case PolicySuccessRate:
		return newLocalEjector(s, true)
	default:
		return noEjector{}
	}
}

func (s *simulation) sendOpinion(from *entry, o health.Opinion) {
	second := int64(s.now / time.Second)
	if second != from.sentSecond {
		from.sent, from.sentSecond = 0, second
	}
	for _, to := range s.entries {
		if to == from {
			continue
		}
		s.result.Opinions++
		from.sent++
		delay := s.config.MinDelay + time.Duration(s.network.Int64N(int64(s.config.MaxDelay-s.config.MinDelay)+1))
		s.at(delay, func() { to.ejector.(*boardEjector).board.ReceiveOpinion(o) })
	}
	s.result.MaxOpinionsPerSecond = max(s.result.MaxOpinionsPerSecond, from.sent)
}

func (s *simulation) verify(e *entry, backend string) {
	s.at(refusalTime, func() {
		reachable := s.isReachable(e, s.serverOf(backend))
		e.ejector.(*boardEjector).board.RecordVerification(backend, reachable)
	})
}

func (s *simulation) serverOf(name string) *server {
	for _, server := range s.servers {
		if server.name == name {
			return server
		}
	}
	return nil
}

func (s *simulation) tick() {
	for _, e := range s.entries {
		e.ejector.tick()
	}
	s.recorder.observe(s)
	if s.now < s.config.Duration {
		s.at(health.TickInterval, s.tick)
	}
}

func (s *simulation) nextArrival() time.Duration {
	return time.Duration(s.arrivals.ExpFloat64() / s.config.Rate * float64(time.Second))
}

func (s *simulation) arrive() {
	if s.now >= s.config.Duration {
		return
	}
	s.at(s.nextArrival(), s.arrive)
	s.result.Requests++
	r := &request{
		entry: s.entries[s.arrivals.IntN(len(s.entries))], deadline: s.now + s.config.Timeout,
		idempotent: s.arrivals.Float64() < s.config.IdempotentShare,
	}
	s.dispatch(r)
}

// serviceTime draws from a lognormal distribution.
func (s *simulation) serviceTime() time.Duration {
	return time.Duration(float64(s.config.ServiceTime) * math.Exp(s.config.Spread*s.service.NormFloat64()))
}
