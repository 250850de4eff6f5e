package soak

import (
	"math/rand/v2"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/primroseladder/primroseladder/platform/standin"
)

const (
	// limitWindow, limitFactor and limitSlack bound the requests to a backend server that names a limit: no window may have more
	// than limitFactor times what the limit allows, and limitSlack.
	limitWindow = 4 * time.Second
	limitFactor = 1.5
	limitSlack  = 5
	// toldDelay is how long after an answer a VM is bound by what it says.
	toldDelay = 500 * time.Millisecond
	// pauseLength is the Retry-After of a backend server that turns requests away, and maxInPause the number of requests that
	// may still reach it from a VM that it has told.
	pauseLength = 2 * time.Second
	maxInPause  = 2
	// meanAdviceInterval is the mean time between the starts of two backend servers' advice.
	meanAdviceInterval = 1500 * time.Millisecond
)

// advice is what a backend server says about itself in its answers, and which VMs it has told.
type advice struct {
	isLeaving atomic.Bool
	isPausing atomic.Bool

	mu sync.Mutex
	// limit is the named limit in requests a second, 0 for none. limitedSince is when it was first named.
	limit        float64
	limitedSince time.Time
	told         map[*vm]*toldVM
	arrivals     []arrival
}

// toldVM is what one VM was told. Its times are zero if it was not told.
type toldVM struct {
	leavingAt, limitAt, pauseAt time.Time
	// inPause counts the requests from the VM in its pause.
	inPause int
}

type arrival struct {
	at time.Time
	vm *vm
}

// setLimit names a limit, or none if it is 0.
func (a *advice) setLimit(perSecond float64) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.limit, a.limitedSince, a.arrivals = perSecond, time.Time{}, nil
	for _, told := range a.told {
		told.limitAt = time.Time{}
	}
}

// say adds what the backend server says about itself to the header of an answer.
func (b *backendServer) say(h http.Header) {
	b.advice.mu.Lock()
	defer b.advice.mu.Unlock()
	if b.advice.isLeaving.Load() {
		h.Set(b.headers.Leaving, "1")
	}
	if b.advice.limit > 0 {
		h.Set(b.headers.Limit, strconv.FormatFloat(b.advice.limit, 'f', -1, 64))
	}
}

// turnAway refuses a request of a VM while the backend server wants none. It reports whether it has.
func (b *backendServer) turnAway(w http.ResponseWriter, from *vm) bool {
	if !b.advice.isPausing.Load() {
		return false
	}
	b.advice.mu.Lock()
	told, now := b.advice.toldTo(from), time.Now()
	if now.Sub(told.pauseAt) > pauseLength {
		told.pauseAt, told.inPause = now, 0
	}
	b.advice.mu.Unlock()
	w.Header().Set("Retry-After", strconv.FormatFloat(pauseLength.Seconds(), 'f', -1, 64))
	b.reject(w, http.StatusServiceUnavailable)
	return true
}

// toldTo returns what a VM was told. The caller holds a.mu.
func (a *advice) toldTo(to *vm) *toldVM {
	if a.told == nil {
		a.told = map[*vm]*toldVM{}
	}
	if a.told[to] == nil {
		a.told[to] = &toldVM{}
	}
	return a.told[to]
}

// recordPassedOn records that a VM has passed on an answer in which the backend server says something about itself.
func (b *backendServer) recordPassedOn(by *vm, h http.Header) {
	b.advice.mu.Lock()
	defer b.advice.mu.Unlock()
	told, now := b.advice.toldTo(by), time.Now()
	if h.Get(b.headers.Leaving) != "" {
		told.leavingAt = earlier(told.leavingAt, now)
	}
	if h.Get(b.headers.Limit) != "" && b.advice.limit > 0 {
		told.limitAt, b.advice.limitedSince = earlier(told.limitAt, now), earlier(b.advice.limitedSince, now)
	}
}

// earlier returns at, or now if at is not set.
func earlier(at, now time.Time) time.Time {
	if at.IsZero() {
		return now
	}
	return at
}

