// Package allowance keeps the requests of each organisation within its allowance over the whole fleet, without a coordinator.
//
// A few VMs, the counters, keep for each organisation with recent requests a bucket for the whole fleet. They take their own requests
// at once and report them to each other; until a counter is heard, the others assume that it goes on with its share. So both sides of a
// cut stay within the allowance together. All other VMs ask a counter for requests before they accept any. See
// docs/design/allowances.md.
package allowance

import (
	"maps"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/primroseladder/primroseladder/internal/organisation"
)

const (
	// Interval is the interval at which counters report.
	Interval = 100 * time.Millisecond
	// idleGreetInterval is how often a counter reports if there were no requests for activeTime.
	idleGreetInterval = 500 * time.Millisecond
	activeTime        = 2 * time.Second
	// settleTime is how long a counter that knows nothing waits for one that knows the requests of the fleet.
	settleTime = 1500 * time.Millisecond
	// minSettleTime is how long it waits if all other counters know nothing either.
	minSettleTime = 300 * time.Millisecond
	// remainTime is how long a VM goes on counting after others have replaced it.
	remainTime = 5 * time.Second
	// maxEntries is the number of entries that fit into a datagram.
	maxEntries = 40
	// idleTime is how long an organisation without requests is remembered.
	idleTime  = 10 * time.Second
	numShards = 16
)

// Counter is a VM that keeps count of requests.
type Counter struct {
	// Address is where the VM receives datagrams.
	Address string
	IsSelf  bool
}

// Outcome says what is to be done with a request.
type Outcome int

// Outcomes.
const (
	Accepted Outcome = iota
	Refused
	// MustAsk is the outcome if another VM has to be asked first.
	MustAsk
)

// Decision is a decision on a request.
type Decision struct {
	Outcome Outcome
	// RetryAfter is when a refused request may be accepted.
	RetryAfter time.Duration
	// IsUrgent is set if the other counters should hear of the request before the next regular report.
	IsUrgent bool
}

// Message is a report and the addresses of its receivers.
type Message struct {
	To     []string
	Report Report
}

// stance is how this VM decides at present.
type stance struct {
	isInformed    bool
	informedSince time.Time
	updatedAt     time.Time
	// peers are the other counters.
	peers []*peer
}

type shard struct {
	mu      sync.Mutex
	buckets map[ID]*bucket
}

// Ledger decides on the requests of this VM. It is told the time and sends nothing itself. It is safe for concurrent use.
type Ledger struct {
	limits      Limits
	incarnation uint64
	stance      atomic.Pointer[stance]
	shards      [numShards]shard
	leases      *leases
	generations atomic.Uint32

	mu    sync.Mutex
	peers map[string]*peer
	list  []Counter
	// isCounter is set while this VM counts, which it does since counterSince; it was last among the counters at listedAt.
	isCounter              bool
	counterSince, listedAt time.Time
	isInformed             bool
	informedSince          time.Time
	updatedAt, reportedAt  time.Time
	// activeAt is when there was last something to report.
	activeAt time.Time
	sweptAt  time.Time
	// majorityAt is when this VM was last in touch with most of the counters.
	majorityAt time.Time
}

// NewLedger returns a Ledger. The incarnation must be greater than those of earlier starts of this VM.
func NewLedger(l Limits, incarnation uint64) *Ledger {
	out := &Ledger{limits: l, incarnation: incarnation, leases: newLeases(), peers: map[string]*peer{}}
	for i := range out.shards {
		out.shards[i].buckets = map[ID]*bucket{}
	}
	out.generations.Store(uint32(incarnation))
	out.stance.Store(&stance{})
	return out
}

func (l *Ledger) shardOf(id ID) *shard { return &l.shards[id%numShards] }

