package allowance

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"github.com/primroseladder/primroseladder/internal/logevent"
	"github.com/primroseladder/primroseladder/internal/organisation"
)

// Sender sends messages to other VMs. A message may be lost.
type Sender interface {
	SendAllowanceReport(m Message)
	SendAllowanceQuestion(to string, q Question)
	SendAllowanceAnswer(to string, a Answer)
}

// Options configure a Service.
type Options struct {
	Limits Limits
	// Incarnation must be greater than at earlier starts of this VM.
	Incarnation uint64
	// Counters returns the VMs that count at present, from nearest to farthest.
	Counters func() []Counter
	// IsNeeded reports whether the configuration limits any organisation.
	IsNeeded func() bool
	Sender   Sender
	Log      zerolog.Logger
}

// Service runs the Ledger of a VM. It implements ingress.Allowances and vmpeer.Allowances.
type Service struct {
	Options
	ledger  *Ledger
	urgent  chan struct{}
	refused refusals
	// startedAt is the start of this VM.
	startedAt time.Time

	unconfirmed atomic.Int64
}

// NewService returns a Service that accepts requests once Run has been called.
func NewService(o Options) *Service {
	return &Service{
		Options: o, ledger: NewLedger(o.Limits, o.Incarnation), urgent: make(chan struct{}, 1), startedAt: time.Now(),
	}
}

// minReportInterval limits how often urgent reports are sent.
const minReportInterval = 20 * time.Millisecond

// Run reports to other VMs until ctx ends, while the configuration limits any organisation.
func (s *Service) Run(ctx context.Context) {
	ticker := time.NewTicker(Interval)
	defer ticker.Stop()
	isCounting := false
	for {
		if s.IsNeeded() {
			isCounting = true
			s.send(s.ledger.Update(time.Now(), s.Counters()))
		} else if isCounting {
			isCounting = false
			s.send(s.ledger.Leave(time.Now()))
		}
		select {
		case <-ctx.Done():
			s.send(s.ledger.Leave(time.Now()))
			return
		case <-time.After(minReportInterval):
		}
		select {
		case <-ctx.Done():
		case <-ticker.C:
		case <-s.urgent:
		}
	}
}

func (s *Service) send(messages []Message) {
	for _, m := range messages {
		s.Sender.SendAllowanceReport(m)
	}
}

// push makes Run report soon.
func (s *Service) push() {
	select {
	case s.urgent <- struct{}{}:
	default:
	}
}

const (
	// startTime is how long after the start of this VM requests wait for a verdict: VMs that start together first find out that none of
	// them knows any requests.
	startTime = 1500 * time.Millisecond
	// startRetryInterval is the interval between two tries meanwhile.
	startRetryInterval = 50 * time.Millisecond
)

// Take implements ingress.Allowances. A VM that does not count waits for the answer of one that does.
func (s *Service) Take(o *organisation.Organisation, now time.Time) (v organisation.Verdict, retryAfter time.Duration) {
	for {
		d := s.decide(o, now)
		switch d.Outcome {
		case Accepted:
			return organisation.Within, 0
		case Refused:
			s.refused.count(o.Name)
			return organisation.Exceeded, d.RetryAfter
		}
		if time.Since(s.startedAt) >= startTime {
			break
		}
		time.Sleep(startRetryInterval)
		now = time.Now()
	}
	s.unconfirmed.Add(1)
	logevent.AllowanceUnknown.Log(s.Log).Str("organisation", o.Name).Send()
	s.ledger.leases.noteUnanswered(now, IDOf(o.Name))
	return organisation.Unconfirmed, unreachableRetry
}

// decide decides on a request, after questions to other VMs if need be. The outcome is MustAsk if none has answered.
func (s *Service) decide(o *organisation.Organisation, now time.Time) Decision {
	for range maxQuestions {
		d := s.ledger.Take(now, o)
		if d.IsUrgent {
			s.push()
		}
		if d.Outcome != MustAsk || !s.ask(now, o) {
			return d
		}
		now = time.Now()
	}
	return s.ledger.Take(now, o)
}

// ask asks another VM and waits for the answer. It returns false if there is none to ask.
func (s *Service) ask(now time.Time, o *organisation.Organisation) bool {
	to, q, answered, isNew := s.ledger.Ask(now, o)
	if answered == nil {
		return false
	}
	if isNew {
		s.Sender.SendAllowanceQuestion(to, q)
	}
	s.ledger.leases.wait(IDOf(o.Name), 1)
	defer s.ledger.leases.wait(IDOf(o.Name), -1)
	timeout := time.NewTimer(answerTimeout)
	defer timeout.Stop()
	select {
	case <-answered:
	case <-timeout.C:
	}
	return true
}

// GiveBack implements ingress.Allowances.
func (s *Service) GiveBack(name string, now time.Time) { s.ledger.GiveBack(now, name) }

// ReceiveReport implements vmpeer.Allowances.
func (s *Service) ReceiveReport(from string, r Report) {
	s.send(s.ledger.ReceiveReport(time.Now(), from, r))
}

// ReceiveQuestion implements vmpeer.Allowances.
func (s *Service) ReceiveQuestion(from string, q Question) {
	a, isUrgent := s.ledger.ReceiveQuestion(time.Now(), q)
	s.Sender.SendAllowanceAnswer(from, a)
	if isUrgent {
		s.push()
	}
}

// ReceiveAnswer implements vmpeer.Allowances.
func (s *Service) ReceiveAnswer(from string, a Answer) { s.ledger.ReceiveAnswer(time.Now(), from, a) }

// MostRefused returns the organisations with the most requests refused by this VM, at most maxNamed, and how many of each. A count
// that replaced another one may be too high.
func (s *Service) MostRefused() map[string]int64 { return s.refused.get() }

// Refused returns the number of requests beyond an allowance that this VM refused.
func (s *Service) Refused() int64 { return s.refused.total.Load() }

// Unconfirmed returns the number of requests that this VM refused because no other VM could tell whether they lie within the allowance.
func (s *Service) Unconfirmed() int64 { return s.unconfirmed.Load() }

// maxNamed bounds the organisations whose refusals are counted by name.
const maxNamed = 10

// refusals counts the refusals of the organisations that have the most. A name that is not counted replaces that with the lowest count,
// and takes the count over.
type refusals struct {
	total  atomic.Int64
	mu     sync.Mutex
	byName map[string]int64
}

func (r *refusals) count(name string) {
	r.total.Add(1)
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.byName == nil {
		r.byName = map[string]int64{}
	}
	n, isCounted := r.byName[name]
	if !isCounted && len(r.byName) >= maxNamed {
		var lowest string
		for other, count := range r.byName {
			if lowest == "" || count < r.byName[lowest] {
				lowest = other
			}
		}
		n = r.byName[lowest]
		delete(r.byName, lowest)
	}
	r.byName[name] = n + 1
}

func (r *refusals) get() map[string]int64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	out := make(map[string]int64, len(r.byName))
	for name, n := range r.byName {
		out[name] = n
	}
	return out
}
