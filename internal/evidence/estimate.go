// Package evidence estimates from the outcomes of requests how likely the next request to a backend server fails, and
// how long it takes.
//
// Each backend server is modelled as healthy or unhealthy. Unhealthy servers fail most of their requests at once and
// recover after some seconds; healthy ones fail occasionally. The estimate is the probability of being unhealthy: each
// outcome shifts it by a likelihood ratio, and without outcomes it decays to a baseline. No outcome excludes a backend
// server for good, and without evidence all are equal. Types of this package are not safe for concurrent use.
package evidence

import (
	"math"
	"time"
)

// Outcome is the result of a request at a backend server.
type Outcome uint8

// The outcomes of requests. VMs send these numbers to each other.
const (
	// Success is a complete answer that reports success.
	Success Outcome = iota
	// Failure is an answer that reports failure, or a connection that broke after the request was sent.
	// DurationModel.Classify turns it into EarlyFailure or UsualFailure if its duration fits.
	Failure
	// Garbled is an answer that cannot be used.
	Garbled
	// Unreachable means that no connection could be established.
	Unreachable
	// Shed means that the backend server refused to run the request.
	Shed
	// Hung means that the request got no answer for longer than nearly all others take.
	Hung
	// EarlyFailure is a failure long before requests usually end. Unhealthy backend servers fail at once.
	EarlyFailure
	// UsualFailure is a failure after about as long as a request usually takes. Healthy backend servers occasionally
	// fail this way.
	UsualFailure
	// NumOutcomes is the number of outcomes.
	NumOutcomes
)

// String returns the outcome's name in logs and metrics.
func (o Outcome) String() string {
	return [...]string{"success", "failure", "garbled", "unreachable", "shed", "hung", "early failure", "usual failure"}[o]
}

// logRatios are the log likelihood ratios, unhealthy against healthy, of the outcomes. A healthy backend server fails
// about 1 in 80 requests, nearly all of them when the request would have ended; an unhealthy one fails 1 to 9 in 10
// requests, most of them at once. (In 43,000 requests of day trouble-1 of the grown Cristal Brillante, the next request
// failed in 82 of 100 cases after a failure within 60 ms, and in 7 after a later one.)
var logRatios = map[Outcome]float64{
	Success:      -1.2,
	Failure:      3.8,
	Garbled:      2.5,
	Unreachable:  4.5,
	Shed:         1.5,
	Hung:         3.5,
	EarlyFailure: 7,
	// A backend server that fails only this way is still detected within three requests.
	UsualFailure: 2,
}

const (
	// baselineUnhealthy is the share of backend servers that are unhealthy at a usual moment.
	baselineUnhealthy = 0.2
	// baselinePathUnhealthy is the share of network paths that are faulty at a usual moment.
	baselinePathUnhealthy = 0.01
	// maxBaselineUnhealthy limits the baseline of a backend server with many unhealthy episodes.
	maxBaselineUnhealthy = 0.5
	// episodeWeight is how much each past unhealthy episode raises the baseline of a backend server.
	episodeWeight = 0.08
	// episodeDecayTime is the time constant with which the count of past episodes decays.
	episodeDecayTime = 60 * time.Second
	// recoveryTime is the time constant with which the estimate of an unhealthy backend server falls to the baseline:
	// of those that failed at once, half failed again 2 s later, two fifths after 4 s and a quarter after 8 s (four
	// standard days).
	recoveryTime = 6 * time.Second
	// pathRecoveryTime is the same for a network path. It is longer because a request on a path that is still cut hangs
	// until its deadline.
	pathRecoveryTime = 9 * time.Second
	// relapseTime is the time constant with which the estimate of a healthy backend server rises to the baseline: 1.3 s
	// after a success, 5 to 11 of 100 failed at once.
	relapseTime = 3 * time.Second
	// pathRelapseTime is the same for a network path.
	pathRelapseTime = 8 * time.Second
	// minUnhealthy and maxUnhealthy limit the estimate, so that it follows a change within a few outcomes.
	minUnhealthy = 0.004
	maxUnhealthy = 0.985
	// failureShareUnhealthy is the share of its requests that an unhealthy backend server fails.
	failureShareUnhealthy = 0.85
	// failureShareHealthy is the share of its requests that a healthy backend server fails.
	failureShareHealthy = 0.012
	// MinFailureProbability is the least value of FailureProbability of a backend server.
	MinFailureProbability = failureShareHealthy
	// episodeThreshold is the unhealthy probability above which an unhealthy episode begins.
	episodeThreshold = 0.6
)