// withBucket calls use with the bucket of an organisation, which is locked and has the given allowance.
func (l *Ledger) withBucket(now time.Time, s *stance, id ID, perSecond, burst float64, use func(*bucket)) {
	sh := l.shardOf(id)
	sh.mu.Lock()
	defer sh.mu.Unlock()
	b := sh.buckets[id]
	if b == nil {
		b = newBucket(now, perSecond, burst, l.limits, uint16(l.generations.Add(1)))
		// What was accepted before this VM was informed is not known.
		b.level = min(b.capacity, b.capacity-burst+perSecond*now.Sub(s.informedSince).Seconds())
		sh.buckets[id] = b
	}
	b.configure(now, perSecond, burst, l.limits)
	use(b)
}

// decides reports whether this VM can decide without asking.
func (s *stance) decides(now time.Time) bool {
	return s.isInformed && now.Sub(s.updatedAt) < frozenAfter
}

// Take decides on a request of an organisation.
func (l *Ledger) Take(now time.Time, o *organisation.Organisation) Decision {
	id, s := IDOf(o.Name), l.stance.Load()
	if !s.decides(now) {
		return l.leases.take(now, id)
	}
	var d Decision
	l.withBucket(now, s, id, o.PerSecond, o.Burst, func(b *bucket) {
		var taken int
		if taken, d.RetryAfter = b.take(now, 1, s.peers); taken == 0 {
			d.Outcome = Refused
		}
		d.IsUrgent = b.isScarce(now)
	})
	return d
}

// GiveBack returns a request that has not run.
func (l *Ledger) GiveBack(now time.Time, name string) {
	id := IDOf(name)
	if !l.stance.Load().decides(now) {
		l.leases.giveBack(now, id)
		return
	}
	sh := l.shardOf(id)
	sh.mu.Lock()
	defer sh.mu.Unlock()
	if b := sh.buckets[id]; b != nil {
		b.giveBack(now)
	}
}

// Ask returns the question to send for a request on which Take decided MustAsk, and the channel that is closed with the answer, nil if
// there is no counter. isNew is unset if an earlier question covers the request.
func (l *Ledger) Ask(now time.Time, o *organisation.Organisation) (to string, q Question, answered <-chan struct{}, isNew bool) {
	l.mu.Lock()
	others := slices.DeleteFunc(slices.Clone(l.list), func(c Counter) bool { return c.IsSelf })
	l.mu.Unlock()
	return l.leases.ask(now, o, others)
}

// ReceiveQuestion answers a question.
func (l *Ledger) ReceiveQuestion(now time.Time, q Question) (a Answer, isUrgent bool) {
	a, s := Answer{Number: q.Number, ID: q.ID}, l.stance.Load()
	perSecond, burst := float64(q.PerSecond), float64(q.Burst)
	if !s.decides(now) || !(perSecond > 0) {
		return a, false
	}
	a.IsInformed = true
	l.withBucket(now, s, q.ID, perSecond, burst, func(b *bucket) {
		var taken int
		taken, a.RetryAfter = b.take(now, int(q.Wanted), s.peers)
		a.Granted, isUrgent = uint16(taken), b.isScarce(now)
	})
	return a, isUrgent
}

// ReceiveAnswer takes in the answer of a counter.
func (l *Ledger) ReceiveAnswer(now time.Time, from string, a Answer) { l.leases.receive(now, from, a) }

// ReceiveReport takes in the report of another counter. It returns what that one does not know yet.
func (l *Ledger) ReceiveReport(now time.Time, from string, r Report) []Message {
	l.mu.Lock()
	defer l.mu.Unlock()
	p := l.peers[from]
	if p != nil && r.Incarnation < p.incarnation {
		return nil
	}
	if p == nil || r.Incarnation > p.incarnation {
		if p != nil {
			p.set(gone)
		}
		p = &peer{incarnation: r.Incarnation}
		l.peers[from] = p
	}
	p.lastReport.Store(&now)
	if r.IsLeaving {
		p.set(gone)
		delete(l.peers, from)
		return nil
	}
	p.set(inTouch)
	p.reports.Add(1)
	p.isInformed = r.InformedFor > 0
	if !l.isCounter {
		return nil
	}
	for _, e := range r.Entries {
		l.receiveEntry(now, p, e)
	}
	if p.isInformed && r.IsComplete && !l.isInformed {
		l.isInformed, l.informedSince = true, now.Add(-r.InformedFor)
		l.publish()
	}
	if len(r.Entries) > 0 {
		l.activeAt = now
	}
	if r.WantsReply && l.isInformed {
		return l.reports(now, []string{from}, nil, false)
	}
	if !p.isInformed && l.isInformed {
		return l.reports(now, []string{from}, l.entries(now, func(*bucket) bool { return true }, (*bucket).state), true)
	}
	return nil
}

