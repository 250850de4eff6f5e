package capacity

import (
	"container/heap"
	"math/rand/v2"
	"slices"
	"time"
)

// SpreadPlan describes how a change spreads from the keepers that watch the store to all others of a region.
type SpreadPlan struct {
	Keepers  int
	Watchers int
	// FanOut is the number of random keepers to which a keeper announces a change that it has adopted.
	FanOut int
	// Hop is the time between the adoption by one keeper and by the next: announcement, pull and answer.
	Hop time.Duration
	// RepairInterval is the time between two comparisons of a keeper with a random one.
	RepairInterval time.Duration
	// LossPercent is the percentage of announcements that are lost.
	LossPercent int
	Seed        uint64
}

// SpreadResult is the time from the adoption of the change by the watchers until the median keeper, 99 % of the keepers
// and the last keeper have adopted it.
type SpreadResult struct {
	Median time.Duration
	P99    time.Duration
	Last   time.Duration
}

// Spread simulates the plan in virtual time. It calculates with the delays of the plan and measures nothing.
func Spread(p SpreadPlan) SpreadResult {
	s := &spreadSimulation{plan: p, random: rand.New(rand.NewPCG(p.Seed, 1)), adoptedAt: make([]time.Duration, p.Keepers)}
	for i := range s.adoptedAt {
		s.adoptedAt[i] = -1
	}
	for i := range p.Watchers {
		heap.Push(&s.events, spreadEvent{keeper: i})
	}
	for i := range p.Keepers {
		heap.Push(&s.events, spreadEvent{time: time.Duration(s.random.Int64N(int64(p.RepairInterval))), keeper: i, isRepair: true})
	}
	s.run()
	slices.Sort(s.adoptedAt)
	return SpreadResult{Median: s.adoptedAt[p.Keepers/2], P99: s.adoptedAt[p.Keepers*99/100], Last: s.adoptedAt[p.Keepers-1]}
}

type spreadEvent struct {
	time     time.Duration
	keeper   int
	isRepair bool
}

type spreadEvents []spreadEvent

func (e spreadEvents) Len() int           { return len(e) }
func (e spreadEvents) Less(i, j int) bool { return e[i].time < e[j].time }
func (e spreadEvents) Swap(i, j int)      { e[i], e[j] = e[j], e[i] }
func (e *spreadEvents) Push(x any)        { *e = append(*e, x.(spreadEvent)) }

func (e *spreadEvents) Pop() any {
	last := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return last
}

type spreadSimulation struct {
	plan         SpreadPlan
	random       *rand.Rand
	adoptedAt    []time.Duration
	adoptedCount int
	events       spreadEvents
}

func (s *spreadSimulation) run() {
	for s.adoptedCount < s.plan.Keepers {
		e := heap.Pop(&s.events).(spreadEvent)
		if s.adoptedAt[e.keeper] >= 0 {
			continue
		}
		if e.isRepair {
			s.repair(e)
			continue
		}
		s.adopt(e)
	}
}

func (s *spreadSimulation) adopt(e spreadEvent) {
	s.adoptedAt[e.keeper] = e.time
	s.adoptedCount++
	for range s.plan.FanOut {
		if s.random.IntN(100) >= s.plan.LossPercent {
			heap.Push(&s.events, spreadEvent{time: e.time + s.plan.Hop, keeper: s.random.IntN(s.plan.Keepers)})
		}
	}
}

// repair compares a keeper with a random keeper. If the random keeper has the change, the first one adopts it after a hop.
func (s *spreadSimulation) repair(e spreadEvent) {
	other := s.random.IntN(s.plan.Keepers)
	if s.adoptedAt[other] >= 0 && s.adoptedAt[other] <= e.time {
		heap.Push(&s.events, spreadEvent{time: e.time + s.plan.Hop, keeper: e.keeper})
	}
	heap.Push(&s.events, spreadEvent{time: e.time + s.plan.RepairInterval, keeper: e.keeper, isRepair: true})
}
