package evidence

import (
	"math"
	"time"
)

const (
	// serviceWeight is the weight of a new duration in the moving mean of a service, which averages about the last 50
	// requests.
	serviceWeight = 0.02
	// serverWeight is the weight of a new duration in the slowness of a backend server, which averages about the last 5
	// requests.
	serverWeight = 0.2
	// initialStdDev is the standard deviation of the logarithm of durations before the first observations.
	initialStdDev = 0.6
	// minStdDev keeps small delays from counting as faults in a service whose durations vary little.
	minStdDev = 0.25
	// maxStdDevs limits, in standard deviations, how far a single duration can move the mean and the variance.
	maxStdDevs = 2.5
	// hangShareUnhealthy is the share of its requests that an unhealthy backend server never answers.
	hangShareUnhealthy = 0.3
	// maxOpenLogRatio limits the evidence from one open request: in a healthy service 1 in 100 requests takes five
	// times as long as usual.
	maxOpenLogRatio = 4.0
	// slowShareHealthy is the share of requests of a healthy backend server that take far longer than the others.
	slowShareHealthy = 0.01
	// A failure is early if more than earlyShare of the successful requests take longer, and overdue if at most
	// overdueShare of them do.
	earlyShare   = 0.97
	overdueShare = 0.03
	// slownessDecayTime is the time constant with which the slowness of a backend server decays without observations.
	slownessDecayTime = 5 * time.Second
)

// DurationModel estimates how long the requests of a service take. It is a log-normal distribution.
type DurationModel struct {
	logMean         float64
	logVariance     float64
	hasObservations bool
}

// NewDurationModel returns a model without observations, whose median is initialMedian.
func NewDurationModel(initialMedian time.Duration) DurationModel {
	return DurationModel{logMean: math.Log(max(initialMedian.Seconds(), 1e-3)), logVariance: initialStdDev * initialStdDev}
}

// Derive returns a model without observations, which is assumed to be like d.
func (d *DurationModel) Derive() DurationModel {
	return DurationModel{logMean: d.logMean, logVariance: d.logVariance}
}

func (d *DurationModel) stdDev() float64 { return max(math.Sqrt(d.logVariance), minStdDev) }

// Observe adds the duration of a successful request.
func (d *DurationModel) Observe(took time.Duration) {
	deviation := math.Log(max(took.Seconds(), 1e-4)) - d.logMean
	limit := maxStdDevs * d.stdDev()
	deviation = min(max(deviation, -limit), limit)
	weight := serviceWeight
	if !d.hasObservations {
		// The first observation counts as much as the initial median.
		weight, d.hasObservations = 0.5, true
	}
	d.logMean += weight * deviation
	d.logVariance += serviceWeight * (deviation*deviation - d.logVariance)
}

// Mean returns the mean duration of the distribution.
func (d *DurationModel) Mean() time.Duration {
	return time.Duration(math.Exp(d.logMean+d.logVariance/2) * float64(time.Second))
}

// ExceedProbability returns the probability that a request takes longer than t on a backend server that takes factor
// times as long as the service.
func (d *DurationModel) ExceedProbability(t time.Duration, factor float64) float64 {
	if t <= 0 {
		return 1
	}
	z := (math.Log(t.Seconds()) - d.logMean - math.Log(factor)) / d.stdDev()
	return 0.5 * math.Erfc(z/math.Sqrt2)
}

// Classify returns the kind of a failure that came after took; it returns other outcomes unchanged. factor is how
// long the backend server takes for a request, as a multiple of what its service takes.
func (d *DurationModel) Classify(o Outcome, took time.Duration, factor float64) Outcome {
	if o != Failure {
		return o
	}
	switch longer := d.ExceedProbability(took, factor); {
	case longer > earlyShare:
		return EarlyFailure
	case longer > overdueShare:
		return UsualFailure
	default:
		return Failure
	}
}

// OpenLogRatio returns the log likelihood ratio, unhealthy against healthy, of a request that has been open for age.
func (d *DurationModel) OpenLogRatio(age time.Duration) float64 {
	exceed := d.ExceedProbability(age, 1)
	if exceed > hangShareUnhealthy {
		return 0
	}
	healthy := (1-slowShareHealthy)*exceed + slowShareHealthy
	unhealthy := hangShareUnhealthy + (1-hangShareUnhealthy)*exceed
	return min(math.Log(unhealthy/healthy), maxOpenLogRatio)
}

// Slowness estimates how much slower one backend server is than its service. The zero value is as fast as the service.
type Slowness struct {
	logFactor float64
	updatedAt time.Time
}

// Observe adds the duration of a successful request, relative to the durations of the service.
func (s *Slowness) Observe(now time.Time, took time.Duration, service *DurationModel) {
	limit := maxStdDevs * service.stdDev()
	deviation := min(max(math.Log(max(took.Seconds(), 1e-4))-service.logMean, -limit), 2*limit)
	current := math.Log(s.Factor(now))
	s.logFactor = current + serverWeight*(deviation-current)
	s.updatedAt = now
}

// Factor returns how long the backend server takes for a request, as a multiple of what its service takes.
func (s *Slowness) Factor(now time.Time) float64 {
	if s.updatedAt.IsZero() {
		return 1
	}
	age := max(0, now.Sub(s.updatedAt).Seconds())
	return math.Exp(s.logFactor * math.Exp(-age/slownessDecayTime.Seconds()))
}
