// Package trial simulates how several entries pick backend servers with few slots, to compare placement policies. It is a
// seeded discrete-event simulation of queueing in virtual time: each entry is aware only of its own outstanding requests, a
// full backend server sheds, and the entry retries elsewhere. It runs no part of the production code.
package trial

import (
	"container/heap"
	"math/rand/v2"
	"slices"
	"time"
)

// Choice is the policy by which an entry picks one of the backend servers that it expects to have a free slot.
type Choice string

// The placement policies.
const (
	ChoiceRandom Choice = "random"
	ChoiceOfTwo  Choice = "less of two"
	ChoiceLeast  Choice = "least outstanding"
)

const (
	// shedCost is the time until an entry receives the answer of a full backend server.
	shedCost = 2 * time.Millisecond
	// warmUpDivisor sets the warm-up: the first 1/warmUpDivisor of the waiting times is not evaluated.
	warmUpDivisor = 10
	// minPauseDivisor and pauseJitterDivisor set the pause after a shed request: 1/minPauseDivisor of the service time,
	// plus a random part of up to 1/pauseJitterDivisor of it.
	minPauseDivisor, pauseJitterDivisor = 4, 2
)

// Config holds the parameters of one simulation run.
type Config struct {
	Entries        int
	BackendServers int
	// Slots is the number of slots of each backend server.
	Slots int
	// ServiceTime is the mean service time. Each request takes between 0.5 and 1.5 times as long.
	ServiceTime time.Duration
	// Load is the arrival rate as a fraction of the capacity of all slots.
	Load     float64
	Choice   Choice
	Requests int
	Seed     uint64
}

// Result holds the measurements of a simulation run.
type Result struct {
	// ShedsPerRequest is the mean number of attempts on a full backend server for each request.
	ShedsPerRequest float64
	// WaitP50 and WaitP99 are percentiles of the time from a request's arrival until it gets a slot.
	WaitP50 time.Duration
	WaitP99 time.Duration
}

// Run runs the simulation. The same configuration always gives the same result.
func Run(c Config) Result {
	s := newSimulation(c)
	for s.events.Len() > 0 {
		e := heap.Pop(&s.events).(event)
		s.now = e.at
		e.run()
	}
	waits := s.waits[len(s.waits)/warmUpDivisor:]
	slices.Sort(waits)
	return Result{
		ShedsPerRequest: float64(s.sheds) / float64(c.Requests), WaitP50: waits[len(waits)/2], WaitP99: waits[len(waits)*99/100],
	}
}

// event runs a function at a point in virtual time. Events at the same time run in the order of their numbers.
type event struct {
	at     time.Duration
	number int
	run    func()
}

// events is a heap of events, the earliest first.
type events []event

func (e events) Len() int { return len(e) }

func (e events) Less(i, j int) bool {
	return e[i].at < e[j].at || (e[i].at == e[j].at && e[i].number < e[j].number)
}

func (e events) Swap(i, j int) { e[i], e[j] = e[j], e[i] }

func (e *events) Push(x any) { *e = append(*e, x.(event)) }

func (e *events) Pop() any {
	last := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return last
}

type simulation struct {
	config     Config
	random     *rand.Rand
	now        time.Duration
	events     events
	eventCount int
	// busy is the number of occupied slots of each backend server.
	busy    []int
	entries []*entryState
	sheds   int
	waits   []time.Duration
}

// entryState is the state of one entry VM.
type entryState struct {
	servers []serverState
	// waiting holds the arrival times of the queued requests.
	waiting []time.Duration
}

// serverState is the state that an entry keeps of one backend server.
type serverState struct {
	inFlight         int
	concurrencyLimit float64
	pausedUntil      time.Duration
}

func newSimulation(c Config) *simulation {
	s := &simulation{config: c, random: rand.New(rand.NewPCG(c.Seed, 0)), busy: make([]int, c.BackendServers)}
	for range c.Entries {
		e := &entryState{servers: make([]serverState, c.BackendServers)}
		for i := range e.servers {
			e.servers[i].concurrencyLimit = float64(c.Slots)
		}
		s.entries = append(s.entries, e)
	}
	capacity := float64(c.BackendServers*c.Slots) / c.ServiceTime.Seconds()
	at := 0.0
	for range c.Requests {
		at += s.random.ExpFloat64() / (c.Load * capacity)
		arrival := time.Duration(at * float64(time.Second))
		to := s.entries[s.random.IntN(c.Entries)]
		s.schedule(arrival, func() {
			to.waiting = append(to.waiting, arrival)
			s.dispatch(to)
		})
	}
	return s
}

func (s *simulation) schedule(at time.Duration, run func()) {
	s.eventCount++
	heap.Push(&s.events, event{at, s.eventCount, run})
}

// dispatch sends waiting requests as long as the entry expects a free slot.
func (s *simulation) dispatch(e *entryState) {
	for len(e.waiting) > 0 {
		chosen := s.pick(e)
		if chosen < 0 {
			return
		}
		arrival := e.waiting[0]
		e.waiting = e.waiting[1:]
		s.attempt(e, chosen, arrival)
	}
}

// pick returns the index of a backend server with an expected free slot by the policy of the configuration, or -1.
func (s *simulation) pick(e *entryState) int {
	var free []int
	for i := range e.servers {
		state := &e.servers[i]
		if state.inFlight < int(state.concurrencyLimit) && s.now >= state.pausedUntil {
			free = append(free, i)
		}
	}
	if len(free) == 0 {
		return -1
	}
	switch s.config.Choice {
	case ChoiceRandom:
		return free[s.random.IntN(len(free))]
	case ChoiceOfTwo:
		a, b := free[s.random.IntN(len(free))], free[s.random.IntN(len(free))]
		if e.servers[b].inFlight < e.servers[a].inFlight {
			return b
		}
		return a
	default:
		s.random.Shuffle(len(free), func(i, j int) { free[i], free[j] = free[j], free[i] })
		return slices.MinFunc(free, func(a, b int) int { return e.servers[a].inFlight - e.servers[b].inFlight })
	}
}

// attempt runs a request on the chosen backend server, or sheds it if all slots are busy.
func (s *simulation) attempt(e *entryState, chosen int, arrival time.Duration) {
	state := &e.servers[chosen]
	state.inFlight++
	if s.busy[chosen] >= s.config.Slots {
		s.sheds++
		s.schedule(s.now+shedCost, func() { s.shed(e, chosen, arrival) })
		return
	}
	s.busy[chosen]++
	s.waits = append(s.waits, s.now-arrival)
	took := s.config.ServiceTime/2 + time.Duration(s.random.Int64N(int64(s.config.ServiceTime)))
	s.schedule(s.now+took, func() {
		s.busy[chosen]--
		state.inFlight--
		state.concurrencyLimit = min(state.concurrencyLimit+1/state.concurrencyLimit, float64(s.config.Slots))
		s.dispatch(e)
	})
}

// shed halves the entry's concurrency limit for the backend server and pauses it, so that other entries get slots. The
// request goes back to the head of the entry's queue.
func (s *simulation) shed(e *entryState, chosen int, arrival time.Duration) {
	state := &e.servers[chosen]
	state.inFlight--
	state.concurrencyLimit = max(1, state.concurrencyLimit/2)
	pause := s.config.ServiceTime/minPauseDivisor + time.Duration(s.random.Int64N(int64(s.config.ServiceTime/pauseJitterDivisor)))
	state.pausedUntil = s.now + pause
	s.schedule(state.pausedUntil, func() { s.dispatch(e) })
	e.waiting = slices.Insert(e.waiting, 0, arrival)
	s.dispatch(e)
}
