package allowance

import (
	"math"
	"slices"
	"time"
)

const (
	// A bucket may hold more than the burst by capacityPart of the slack, or by minSpare requests if that is more and no more than maxSparePart
	// of it, so that small organisations can send a few requests at once.
	capacityPart = 0.1
	minSpare     = 5
	maxSparePart = 0.25
	// blindPart is the part of the slack that all counters together may accept beyond the level before they hear of each other.
	// It is at least minBlind requests, if that is no more than maxBlindPart.
	blindPart    = 0.15
	minBlind     = 8
	maxBlindPart = 0.4
	// maxAssumedTime limits for how long a counter that is in touch is assumed to go on as before without a report on the organisation.
	maxAssumedTime = 600 * time.Millisecond
	// demandTime is the time constant of the average demand.
	demandTime = time.Second
	// steadyInterval is the interval at which the steady demand follows the demand, by the factor steadyStep. It changes little in
	// the time that it takes to notice that a counter is silent, so that both sides of a cut know the same.
	steadyInterval = 250 * time.Millisecond
	steadyStep     = 1.05
	// shareMargin makes up for steady demands that changed just before a counter became silent.
	shareMargin = 1.02
	// minDemand is the lowest demand that counts.
	minDemand = 0.05
	// minRetryAfter and maxRetryAfter bound the time after which a refused caller is told to return.
	minRetryAfter = 50 * time.Millisecond
	maxRetryAfter = time.Minute
	// calmReportAge is after how long requests are reported while most of the allowance is left.
	calmReportAge = 500 * time.Millisecond
)

// Limits are the bounds of what organisations may use.
type Limits struct {
	// The requests of an organisation in any Window may exceed its allowance by the share Over and by Slack requests.
	Window      time.Duration
	Over, Slack float64
}

// slackOf returns the number of requests by which an allowance may be exceeded in a window.
func (l Limits) slackOf(perSecond, burst float64) float64 {
	return (perSecond*l.Window.Seconds()+burst)*l.Over + l.Slack
}

// standing is what a bucket knows of another counter.
type standing struct {
	peer       *peer
	generation uint16
	count      uint32
	demand     float64
	heardAt    time.Time
	// steady is its steady demand, and share its part in that of all counters when it became silent.
	steady, share float64
	// isKnown is set if the counter has reported on the organisation.
	isKnown bool
	// assumed is what the counter is assumed to have accepted since it was heard. It is already taken from the level.
	// Up to refundable of it is returned if the counter has accepted less.
	assumed, refundable float64
	// isReserved is set once the share of the level is taken as well.
	isReserved bool
	// report is the number of reports received, takenBefore the number of own requests before the last of them.
	report      uint32
	takenBefore int
	// assumedTo is the time up to which assumed is counted.
	assumedTo time.Time
}

// bucket holds what is left of the allowance of an organisation over the whole fleet. Own requests are taken at once, those of
// other counters as they report them, and until then by assumption: each goes on with its part of the demand. So all levels agree but
// for what has not been heard yet, which is paid back afterwards.
type bucket struct {
	perSecond, burst float64
	// capacity is the highest level, blind is what may be accepted beyond the level before others are heard.
	capacity, blind float64

	level float64
	at    time.Time

	generation uint16
	count      uint32
	// taken is the number of requests accepted, whether or not they were given back.
	taken int
	// unreported is the number of requests accepted since the last report, the first of them at unreportedAt.
	unreported   int
	unreportedAt time.Time

	// demand is the average at demandAt. The reported ones are those of the last report.
	demand, reportedDemand, reportedSteady float64
	demandAt                               time.Time
	// steady follows the demand slowly. It was updated at steadyAt.
	steady   float64
	steadyAt time.Time

	usedAt time.Time
	others []standing
}

func newBucket(now time.Time, perSecond, burst float64, l Limits, generation uint16) *bucket {
	b := &bucket{at: now, demandAt: now, steadyAt: now, usedAt: now, generation: generation}
	b.configure(now, perSecond, burst, l)
	b.level = b.capacity
	return b
}

// configure applies an allowance, at once also if it is lower.
func (b *bucket) configure(now time.Time, perSecond, burst float64, l Limits) {
	if perSecond == b.perSecond && burst == b.burst {
		return
	}
	b.settle(now)
	b.perSecond, b.burst = perSecond, burst
	slack := l.slackOf(perSecond, burst)
	b.capacity = max(1, burst+max(capacityPart*slack, min(minSpare, maxSparePart*slack)))
	b.blind = max(blindPart*slack, min(minBlind, maxBlindPart*slack))
	b.level = min(b.level, b.capacity)
}

