// Package room decides which requests get the room that there is when there is too little of it. Its types know no network and are
// not safe for concurrent use: the caller guards them by the lock of the service.
package room

import (
	"maps"
	"math"
	"time"
)

const (
	// bucketsPerWindow is the number of intervals in which a window of the retry budget is counted.
	bucketsPerWindow = 20
	// historyBuckets covers the window of the oldest retry that still counts, and the window before that one.
	historyBuckets = 2*bucketsPerWindow + 1
	// usedRatioShare is the part of the configured ratio that is used: VMs hear of each other's requests late, or not at all.
	usedRatioShare = 0.85
	// burstShare is the part of a window's retries that may be sent at once, paceShare the part that is granted evenly over the
	// window. A shortage of some seconds doesn't find the budget used up by its first one, and a long one uses nearly all of it.
	burstShare = 0.25
	paceShare  = 1 - burstShare/2
	// minWindow is the shortest window that is counted.
	minWindow = time.Second
	// freeRetries is the number of retries above its share that an organisation may take before others go first.
	freeRetries = 2
)

// RetryBudget limits the retries that the VMs of a region send to a service, and gives them to the most urgent requests when they
// run short. Each VM counts the requests and retries of all VMs that it hears of, so that the VMs share one budget without a
// coordinator. A VM that hears of no other has the budget that its own requests earn, and its own part of the allowance.
type RetryBudget struct {
	// ratio is the number of retries per request, counted over a window.
	ratio  float64
	window time.Duration
	// startedAt is the time from which intervals are numbered. Differences of times are not affected by steps of the clock.
	startedAt time.Time
	// requests and retries hold the counts of all VMs by interval, ownRequests those of this VM. The current interval is at current
	// modulo their length.
	requests, ownRequests, retries [historyBuckets]float64
	current                        int64
	// level is the number of retries that this VM may send at levelAt without getting ahead of its part of the window.
	level   float64
	levelAt time.Time
	// heard holds when a peer was last heard of.
	heard map[string]time.Time
	// demand holds how many requests of each priority have lately asked for a retry.
	demand map[int]demand
	turns  turns
}

// NewRetryBudget returns the budget of a service, of ratio retries for each request in a window.
func NewRetryBudget(ratio float64, window time.Duration, now time.Time) *RetryBudget {
	return &RetryBudget{
		ratio: ratio, window: max(window, minWindow), startedAt: now, current: historyBuckets, level: 1, levelAt: now,
		heard: map[string]time.Time{}, demand: map[int]demand{}, turns: newTurns(),
	}
}

// Allowance is the number of retries in a window beyond those that requests earn.
type Allowance struct {
	// Own is the part of this VM, Region that of all VMs of the region that serve the service.
	Own, Region float64
}

// Claim is a request that asks for a retry.
type Claim struct {
	// Priority is its rank; 0 is the highest.
	Priority     int
	Organisation string
	// IsLate is set if an answer is not expected within the target latency any more.
	IsLate bool
}

// AddRequest counts a new request of this VM.
func (b *RetryBudget) AddRequest(now time.Time) {
	b.AddPeerRequests(now, 1)
	b.ownRequests[b.index(b.current)]++
}

// AddPeerRequests counts new requests of other VMs. n is negative to take back requests that were counted by mistake.
func (b *RetryBudget) AddPeerRequests(now time.Time, n int) {
	b.advance(now)
	b.requests[b.index(b.current)] += float64(n)
}

// AddPeerRetry counts a retry of another VM.
func (b *RetryBudget) AddPeerRetry(now time.Time) {
	b.advance(now)
	b.retries[b.index(b.current)]++
}

// Hear records that a peer that serves the service tells this VM of its requests.
func (b *RetryBudget) Hear(peer string, now time.Time) { b.heard[peer] = now }

// Take takes a retry for a request and reports whether there is one for it.
func (b *RetryBudget) Take(now time.Time, c Claim, a Allowance) bool {
	b.advance(now)
	slack := b.slack(a)
	most := b.refill(now, b.ownPart()*b.perWindow(slack))
	b.demand[c.Priority] = b.demand[c.Priority].add(now, b.window)
	b.turns.ask(c.Organisation, now, b.window)
	if b.level < 1+b.reserve(c, most-1, now) || !b.isWithinWindows(slack) {
		return false
	}
	b.turns.take(c.Organisation)
	b.level--
	b.retries[b.index(b.current)]++
	return true
}