func (l *Ledger) receiveEntry(now time.Time, p *peer, e Entry) {
	perSecond, burst := float64(e.PerSecond), float64(e.Burst)
	if !(perSecond > 0) {
		return
	}
	sh := l.shardOf(e.ID)
	sh.mu.Lock()
	defer sh.mu.Unlock()
	b := sh.buckets[e.ID]
	if b == nil {
		b = newBucket(now, perSecond, burst, l.limits, uint16(l.generations.Add(1)))
		sh.buckets[e.ID] = b
	}
	b.configure(now, perSecond, burst, l.limits)
	b.receive(now, p, e)
}

// entries returns what tell says of the organisations that are due.
func (l *Ledger) entries(now time.Time, isDue func(*bucket) bool, tell func(*bucket, time.Time, ID) Entry) []Entry {
	var out []Entry
	for i := range l.shards {
		sh := &l.shards[i]
		sh.mu.Lock()
		for id, b := range sh.buckets {
			if isDue(b) {
				out = append(out, tell(b, now, id))
			}
		}
		sh.mu.Unlock()
	}
	return out
}

// reports divides entries among reports. The caller holds mu.
func (l *Ledger) reports(now time.Time, to []string, entries []Entry, isComplete bool) []Message {
	var informedFor time.Duration
	if l.isInformed {
		informedFor = max(time.Millisecond, now.Sub(l.informedSince))
	}
	var out []Message
	for {
		n := min(len(entries), maxEntries)
		r := Report{Incarnation: l.incarnation, InformedFor: informedFor, Entries: entries[:n], IsComplete: isComplete && n == len(entries)}
		out = append(out, Message{To: to, Report: r})
		if entries = entries[n:]; len(entries) == 0 {
			return out
		}
	}
}

// Update applies the current list of counters, from nearest to farthest, and returns the reports that are due. It must be called every
// Interval; between, it may be called early after an urgent decision.
func (l *Ledger) Update(now time.Time, list []Counter) []Message {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.updatedAt.IsZero() && now.Sub(l.updatedAt) >= frozenAfter {
		l.isInformed, l.counterSince = false, now
	}
	l.updatedAt, l.list = now, list
	if out := l.updateRole(now); out != nil {
		return out
	}
	l.updatePeers(now)
	l.updateInformed(now)
	l.publish()
	if !l.isCounter {
		return nil
	}
	l.sweep(now)
	isScarce := false
	entries := l.entries(now, func(b *bucket) bool {
		b.updateSteady(now)
		isScarce = isScarce || b.isScarce(now)
		return b.isDue(now)
	}, (*bucket).report)
	if len(entries) > 0 {
		l.activeAt = now
	}
	interval := idleGreetInterval
	if now.Sub(l.activeAt) < activeTime || !l.isInformed {
		interval = Interval
	}
	if len(entries) == 0 && now.Sub(l.reportedAt) < interval-Interval/4 {
		return nil
	}
	l.reportedAt = now
	out := l.reports(now, l.receivers(), entries, false)
	out[len(out)-1].Report.WantsReply = isScarce
	return out
}