// HealthEstimate estimates the health of one backend server, or of the network path to it. The zero value is a backend
// server without any evidence.
type HealthEstimate struct {
	unhealthy float64
	updatedAt time.Time
	episodes  float64
	inEpisode bool
	isPath    bool
}

// NewPathEstimate returns an estimate for the network path from this VM to a backend server. Paths are rarely faulty,
// and the evidence of other VMs does not apply to them.
func NewPathEstimate() HealthEstimate { return HealthEstimate{isPath: true} }

// baseline returns the unhealthy probability that the estimate decays to.
func (e *HealthEstimate) baseline() float64 {
	if e.isPath {
		return baselinePathUnhealthy
	}
	return min(baselineUnhealthy+episodeWeight*e.episodes, maxBaselineUnhealthy)
}

// UnhealthyProbability returns the probability that the backend server or the path is unhealthy.
func (e *HealthEstimate) UnhealthyProbability(now time.Time) float64 {
	if e.updatedAt.IsZero() {
		return e.baseline()
	}
	age := max(0, now.Sub(e.updatedAt).Seconds())
	baseline := e.baseline()
	return baseline + (e.unhealthy-baseline)*math.Exp(-age/e.timeConstant(baseline).Seconds())
}

// timeConstant returns the time constant with which the estimate decays to the baseline.
func (e *HealthEstimate) timeConstant(baseline float64) time.Duration {
	isAboveBaseline := e.unhealthy > baseline
	switch {
	case isAboveBaseline && e.isPath:
		return pathRecoveryTime
	case isAboveBaseline:
		return recoveryTime
	case e.isPath:
		return pathRelapseTime
	default:
		return relapseTime
	}
}

// Observe updates the estimate with the outcome of a request. weight scales its log likelihood ratio: 1 for full
// weight, less for outcomes that a faulty network path can cause.
func (e *HealthEstimate) Observe(now time.Time, o Outcome, weight float64) {
	e.applyLogRatio(now, logRatios[o]*weight)
}

// Adopt replaces the estimate by that of another VM unless it is based on an outcome younger than maxAge.
func (e *HealthEstimate) Adopt(now time.Time, unhealthy float64, maxAge time.Duration) {
	if !e.updatedAt.IsZero() && now.Sub(e.updatedAt) < maxAge {
		return
	}
	e.decayEpisodes(now)
	e.unhealthy, e.updatedAt = min(max(unhealthy, minUnhealthy), maxUnhealthy), now
}

// applyLogRatio shifts the estimate by a log likelihood ratio.
func (e *HealthEstimate) applyLogRatio(now time.Time, logRatio float64) {
	p := min(max(e.UnhealthyProbability(now), minUnhealthy), maxUnhealthy)
	odds := p / (1 - p) * math.Exp(logRatio)
	e.decayEpisodes(now)
	e.unhealthy = min(max(odds/(1+odds), minUnhealthy), maxUnhealthy)
	e.updatedAt = now
	switch {
	case e.unhealthy > episodeThreshold && !e.inEpisode:
		e.inEpisode = true
		e.episodes++
	case e.unhealthy < baselineUnhealthy:
		e.inEpisode = false
	}
}

func (e *HealthEstimate) decayEpisodes(now time.Time) {
	if !e.updatedAt.IsZero() {
		e.episodes *= math.Exp(-max(0, now.Sub(e.updatedAt).Seconds()) / episodeDecayTime.Seconds())
	}
}

// FailureProbability returns the probability that the next request fails. openLogRatio is the log likelihood ratio of
// the requests that are still open, see DurationModel.OpenLogRatio.
func (e *HealthEstimate) FailureProbability(now time.Time, openLogRatio float64) float64 {
	p := min(max(e.UnhealthyProbability(now), minUnhealthy), maxUnhealthy)
	odds := p / (1 - p) * math.Exp(openLogRatio)
	p = odds / (1 + odds)
	if e.isPath {
		return p * failureShareUnhealthy
	}
	return p*failureShareUnhealthy + (1-p)*failureShareHealthy
}