// reserve returns how many of most retries are kept for the requests that go before this one: those of higher priorities, those of
// other organisations if its own has had more than its turn, and those that can still be answered in time. Each of these kinds
// halves what the request may use, but no more is kept than they have lately asked for.
func (b *RetryBudget) reserve(c Claim, most float64, now time.Time) float64 {
	kinds, asked := 0, 0.0
	isBehindEqual := c.IsLate || b.turns.isAhead(c.Organisation)
	for priority, d := range b.demand {
		recent := d.recent(now, b.window)
		if priority < c.Priority && recent >= 1 {
			kinds++
		}
		if priority < c.Priority || priority == c.Priority && isBehindEqual {
			asked += recent
		}
	}
	if isBehindEqual {
		kinds++
	}
	return min(asked, most*(1-math.Pow(0.5, float64(kinds))))
}

// slack returns the number of retries in a window beyond those that requests earn, for the VMs that this VM hears of.
func (b *RetryBudget) slack(a Allowance) float64 {
	return min(a.Own*float64(1+len(b.heard)), max(a.Own, a.Region))
}

// perWindow returns the number of retries that a window may have now.
func (b *RetryBudget) perWindow(slack float64) float64 {
	start := b.current - bucketsPerWindow + 1
	return usedRatioShare*b.ratio*b.reference(start) + slack
}

// ownPart returns the part of this VM in the requests of all VMs. Each VM paces itself by it: if all took from one level, a VM that
// counts a little less than another would get no retry at all.
func (b *RetryBudget) ownPart() float64 {
	own, all := 0.0, 0.0
	for i := range b.requests {
		own, all = own+b.ownRequests[i], all+b.requests[i]
	}
	return min(1, own/max(1, all))
}

// refill adds to level what has become available of perWindow retries, and returns how many can accumulate: at least one, so that
// VMs with few requests have retries too.
func (b *RetryBudget) refill(now time.Time, perWindow float64) (most float64) {
	elapsed := max(0, now.Sub(b.levelAt).Seconds()) / b.window.Seconds()
	most = max(1, burstShare*perWindow)
	b.level, b.levelAt = min(b.level+paceShare*perWindow*elapsed, most), now
	return most
}

// isWithinWindows reports whether one more retry keeps every window that includes the present within its limit. The requests of a
// window are those in it, in the window before it or in the one half a window before it, whichever are most.
func (b *RetryBudget) isWithinWindows(slack float64) bool {
	retries := 1.0
	for start := b.current; start > b.current-bucketsPerWindow; start-- {
		retries += b.retries[b.index(start)]
		if retries > max(1, usedRatioShare*b.ratio*b.reference(start)+slack) {
			return false
		}
	}
	return true
}

// reference returns the number of requests that determines how many retries the window that begins with an interval may have.
func (b *RetryBudget) reference(start int64) float64 {
	return max(
		b.sum(start, start+bucketsPerWindow), b.sum(start-bucketsPerWindow, start),
		b.sum(start-bucketsPerWindow/2, start+bucketsPerWindow/2),
	)
}

// sum returns the number of requests from the interval from up to, not including, the interval to.
func (b *RetryBudget) sum(from, to int64) float64 {
	total := 0.0
	for i := max(from, b.current-historyBuckets+1); i < min(to, b.current+1); i++ {
		total += b.requests[b.index(i)]
	}
	return total
}

func (b *RetryBudget) index(bucket int64) int64 { return bucket % historyBuckets }

// advance clears the intervals that have expired.
func (b *RetryBudget) advance(now time.Time) {
	bucket := historyBuckets + int64(now.Sub(b.startedAt)/(b.window/bucketsPerWindow))
	if bucket <= b.current {
		return
	}
	for i := max(b.current, bucket-historyBuckets) + 1; i <= bucket; i++ {
		at := b.index(i)
		b.requests[at], b.ownRequests[at], b.retries[at] = 0, 0, 0
	}
	b.current = bucket
	maps.DeleteFunc(b.heard, func(_ string, at time.Time) bool { return now.Sub(at) >= b.window })
}
