package health

import (
	"math"
	"slices"
	"time"
)

// failureRate counts results with exponentially decreasing weight.
type failureRate struct {
	failed, total float64
	at            time.Time
}

// rateDecay is the time constant of the weight of old results.
const rateDecay = 10 * time.Second

// decay reduces the weight of the results counted so far.
func (r *failureRate) decay(now time.Time) {
	factor := math.Exp(-float64(now.Sub(r.at)) / float64(rateDecay))
	r.at = now
	r.failed *= factor
	r.total *= factor
}

func (r *failureRate) add(failed bool, now time.Time) {
	r.decay(now)
	r.total++
	if failed {
		r.failed++
	}
}

const (
	// expectedFailureRate is the failure rate of a healthy backend server.
	expectedFailureRate = 0.01
	// unhealthyFailureRate is the failure rate of an unhealthy backend server.
	unhealthyFailureRate = 0.5
)

// commonFailureRate is the failure rate that two thirds of the service's other backend servers reach. Unhealthy ones do
// not raise it as long as they are fewer than two thirds.
func (b *Board) commonFailureRate(s *server, now time.Time) float64 {
	var rates []float64
	for _, other := range b.servers {
		other.rate.decay(now)
		if other != s && other.rate.total >= 1 {
			rates = append(rates, other.rate.failed/other.rate.total)
		}
	}
	if len(rates) == 0 {
		return 0
	}
	slices.Sort(rates)
	return rates[len(rates)/minHealthyDivisor]
}

// failureWeight returns the weight of a failure, from 0 to 1. It falls as the failure rate of the service's other backend
// servers rises: it is the log-likelihood ratio of a failure at that rate, relative to the ratio at expectedFailureRate.
func (b *Board) failureWeight(s *server, now time.Time) float64 {
	rate := min(unhealthyFailureRate, max(expectedFailureRate, b.commonFailureRate(s, now)))
	return math.Log(unhealthyFailureRate/rate) / math.Log(unhealthyFailureRate/expectedFailureRate)
}

// isServiceFailing reports whether the other backend servers fail so often that a failure is little evidence against this
// one.
func (b *Board) isServiceFailing(s *server, now time.Time) bool {
	return b.failureWeight(s, now) < 0.5
}
