package admission

import (
	"math/rand/v2"
	"time"
)

const (
	// firstServiceTime stands for the service time until one was measured.
	firstServiceTime = 50 * time.Millisecond
	// smoothing is the weight of a new service time.
	smoothing = 0.1
	// maxRetryAfter bounds the wait that a refused caller is asked for.
	maxRetryAfter = 60 * time.Second
	// overbooking is how many refused callers are asked back for each one that can be served, so that the queue does
	// not run dry when some come late or not at all.
	overbooking = 1.25
	// minRetryAfter keeps refused callers from coming back at once.
	minRetryAfter = 200 * time.Millisecond
)

// Estimator predicts waits from the service time of finished work and from the rate at which a queue was served, and
// spreads refused callers over the time in which they can be served.
type Estimator struct {
	serviceTime time.Duration
	// deviation is the smoothed distance of service times from their mean.
	deviation time.Duration
	// rate is how many requests a second were served while others waited. It is 0 where nobody waited lately.
	rate float64
	// windowStart and windowCount measure the next rate.
	windowStart time.Time
	windowCount int
	// nextRetry is when the caller that was refused last is asked to come back.
	nextRetry time.Time
}

// waitMargin is how much longer than expected a predicted wait is, so that few requests wait in vain.
const waitMargin = 1.5

// rateWindow is the time over which the rate of a queue is measured.
const rateWindow = 250 * time.Millisecond

// NewEstimator returns an estimate without measurements.
func NewEstimator() *Estimator { return &Estimator{serviceTime: firstServiceTime} }

// Record takes the service time of finished work, and whether others waited meanwhile.
func (e *Estimator) Record(now time.Time, d time.Duration, othersWait bool) {
	difference := d - e.serviceTime
	e.serviceTime += time.Duration(smoothing * float64(difference))
	e.deviation += time.Duration(smoothing * float64(difference.Abs()-e.deviation))
	e.recordRate(now, othersWait)
}

func (e *Estimator) recordRate(now time.Time, othersWait bool) {
	if !othersWait {
		e.rate, e.windowStart = 0, time.Time{}
		return
	}
	if e.windowStart.IsZero() {
		e.windowStart, e.windowCount = now, 0
		return
	}
	e.windowCount++
	if elapsed := now.Sub(e.windowStart); elapsed >= rateWindow {
		e.rate = float64(e.windowCount) / elapsed.Seconds()
		e.windowStart, e.windowCount = now, 0
	}
}

// ServiceTime returns the smoothed service time.
func (e *Estimator) ServiceTime() time.Duration { return e.serviceTime }

// LongServiceTime returns a service time that few requests exceed.
func (e *Estimator) LongServiceTime() time.Duration { return e.serviceTime + 2*e.deviation }

// interval is the time between two requests that are served, while so many are served at a time.
func (e *Estimator) interval(concurrency int) time.Duration {
	if e.rate > 0 {
		return time.Duration(float64(time.Second) / e.rate)
	}
	return e.serviceTime / time.Duration(max(1, concurrency))
}

// PredictWait predicts how long a request with so many ahead of it waits, while so many are served at a time.
func (e *Estimator) PredictWait(ahead, concurrency int) time.Duration {
	expected := e.interval(concurrency) * time.Duration(ahead+1)
	return time.Duration(waitMargin * float64(expected))
}

// RetryAfter returns when the caller refused now should come back. Each refused caller gets a later time than the one
// before, so that they come back at about the rate at which they can be served.
func (e *Estimator) RetryAfter(now time.Time, concurrency int) time.Duration {
	earliest := now.Add(minRetryAfter)
	if e.nextRetry.Before(earliest) {
		e.nextRetry = earliest
	}
	wait := e.nextRetry.Sub(now)
	if wait < maxRetryAfter {
		e.nextRetry = e.nextRetry.Add(e.retryInterval(concurrency))
	}
	wait = min(wait, maxRetryAfter)
	return wait - wait/8 + rand.N(wait/4)
}

// retryInterval is the time between two returns.
func (e *Estimator) retryInterval(concurrency int) time.Duration {
	return time.Duration(float64(e.interval(concurrency)) / overbooking)
}
