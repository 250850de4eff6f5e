package health

import (
	"math"
	"slices"
	"time"
)

const (
	// referenceSize is how many latencies of a service are kept.
	referenceSize = 512
	// referenceMin is how many latencies are needed before any request is called slow.
	referenceMin = 64
	// refreshEvery is how many new latencies lead to new quantiles.
	refreshEvery = 32
	// recentSize is how many of the newest latencies, of well and sick alike, tell where the service stands now.
	recentSize = 24
	// shiftEvery is how many new latencies lead to a new shift.
	shiftEvery = 4
	// minSpread is the least spread of the logarithm of latencies.
	minSpread = 0.3
)

// logSlowdown is the logarithm of the slowdown that the test looks for: three times.
var logSlowdown = math.Log(3)

// reference is the distribution of the latencies of the backend servers of one region that look well.
type reference struct {
	logLatencies    []float64
	next            int
	newSinceRefresh int
	median          float64
	lowerThird      float64
	spread          float64
	// recent holds the newest latencies of all backend servers.
	recent     []float64
	recentNext int
	// shift is how much slower the service as a whole is now, as a logarithm.
	shift float64
}

// addRecent takes the latency of a request, whichever backend server it ran on.
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

// addHealthy takes the latency of a request to a backend server that looks well.
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

// refresh takes the spread from two upper quantiles, so that it also holds for a tail heavier than the normal one.
func (r *reference) refresh() {
	r.newSinceRefresh = 0
	sorted := slices.Clone(r.logLatencies)
	slices.Sort(sorted)
	at := func(q float64) float64 { return sorted[int(q*float64(len(sorted)-1))] }
	r.median = at(0.5)
	r.lowerThird = at(1.0 / minHealthyDivisor)
	r.spread = max(minSpread, at(0.84)-r.median, (at(0.975)-r.median)/2)
}

// logLikelihoodRatio is the log-likelihood logLikelihoodRatio of a backend server that is slower by slowShift against one that is well. It is 0
// as long as too little is known.
func (r *reference) logLikelihoodRatio(latency time.Duration) float64 {
	if r.spread == 0 {
		return 0
	}
	// Where the service as a whole has become slower, nobody is slow.
	distance := logOf(latency) - r.median - r.shift
	return logSlowdown / (r.spread * r.spread) * (distance - logSlowdown/2)
}

const (
	// trialFactor times the ordinary latency is how long a trial request may take.
	trialFactor = 10
	// minTrialTime and maxTrialTime bound it.
	minTrialTime = 100 * time.Millisecond
	maxTrialTime = time.Second
)

// trialTimeout returns how long a trial request may take before it goes elsewhere.
func (r *reference) trialTimeout() time.Duration {
	if r.spread == 0 {
		return maxTrialTime
	}
	ordinary := time.Duration(math.Exp(r.median)) * time.Microsecond
	return min(maxTrialTime, max(minTrialTime, trialFactor*ordinary))
}

// isServiceSlow reports whether the service as a whole has become much slower: two thirds of the newest requests took
// longer than was usual for so many.
func (r *reference) isServiceSlow() bool {
	return r.shift > logSlowdown/2
}

func logOf(latency time.Duration) float64 {
	return math.Log(max(float64(latency.Microseconds()), 1))
}
