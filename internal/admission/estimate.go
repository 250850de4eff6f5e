package admission

import (
	"math/rand/v2"
	"time"
)

const (
	// firstServiceTime is the estimate before the first measurement.
	firstServiceTime = 50 * time.Millisecond
	// smoothing is the weight of a new service time in the exponential moving average.
	smoothing = 0.1
	// maxRetryAfter is the longest Retry-After for a refused caller, before jitter.
	maxRetryAfter = 60 * time.Second
	// overbooking is how many refused callers are scheduled to retry for each one that can be served, so that the queue
	// does not run empty if some retry late or never.
	overbooking = 1.25
	// minRetryAfter is the shortest Retry-After, before jitter. It prevents immediate retries.
	minRetryAfter = 200 * time.Millisecond
)

// Estimator predicts the waiting time of requests from measured service times and from the rate at which the queue is
// served. It also spreads the retries of refused callers over the time in which they can be served.
type Estimator struct {
	serviceTime time.Duration
	// deviation is the smoothed mean absolute deviation of service times.
	deviation time.Duration
	// rate is how many requests per second were served while others waited. It is 0 if none waited recently.
	rate float64
	// windowStart and windowCount measure the rate of the current window.
	windowStart time.Time
	windowCount int
	// nextRetry is the earliest retry time that the next refused caller can be given.
	nextRetry time.Time
}

// waitMargin is the factor by which the predicted wait exceeds the expected one, so that few requests wait and then miss
// their deadline.
const waitMargin = 1.5

// rateWindow is the shortest time over which the rate is measured.
const rateWindow = 250 * time.Millisecond

// NewEstimator returns an Estimator without measurements.
func NewEstimator() *Estimator { return &Estimator{serviceTime: firstServiceTime} }

// Record records the service time of a finished request, and whether other requests are waiting.
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

// LongServiceTime returns a service time that few requests exceed: the mean plus two deviations.
func (e *Estimator) LongServiceTime() time.Duration { return e.serviceTime + 2*e.deviation }

// interval returns the expected time between the completions of two requests: from the measured rate if there is one,
// otherwise from the service time and the concurrency.
func (e *Estimator) interval(concurrency int) time.Duration {
	if e.rate > 0 {
		return time.Duration(float64(time.Second) / e.rate)
	}
	return e.serviceTime / time.Duration(max(1, concurrency))
}

// PredictWait returns how long a request will wait. The parameter ahead is the number of requests that are served before
// it, and concurrency the largest number that are served at a time.
func (e *Estimator) PredictWait(ahead, concurrency int) time.Duration {
	expected := e.interval(concurrency) * time.Duration(ahead+1)
	return time.Duration(waitMargin * float64(expected))
}

// RetryAfter returns the delay after which a caller that is refused now should retry. Each refused caller gets a later
// time than the previous one, up to maxRetryAfter, so that the callers return at about the rate at which they can be
// served. The delay is randomised by up to 1/8 in either direction.
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

// retryInterval returns the time between the retries of two refused callers.
func (e *Estimator) retryInterval(concurrency int) time.Duration {
	return time.Duration(float64(e.interval(concurrency)) / overbooking)
}
