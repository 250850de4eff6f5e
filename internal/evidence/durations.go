package evidence

import (
	"math"
	"time"
)

const (
	// serviceWeight is the weight of a new duration in the moving mean of a service: about the last 50 requests count.
	serviceWeight = 0.02
	// serverWeight is the same for a backend server: about the last 5 requests.
	serverWeight = 0.2
	// initialStdDev is the standard deviation of the logarithm of durations that is assumed before there are any.
	initialStdDev = 0.6
	// minStdDev keeps a service with even durations from taking each small delay for a fault.
	minStdDev = 0.25
	// maxStdDevs bounds what one duration can do to the mean and the spread, in standard deviations.
	maxStdDevs = 2.5
	// hangShareUnhealthy is the share of its requests that a sick backend server leaves hanging.
	hangShareUnhealthy = 0.3
	// maxOpenLogRatio bounds the suspicion from open requests. The longest requests of a sound service take five times as
	// long as the usual ones, 1 in 100.
	maxOpenLogRatio = 4.0
	// slowShareHealthy is the share of requests of a sound backend server that take far longer than the others.
	slowShareHealthy = 0.01
	// earlyShare and overdueShare are the shares of successful requests that take longer than an early failure and than an
	// overdue one.
	earlyShare   = 0.97
	overdueShare = 0.03
	// slownessDecayTime is the time constant with which the slowness of a backend server without news is forgotten.
	slownessDecayTime = 5 * time.Second
)

// DurationModel learns how long the requests of a service take, as a log-normal distribution.
type DurationModel struct {
	logMean         float64
	logVariance     float64
	hasObservations bool
}

// NewDurationModel starts from a guess of the usual duration.
func NewDurationModel(guess time.Duration) DurationModel {
	return DurationModel{logMean: math.Log(max(guess.Seconds(), 1e-3)), logVariance: initialStdDev * initialStdDev}
}

func (d *DurationModel) stdDev() float64 { return max(math.Sqrt(d.logVariance), minStdDev) }

// Observe adds the duration of a request that was answered with success.
func (d *DurationModel) Observe(took time.Duration) {
	deviation := math.Log(max(took.Seconds(), 1e-4)) - d.logMean
	limit := maxStdDevs * d.stdDev()
	deviation = min(max(deviation, -limit), limit)
	weight := serviceWeight
	if !d.hasObservations {
		// The first one replaces most of the guess.
		weight, d.hasObservations = 0.5, true
	}
	d.logMean += weight * deviation
	d.logVariance += serviceWeight * (deviation*deviation - d.logVariance)
}

// Mean returns the mean duration.
func (d *DurationModel) Mean() time.Duration {
	return time.Duration(math.Exp(d.logMean+d.logVariance/2) * float64(time.Second))
}

// ExceedProbability returns the probability that a request takes longer than t where it takes factor times as long as usual.
func (d *DurationModel) ExceedProbability(t time.Duration, factor float64) float64 {
	if t <= 0 {
		return 1
	}
	z := (math.Log(t.Seconds()) - d.logMean - math.Log(factor)) / d.stdDev()
	return 0.5 * math.Erfc(z/math.Sqrt2)
}

// Classify tells failures by when they came; other outcomes stay as they are. factor is how many times as long as usual
// the backend server takes.
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

// OpenLogRatio returns the log likelihood ratio, sick against sound, of a request that has been open for an age.
func (d *DurationModel) OpenLogRatio(age time.Duration) float64 {
	exceed := d.ExceedProbability(age, 1)
	if exceed > hangShareUnhealthy {
		return 0
	}
	healthy := (1-slowShareHealthy)*exceed + slowShareHealthy
	unhealthy := hangShareUnhealthy + (1-hangShareUnhealthy)*exceed
	return min(math.Log(unhealthy/healthy), maxOpenLogRatio)
}

// Slowness learns how much slower than its service one backend server is.
type Slowness struct {
	logFactor float64
	at        time.Time
}

// Observe adds the duration of a request against the durations of the service.
func (s *Slowness) Observe(now time.Time, took time.Duration, service *DurationModel) {
	limit := maxStdDevs * service.stdDev()
	deviation := min(max(math.Log(max(took.Seconds(), 1e-4))-service.logMean, -limit), 2*limit)
	current := math.Log(s.Factor(now))
	s.logFactor = current + serverWeight*(deviation-current)
	s.at = now
}

// Factor returns how many times as long as usual the backend server takes.
func (s *Slowness) Factor(now time.Time) float64 {
	if s.at.IsZero() {
		return 1
	}
	age := max(0, now.Sub(s.at).Seconds())
	return math.Exp(s.logFactor * math.Exp(-age/slownessDecayTime.Seconds()))
}