// settle adds what has become available until now, less what the other counters are assumed to have accepted.
func (b *bucket) settle(now time.Time) {
	elapsed := now.Sub(b.at)
	if elapsed <= 0 {
		return
	}
	b.reserveSilent(now)
	rates := b.rates(now)
	b.level += b.perSecond * elapsed.Seconds()
	for i := range b.others {
		o := &b.others[i]
		amount := rates.of(o, now) * o.unassumed(now).Seconds()
		o.assume(amount)
		b.level -= amount
	}
	b.level, b.at = min(b.level, b.capacity), now
	b.limitRefunds()
}

func (o *standing) assume(amount float64) {
	o.assumed += amount
	o.refundable += amount
}

// limitRefunds bounds what is returned if other counters have accepted less than was assumed: the level would not have exceeded the
// capacity had that been known.
func (b *bucket) limitRefunds() {
	sum := 0.0
	for i := range b.others {
		sum += b.others[i].refundable
	}
	if room := b.capacity - b.level; sum > room {
		for i := range b.others {
			b.others[i].refundable *= max(0, room) / sum
		}
	}
}

// replaceAssumed replaces what the counter was assumed to have accepted by what it has accepted.
func (b *bucket) replaceAssumed(o *standing, accepted float64) {
	b.level = min(b.level+min(o.assumed-accepted, o.refundable), b.capacity)
	o.assumed, o.refundable = 0, 0
}

// reserveSilent leaves counters that have become silent their share of what was left when they were last heard. It forgets those that
// have ended.
func (b *bucket) reserveSilent(now time.Time) {
	b.others = slices.DeleteFunc(b.others, func(o standing) bool { return o.peer.isGone() })
	level := b.level
	for i := range b.others {
		o := &b.others[i]
		b.hear(o)
		if o.isReserved || !o.peer.isSilent(now) {
			continue
		}
		o.isReserved, o.share = true, b.shareOf(o)
		amount := o.share * max(0, level+float64(b.taken-o.takenBefore))
		o.assume(amount)
		b.level -= amount
	}
}

// hear notes that the counter has reported since.
func (b *bucket) hear(o *standing) {
	if n := o.peer.reports.Load(); n != o.report {
		o.report, o.takenBefore, o.isReserved = n, b.taken, false
	}
}

// rates are the requests a second that other counters are assumed to accept.
type rates struct {
	// silent is for each share of a silent counter, heard for each request a second that another one is asked for.
	silent, heard float64
}

func (r rates) of(o *standing, now time.Time) float64 {
	if o.peer.isSilent(now) {
		return r.silent * o.share
	}
	return r.heard * o.demand
}

// rates returns the rates at present. A counter that is heard accepts what it is asked for, but no
// more than its share of the allowance. A silent one may have got more callers, and uses the share that it had when it was last heard.
func (b *bucket) rates(now time.Time) rates {
	shares, demand := 0.0, b.reportedDemand
	for i := range b.others {
		if o := &b.others[i]; o.peer.isSilent(now) {
			shares += o.share
		} else {
			demand += o.demand
		}
	}
	out := rates{silent: b.perSecond / max(1, shares), heard: 1}
	if left := b.perSecond - out.silent*shares; demand > left {
		out.heard = left / demand
	}
	return out
}

// unassumed returns the time for which it is not yet assumed what the counter accepted, and ends it.
func (o *standing) unassumed(now time.Time) time.Duration {
	until := now
	if assumedUntil := o.heardAt.Add(maxAssumedTime); !o.peer.isSilent(now) && now.After(assumedUntil) {
		// One that has reported since, but not on this organisation, has accepted little.
		until = assumedUntil
	}
	elapsed := max(0, until.Sub(o.assumedTo))
	o.assumedTo = o.assumedTo.Add(elapsed)
	return elapsed
}

// shareOf returns the share of another counter in the steady demand.
func (b *bucket) shareOf(o *standing) float64 {
	total := b.steady
	for i := range b.others {
		total += b.others[i].steady
	}
	if total <= 0 {
		return shareMargin / float64(len(b.others)+1)
	}
	return shareMargin * o.steady / total
}

// updateSteady lets the steady demand follow the demand.
func (b *bucket) updateSteady(now time.Time) {
	if now.Sub(b.steadyAt) < steadyInterval {
		return
	}
	b.steadyAt = now
	demand := b.demandNow(now)
	b.steady = min(max(demand, b.steady/steadyStep), max(b.steady*steadyStep, minDemand))
	if b.steady < minDemand {
		b.steady = 0
	}
}

// addDemand counts requests that were asked for.
func (b *bucket) addDemand(now time.Time, n float64) {
	b.demand = b.demandNow(now) + n/demandTime.Seconds()
	b.demandAt, b.usedAt = now, now
}

func (b *bucket) demandNow(now time.Time) float64 {
	return b.demand * math.Exp(-max(0, now.Sub(b.demandAt).Seconds())/demandTime.Seconds())
}

