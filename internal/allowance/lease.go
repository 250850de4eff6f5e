package allowance

import (
	"math"
	"sync"
	"time"

	"github.com/primroseladder/primroseladder/internal/organisation"
)

const (
	// leaseTime is for how long granted requests may be accepted.
	leaseTime = 250 * time.Millisecond
	// aheadTime is for how long of its demand a VM asks ahead.
	aheadTime = 100 * time.Millisecond
	// answerTimeout is how long a VM waits for an answer before it asks another counter. A round trip between regions takes 25 ms.
	answerTimeout = 80 * time.Millisecond
	// maxQuestions is how many counters are asked before a request is refused.
	maxQuestions = 3
	// avoidTime is how long a counter that did not answer is asked last.
	avoidTime = time.Second
	// maxRefusalTime is how long a refusal is relied on without asking again.
	maxRefusalTime = time.Second
	// maxLeases bounds the organisations about which a VM remembers answers.
	maxLeases = 10_000
)

// lease is what counters have granted this VM for an organisation.
type lease struct {
	tokens       int
	expiresAt    time.Time
	refusedUntil time.Time
	// unansweredUntil is until when no counter is asked, since none has answered.
	unansweredUntil time.Time
	// asked is the number of the question that is open, 0 for none. It was sent to a counter at askedAt.
	asked   uint32
	askedOf string
	askedAt time.Time
	// waiting is the number of requests that wait for the answer.
	waiting int
	// answered is closed when the answer arrives.
	answered chan struct{}
	demand   float64
	demandAt time.Time
}

// leases are the requests that this VM may accept although it keeps no count of its own.
type leases struct {
	mu         sync.Mutex
	byID       map[ID]*lease
	lastNumber uint32
	// avoid holds until when counters are asked last because they did not answer.
	avoid map[string]time.Time
}

func newLeases() *leases { return &leases{byID: map[ID]*lease{}, avoid: map[string]time.Time{}} }

// take takes a granted request.
func (s *leases) take(now time.Time, id ID) Decision {
	s.mu.Lock()
	defer s.mu.Unlock()
	l := s.byID[id]
	if l == nil {
		if len(s.byID) >= maxLeases {
			s.forget(now)
		}
		l = &lease{demandAt: now}
		s.byID[id] = l
	}
	elapsed := max(0, now.Sub(l.demandAt).Seconds())
	l.demand, l.demandAt = l.demand*math.Exp(-elapsed/demandTime.Seconds())+1/demandTime.Seconds(), now
	switch {
	case l.tokens > 0 && now.Before(l.expiresAt):
		l.tokens--
		return Decision{Outcome: Accepted}
	case now.Before(l.refusedUntil):
		return Decision{Outcome: Refused, RetryAfter: l.refusedUntil.Sub(now)}
	}
	return Decision{Outcome: MustAsk}
}

// forget removes the leases that are no longer used. The caller holds mu.
func (s *leases) forget(now time.Time) {
	for id, l := range s.byID {
		if l.waiting == 0 && now.Sub(l.demandAt) > maxRefusalTime {
			delete(s.byID, id)
		}
	}
}

// ask returns the question that a request has to wait for. If another request has asked already, isNew is unset.
func (s *leases) ask(now time.Time, o *organisation.Organisation, counters []Counter) (to string, q Question, answered <-chan struct{}, isNew bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	id := IDOf(o.Name)
	l := s.byID[id]
	if l == nil || len(counters) == 0 || now.Before(l.unansweredUntil) {
		return "", Question{}, nil, false
	}
	if l.asked != 0 && now.Sub(l.askedAt) < answerTimeout {
		return "", Question{}, l.answered, false
	}
	if l.asked != 0 {
		s.avoid[l.askedOf] = now.Add(avoidTime)
	} else {
		l.answered = make(chan struct{})
	}
	s.lastNumber++
	l.asked, l.askedAt, l.askedOf = max(1, s.lastNumber), now, s.choose(now, counters)
	wanted := min(1+l.waiting+int(l.demand*aheadTime.Seconds()), math.MaxUint16)
	return l.askedOf, Question{
		Number: l.asked, ID: id, PerSecond: float32(o.PerSecond), Burst: float32(o.Burst), Wanted: uint16(wanted),
	}, l.answered, true
}

// choose returns the counter to ask: the first that answers, in the order given. The caller holds mu.
func (s *leases) choose(now time.Time, counters []Counter) string {
	best := counters[0].Address
	for _, c := range counters {
		until, isAvoided := s.avoid[c.Address]
		if !isAvoided || now.After(until) {
			return c.Address
		}
		if until.Before(s.avoid[best]) {
			best = c.Address
		}
	}
	return best
}

// wait changes the number of requests that wait for an answer.
func (s *leases) wait(id ID, by int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if l := s.byID[id]; l != nil {
		l.waiting += by
	}
}

// receive takes in an answer. A late one counts too unless its tokens have expired or another question is open.
func (s *leases) receive(now time.Time, from string, a Answer) {
	s.mu.Lock()
	defer s.mu.Unlock()
	l := s.byID[a.ID]
	if l == nil || l.asked != a.Number {
		return
	}
	if !a.IsInformed {
		// The next request asks another counter.
		s.avoid[from] = now.Add(avoidTime)
	} else if delete(s.avoid, from); a.Granted > 0 {
		l.tokens, l.expiresAt = int(a.Granted), l.askedAt.Add(leaseTime)
	} else {
		l.tokens, l.refusedUntil = 0, now.Add(min(a.RetryAfter, maxRefusalTime))
	}
	l.asked = 0
	close(l.answered)
}

// noteUnanswered keeps further requests from asking for a short time after no counter has answered.
func (s *leases) noteUnanswered(now time.Time, id ID) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if l := s.byID[id]; l != nil {
		l.unansweredUntil = now.Add(unreachableRetry)
	}
}

// giveBack returns a granted request.
func (s *leases) giveBack(now time.Time, id ID) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if l := s.byID[id]; l != nil && now.Before(l.expiresAt) {
		l.tokens++
	}
}

// unreachableRetry is the retry delay if no counter answers. Other VMs may serve at once.
const unreachableRetry = 200 * time.Millisecond