// checkAdvice checks that a request which reaches the backend server respects what the server has told its VM. A VM that was
// disturbed since it was told is excused.
func (b *backendServer) checkAdvice(sent *request) {
	a, now := &b.advice, time.Now()
	a.mu.Lock()
	defer a.mu.Unlock()
	a.arrivals = append(a.arrivals, arrival{now, sent.vm})
	told := a.told[sent.vm]
	if told == nil {
		return
	}
	isBound := func(since time.Time) bool {
		return !since.IsZero() && now.Sub(since) > toldDelay && sent.vm.disturbances.isUndisturbed(since.Add(-contactBound), now, true) &&
			b.disturbances.isUndisturbed(since, now, true)
	}
	if isBound(told.leavingAt) && sent.sent.Sub(told.leavingAt) > drainBound {
		b.ledger.recordViolation("DRAIN: request %s reached %s %v after the server had told %s that it leaves",
			sent.id, b.ID, now.Sub(told.leavingAt), sent.vm.Name)
	}
	if isBound(told.pauseAt) && now.Sub(told.pauseAt) < pauseLength {
		if told.inPause++; told.inPause > maxInPause {
			b.ledger.recordViolation("BUDGET: request %s reached %s %v after the server had told %s to wait %v",
				sent.id, b.ID, now.Sub(told.pauseAt), sent.vm.Name, pauseLength)
		}
	}
	a.checkLimit(b, now)
}

// checkLimit checks the last window of arrivals from VMs that had been told of the limit.
func (a *advice) checkLimit(b *backendServer, now time.Time) {
	if a.limit == 0 || a.limitedSince.IsZero() || now.Sub(a.limitedSince) < contactBound+limitWindow {
		return
	}
	counted := 0
	for _, one := range a.arrivals {
		told := a.told[one.vm]
		if now.Sub(one.at) < limitWindow && told != nil && !told.limitAt.IsZero() && one.at.Sub(told.limitAt) >= toldDelay &&
			one.vm.disturbances.isUndisturbed(told.limitAt.Add(-contactBound), now, true) {
			counted++
		}
	}
	if allowed := limitFactor*a.limit*limitWindow.Seconds() + limitSlack; float64(counted) > allowed {
		b.ledger.recordViolation("LIMIT: %s, which has named a limit of %v a second, got %d requests in %v, allowed %v",
			b.ID, a.limit, counted, limitWindow, allowed)
	}
}

// adviceSeed separates the draws of advice from those of faults, so that seeds that failed once keep their faults.
const adviceSeed = 0x5eed

// injectAdvice lets backend servers say things about themselves until the given time, and waits until all have ended.
func (d *deployment) injectAdvice(draw *rand.Rand, end time.Time) {
	var wait sync.WaitGroup
	for {
		time.Sleep(time.Duration(draw.ExpFloat64() * float64(meanAdviceInterval)))
		if time.Now().After(end) {
			break
		}
		kind, length, limit := draw.IntN(3), 2*drawDuration(draw), 0.5+4*draw.Float64()
		pick := rand.New(rand.NewPCG(draw.Uint64(), 1))
		wait.Go(func() { d.advise(kind, length, limit, pick) })
	}
	wait.Wait()
}

// advise lets one backend server name a limit, turn requests away or leave, for a time.
func (d *deployment) advise(kind int, length time.Duration, limit float64, pick *rand.Rand) {
	if kind == 2 {
		if err := d.leaveByAnswers(length, pick); err != nil {
			d.ledger.recordViolation("FAULT: a backend server could not be replaced: %v", err)
		}
		return
	}
	b := pickBackend(d, pick)
	if kind == 0 {
		d.options.Logf("%s names a limit of %.2f for %v", b.ID, limit, length+contactBound+limitWindow)
		b.advice.setLimit(limit)
		time.Sleep(length + contactBound + limitWindow)
		b.advice.setLimit(0)
		return
	}
	d.options.Logf("%s turns requests away for %v", b.ID, length)
	b.advice.isPausing.Store(true)
	time.Sleep(length)
	b.advice.isPausing.Store(false)
}

// leaveByAnswers removes a backend server that says only in its answers that it leaves. Its entry says ready to the end.
func (d *deployment) leaveByAnswers(length time.Duration, pick *rand.Rand) error {
	b := d.removeBackend(pick)
	if b == nil {
		return nil
	}
	d.options.Logf("%s says that it leaves", b.ID)
	b.advice.isLeaving.Store(true)
	time.Sleep(drainBound + length)
	d.store.Delete(standin.ServerKey(b.ID))
	b.drainStored.Store(time.Now().UnixNano())
	time.Sleep(drainBound + time.Second)
	b.crash()
	return d.startServer(b.Service, b.Zone)
}
