package health

import (
	"math"
	"slices"
	"time"
)

const (
	// referenceSize is how many latencies a reference keeps.
	referenceSize = 512
	// referenceMin is how many latencies are needed before any request is considered slow.
	referenceMin = 64
	// refreshEvery is how many new latencies trigger a recomputation of the quantiles.
	refreshEvery = 32
	// recentSize is how many of the newest latencies, of healthy and unhealthy backend servers alike, measure the
	// current slowdown of the service.
	recentSize = 24
	// shiftEvery is how many new latencies trigger a recomputation of the slowdown.
	shiftEvery = 4
	// minSpread is the smallest standard deviation assumed for the logarithm of latencies.
	minSpread = 0.3
)

// logSlowdown is the logarithm of the slowdown that the likelihood ratio tests for: three times.
var logSlowdown = math.Log(3)

// reference is the distribution of the latencies of the healthy backend servers of one region. Latencies and their
// quantiles are stored as natural logarithms of microseconds.
type reference struct {
	// logLatencies is a ring buffer, and next the position of its oldest element once it is full.
	logLatencies    []float64
	next            int
	newSinceRefresh int
	median          float64
	// lowerThird is the 1/minHealthyDivisor quantile.
	lowerThird float64
	// spread estimates the standard deviation. It is 0 until referenceMin latencies are known.
	spread float64
	// recent is a ring buffer of the newest latencies of all backend servers.
	recent     []float64
	recentNext int
	// shift is the logarithm of the current slowdown of the service as a whole.
	shift float64
}

// addRecent records the latency of a request to any backend server and updates the shift.
func (r *reference) addRecent(latency time.Duration) {
	value := logOf(latency)
	if len(r.recent) < recentSize {
		r.recent = append(r.recent, value)
	} else {
		r.recent[r.recentNext] = value
		r.recentNext = (r.recentNext + 1) % recentSize
	}
	if r.recentNext%shiftEvery != 0 {
		return
	}
	var sorted [recentSize]float64
	n := copy(sorted[:], r.recent)
	slices.Sort(sorted[:n])
	r.shift = 0
	if r.spread > 0 && n == recentSize {
		r.shift = max(0, sorted[n/minHealthyDivisor]-r.lowerThird)
	}
}

// addHealthy records the latency of a request to a backend server that is considered healthy.
func (r *reference) addHealthy(latency time.Duration) {
	value := logOf(latency)
	if len(r.logLatencies) < referenceSize {
		r.logLatencies = append(r.logLatencies, value)
	} else {
		r.logLatencies[r.next] = value
		r.next = (r.next + 1) % referenceSize
	}
	r.newSinceRefresh++
	if r.newSinceRefresh >= refreshEvery && len(r.logLatencies) >= referenceMin {
		r.refresh()
	}
}

// refresh recomputes the quantiles. The spread is the larger of the estimates from two upper quantiles, but at least
// minSpread, so that it also fits distributions with a heavier tail than the normal one.
func (r *reference) refresh() {
	r.newSinceRefresh = 0
	sorted := slices.Clone(r.logLatencies)
	slices.Sort(sorted)
	at := func(q float64) float64 { return sorted[int(q*float64(len(sorted)-1))] }
	r.median = at(0.5)
	r.lowerThird = at(1.0 / minHealthyDivisor)
	r.spread = max(minSpread, at(0.84)-r.median, (at(0.975)-r.median)/2)
}

// logLikelihoodRatio compares two hypotheses for a latency: a backend server slower by logSlowdown against a healthy one.
// It is 0 until enough latencies are known.
func (r *reference) logLikelihoodRatio(latency time.Duration) float64 {
	if r.spread == 0 {
		return 0
	}
	// A slowdown of the service as a whole is not evidence against one backend server.
	distance := logOf(latency) - r.median - r.shift
	return logSlowdown / (r.spread * r.spread) * (distance - logSlowdown/2)
}

const (
	// trialFactor is the time limit of a trial request as a multiple of the median latency.
	trialFactor = 10
	// minTrialTime and maxTrialTime bound the time limit.
	minTrialTime = 100 * time.Millisecond
	maxTrialTime = time.Second
)

// trialTimeout returns how long a trial request may take before it is sent to another backend server.
func (r *reference) trialTimeout() time.Duration {
	if r.spread == 0 {
		return maxTrialTime
	}
	median := time.Duration(math.Exp(r.median)) * time.Microsecond
	return min(maxTrialTime, max(minTrialTime, trialFactor*median))
}

// isServiceSlow reports whether the service as a whole has become much slower: the 1/3 quantile of the newest latencies
// exceeds the usual one by a factor of more than the square root of 3, whose logarithm is half of logSlowdown.
func (r *reference) isServiceSlow() bool {
	return r.shift > logSlowdown/2
}

// logOf returns the natural logarithm of the latency in microseconds.
func logOf(latency time.Duration) float64 {
	return math.Log(max(float64(latency.Microseconds()), 1))
}