// Leave returns the reports that tell the other counters that this VM accepts no further requests.
func (l *Ledger) Leave(now time.Time) []Message {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.isCounter {
		return nil
	}
	l.isCounter, l.isInformed = false, false
	l.publish()
	out := l.reports(now, l.receivers(), l.entries(now, func(b *bucket) bool { return b.unreported != 0 }, (*bucket).report), false)
	return append(out, Message{To: l.receivers(), Report: Report{Incarnation: l.incarnation, IsLeaving: true}})
}

// updateRole makes this VM a counter, or ends that. It returns the last reports of one that ends.
func (l *Ledger) updateRole(now time.Time) []Message {
	if slices.ContainsFunc(l.list, func(c Counter) bool { return c.IsSelf }) {
		l.listedAt = now
		if !l.isCounter {
			l.isCounter, l.counterSince = true, now
		}
		return nil
	}
	if !l.isCounter || now.Sub(l.listedAt) < remainTime {
		return nil
	}
	l.isCounter, l.isInformed = false, false
	l.publish()
	for i := range l.shards {
		l.shards[i].mu.Lock()
		l.shards[i].buckets = map[ID]*bucket{}
		l.shards[i].mu.Unlock()
	}
	return []Message{{To: l.receivers(), Report: Report{Incarnation: l.incarnation, IsLeaving: true}}}
}

// updatePeers finds out which counters are out of touch, and whether this VM is with most of them. After a window, those that are with most
// consider the others gone, and those that are not stop counting.
func (l *Ledger) updatePeers(now time.Time) {
	if l.countInTouch(now)*2 > len(l.list) {
		l.majorityAt = now
	} else if now.Sub(l.majorityAt) > l.limits.Window {
		l.isInformed = false
	}
	for address, p := range l.peers {
		silence := p.silence(now)
		switch {
		case silence < touchTimeout:
		case silence > l.limits.Window+2*touchTimeout && l.majorityAt.Equal(now):
			p.set(gone)
			delete(l.peers, address)
		default:
			p.set(lost)
		}
	}
}

// countInTouch returns the number of counters in touch, with this one.
func (l *Ledger) countInTouch(now time.Time) int {
	n := 1
	for _, p := range l.peers {
		if p.silence(now) < touchTimeout {
			n++
		}
	}
	return n
}

// updateInformed lets a counter that found none that is informed begin without knowledge, with nearly empty buckets: soon if it hears all
// counters and none of them knows more, as after a start of the whole fleet, else later if it is in touch with most of them.
func (l *Ledger) updateInformed(now time.Time) {
	if l.isInformed || !l.isCounter {
		return
	}
	waited, hearsAll := now.Sub(l.counterSince), l.countInTouch(now) >= len(l.list)
	if waited < minSettleTime || waited < settleTime && !hearsAll || !l.majorityAt.Equal(now) {
		return
	}
	for _, p := range l.peers {
		if p.isInformed && p.silence(now) < touchTimeout {
			return
		}
	}
	l.isInformed, l.informedSince = true, now
}

func (l *Ledger) publish() {
	l.stance.Store(&stance{
		isInformed: l.isInformed, informedSince: l.informedSince, updatedAt: l.updatedAt, peers: slices.Collect(maps.Values(l.peers)),
	})
}

// receivers returns the other counters, those that this VM has heard and those that it should hear.
func (l *Ledger) receivers() []string {
	var out []string
	for _, c := range l.list {
		if !c.IsSelf {
			out = append(out, c.Address)
		}
	}
	for address := range l.peers {
		if !slices.Contains(out, address) {
			out = append(out, address)
		}
	}
	return out
}

// sweep forgets organisations without recent requests.
func (l *Ledger) sweep(now time.Time) {
	if now.Sub(l.sweptAt) < time.Second {
		return
	}
	l.sweptAt = now
	for i := range l.shards {
		sh := &l.shards[i]
		sh.mu.Lock()
		for id, b := range sh.buckets {
			if b.isIdle(now) {
				delete(sh.buckets, id)
			}
		}
		sh.mu.Unlock()
	}
}
