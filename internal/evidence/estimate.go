// Package evidence estimates from the outcomes of requests how likely the next request to a backend server fails, and
// how long it takes.
//
// Each backend server is taken for sound or sick. Sick servers fail most of their work at once and recover after some
// seconds; sound ones fail now and then. The estimate is the probability of being sick: each outcome moves it by its
// likelihood ratio, and time moves it back to what is usual. No outcome takes a backend server out of service for good,
// and without evidence all are equal. Types of this package are not safe for use by several goroutines.
package evidence

import (
	"math"
	"time"
)

// Outcome is what became of a request at a backend server.
type Outcome uint8

// The outcomes of requests.
const (
	// Success is a whole answer of the backend server that reports success.
	Success Outcome = iota
	// Failure is an answer that reports failure, or a connection that broke after the request was sent. See
	// Durations.Classify for when it is one of the kinds below.
	Failure
	// Garbled is an answer that cannot be used.
	Garbled
	// Unreachable means that no connection could be made.
	Unreachable
	// Shed means that the backend server has refused to run the request.
	Shed
	// Hung means that a request has gone without an answer for longer than nearly all others.
	Hung
	// EarlyFailure is a failure long before work ends: a sick backend server fails at once.
	EarlyFailure
	// UsualFailure is a failure after as long as work takes: sound backend servers fail so now and then.
	UsualFailure
	// NumOutcomes is one above the last outcome.
	NumOutcomes
)

// String returns the outcome's name in logs and metrics.
func (o Outcome) String() string {
	return [...]string{"success", "failure", "garbled", "unreachable", "shed", "hung", "early failure", "usual failure"}[o]
}

// logRatios are the logarithms of how much likelier each outcome is at a sick backend server than at a sound one. A
// sound server fails about 1 in 80 requests, nearly all of them when the work would have ended, and a sick one 1 to 9 in 10
// of them, most at once. (43,000 requests of trouble-1 of the grown Cristal Brillante: after a failure within 60 ms the next
// request failed in 82 of 100, after a later one in 7.)
var logRatios = map[Outcome]float64{
	Success:      -1.2,
	Failure:      3.8,
	Garbled:      2.5,
	Unreachable:  4.5,
	Shed:         1.5,
	Hung:         3.5,
	EarlyFailure: 7,
	// A backend server that fails this way only is still found out, within three requests.
	UsualFailure: 2,
}

const (
	// baselineUnhealthy is the share of backend servers that are sick at a usual moment.
	baselineUnhealthy = 0.2
	// baselinePathUnhealthy is the share of paths that are sick at a usual moment.
	baselinePathUnhealthy = 0.01
	// maxBaselineUnhealthy bounds the share that is assumed for a backend server with many episodes.
	maxBaselineUnhealthy = 0.5
	// episodeWeight is what each past episode adds to the probability that a backend server falls sick again.
	episodeWeight = 0.08
	// episodeDecayTime is the time constant with which past episodes are forgotten.
	episodeDecayTime = 60 * time.Second
	// recoveryTime is the time constant with which a sick backend server is taken to recover: of those that failed at once,
	// half failed again 2 s later, two fifths after 4 s and a quarter after 8 s (four standard days).
	recoveryTime = 6 * time.Second
	// pathRecoveryTime is the same for a path. A request on a path that is still cut hangs until its deadline.
	pathRecoveryTime = 9 * time.Second
	// relapseTime is the time constant with which a sound backend server without news is taken to fall sick: 1.3 s after a
	// success 5 to 11 of 100 failed at once.
	relapseTime = 3 * time.Second
	// pathRelapseTime is the same for a path.
	pathRelapseTime = 8 * time.Second
	// minUnhealthy and maxSick bound the estimate, so that a change shows within a few outcomes.
	minUnhealthy = 0.004
	maxUnhealthy = 0.985
	// failureShareUnhealthy is the share of requests that a sick backend server fails.
	failureShareUnhealthy = 0.85
	// failureShareHealthy is the share that a sound one fails.
	failureShareHealthy = 0.012
	// episodeThreshold is the probability from which on a backend server is in an episode.
	episodeThreshold = 0.6
)

// HealthEstimate is the estimate for one backend server. The zero value knows nothing.
type HealthEstimate struct {
	unhealthy float64
	updatedAt time.Time
	episodes  float64
	inEpisode bool
	isPath    bool
}

// NewPathEstimate returns an estimate for the path from one VM to a backend server. Paths are seldom sick, and what other
// VMs see says nothing of them.
func NewPathEstimate() HealthEstimate { return HealthEstimate{isPath: true} }

// baseline is the probability of being sick that the estimate goes back to.
func (e *HealthEstimate) baseline() float64 {
	if e.isPath {
		return baselinePathUnhealthy
	}
	return min(baselineUnhealthy+episodeWeight*e.episodes, maxBaselineUnhealthy)
}

// UnhealthyProbability returns the probability that the backend server is sick.
func (e *HealthEstimate) UnhealthyProbability(now time.Time) float64 {
	if e.updatedAt.IsZero() {
		return e.baseline()
	}
	age := max(0, now.Sub(e.updatedAt).Seconds())
	baseline := e.baseline()
	return baseline + (e.unhealthy-baseline)*math.Exp(-age/e.timeConstant(baseline).Seconds())
}

// timeConstant is the one with which the estimate goes back to what is usual.
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

// Observe takes the outcome of a request into account. Weight 1 stands for full trust; evidence from a path that may be
// at fault itself has less.
func (e *HealthEstimate) Observe(now time.Time, o Outcome, weight float64) {
	e.applyLogRatio(now, logRatios[o]*weight)
}

// applyLogRatio moves the estimate by a log likelihood ratio.
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

// FailureProbability returns the probability that the next request fails. openSuspicion is the log likelihood ratio of
// requests that are still open, see Durations.Suspicion.
func (e *HealthEstimate) FailureProbability(now time.Time, openSuspicion float64) float64 {
	p := min(max(e.UnhealthyProbability(now), minUnhealthy), maxUnhealthy)
	odds := p / (1 - p) * math.Exp(openSuspicion)
	p = odds / (1 + odds)
	if e.isPath {
		return p * failureShareUnhealthy
	}
	return p*failureShareUnhealthy + (1-p)*failureShareHealthy
}