// meet adds the counters that have not reported on the organisation.
func (b *bucket) meet(now time.Time, peers []*peer) {
	for _, p := range peers {
		if b.standingOf(p) == nil {
			b.others = append(b.others, standing{peer: p, heardAt: now, assumedTo: now, report: p.reports.Load(), takenBefore: b.taken})
		}
	}
}

// unheard returns how many requests the other counters may have accepted since they were heard, if each has accepted as many as this VM.
func (b *bucket) unheard(now time.Time) float64 {
	n := 0
	for i := range b.others {
		if o := &b.others[i]; !o.isReserved {
			n += b.taken - o.takenBefore
		}
	}
	return float64(n)
}

// take takes up to wanted requests. If it takes none, retryAfter is when one may be taken.
func (b *bucket) take(now time.Time, wanted int, peers []*peer) (taken int, retryAfter time.Duration) {
	b.meet(now, peers)
	b.settle(now)
	b.addDemand(now, float64(wanted))
	for taken < wanted && b.level >= 1+max(0, b.unheard(now)-b.blind) {
		b.level--
		b.count++
		b.taken++
		if b.unreported == 0 {
			b.unreportedAt = now
		}
		b.unreported++
		taken++
	}
	if taken > 0 {
		return taken, 0
	}
	return 0, b.retryAfter(now)
}

// retryAfter returns when the level allows one request, at the rate at which it rises on this VM.
func (b *bucket) retryAfter(now time.Time) time.Duration {
	rates, rise := b.rates(now), b.perSecond
	for i := range b.others {
		rise -= rates.of(&b.others[i], now)
	}
	missing := 1 - b.level
	if missing <= 0 || rise <= 0 {
		return minRetryAfter
	}
	return min(max(time.Duration(missing/rise*float64(time.Second)), minRetryAfter), maxRetryAfter)
}

// giveBack returns a request that has not run.
func (b *bucket) giveBack(now time.Time) {
	b.settle(now)
	b.level = min(b.level+1, b.capacity)
	b.count--
	b.unreported--
	if b.unreported <= 0 {
		b.unreportedAt = now
	}
}

// isScarce reports whether requests that were not heard of may use up much of what is left.
func (b *bucket) isScarce(now time.Time) bool {
	return b.unreported > 0 && b.unheard(now) >= max(1, b.level/2)
}

// isDue reports whether a regular report has to contain the organisation.
func (b *bucket) isDue(now time.Time) bool {
	demand := b.demandNow(now)
	hasMoved := demand > 2*b.reportedDemand+minDemand || demand < b.reportedDemand/2-minDemand ||
		math.Abs(b.steady-b.reportedSteady) > b.reportedSteady/8+minDemand
	return hasMoved || b.unreported != 0 && (b.level < b.capacity/2 || b.isScarce(now) || now.Sub(b.unreportedAt) >= calmReportAge)
}

// report returns what all other counters are told.
func (b *bucket) report(now time.Time, id ID) Entry {
	b.settle(now)
	b.unreported, b.reportedDemand, b.reportedSteady = 0, b.demandNow(now), b.steady
	if b.reportedDemand < minDemand {
		b.reportedDemand = 0
	}
	return b.state(now, id)
}

// state returns what one other counter is told.
func (b *bucket) state(now time.Time, id ID) Entry {
	b.settle(now)
	return Entry{
		ID: id, PerSecond: float32(b.perSecond), Burst: float32(b.burst), Generation: b.generation, Count: b.count,
		Level: float32(b.level), Demand: float32(b.reportedDemand), Steady: float32(b.reportedSteady),
	}
}

// receive takes in what another counter reports.
func (b *bucket) receive(now time.Time, p *peer, e Entry) {
	b.settle(now)
	b.meet(now, []*peer{p})
	o := b.standingOf(p)
	if !o.isKnown || o.generation != e.Generation {
		// What is new in the count is not known, but the level of the sender contains it.
		b.replaceAssumed(o, 0)
		b.level = min(b.level, float64(e.Level))
	} else {
		b.replaceAssumed(o, float64(int32(e.Count-o.count)))
	}
	*o = standing{
		peer: p, isKnown: true, generation: e.Generation, count: e.Count, demand: float64(e.Demand), steady: float64(e.Steady),
		heardAt: now, assumedTo: now,
		report: p.reports.Load(), takenBefore: b.taken,
	}
}

func (b *bucket) standingOf(p *peer) *standing {
	for i := range b.others {
		if b.others[i].peer == p {
			return &b.others[i]
		}
	}
	return nil
}

// isIdle reports whether the bucket holds nothing that a new one would not.
func (b *bucket) isIdle(now time.Time) bool {
	if b.unreported != 0 || b.reportedDemand > 0 || b.reportedSteady > 0 || now.Sub(b.usedAt) < idleTime {
		return false
	}
	b.settle(now)
	for i := range b.others {
		if b.others[i].demand > 0 {
			return false
		}
	}
	return b.level >= b.capacity
}
