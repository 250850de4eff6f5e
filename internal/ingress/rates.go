package ingress

import (
	"math"
	"sync"
	"time"
)

const (
	// rateTimeConstant is the time constant of the weighted rates. Callers cache the addresses of VMs for a second, some
	// for three.
	rateTimeConstant = 2 * time.Second
	// minRate is the rate, in requests per second, below which a host is not reported.
	minRate = 1.0
	// minObservation is the minimum time over which a rate is measured.
	minObservation = 250 * time.Millisecond
)

// Rates measures the requests per second of each host. It is safe for concurrent use.
type Rates struct {
	mu    sync.Mutex
	hosts map[string]*rate
}

// rate is an exponentially weighted rate.
type rate struct {
	// weighted is the rate at the time at, if the time before since counts as without requests.
	weighted float64
	at       time.Time
	// since is the time of the first request after a time without any.
	since time.Time
}

// NewRates returns Rates without any requests.
func NewRates() *Rates { return &Rates{hosts: map[string]*rate{}} }

// Count adds a request of a host.
func (r *Rates) Count(host string, now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	known := r.hosts[host]
	if known == nil {
		known = &rate{at: now, since: now}
		r.hosts[host] = known
	}
	known.decay(now)
	if known.weighted < minRate/10 {
		known.since = now
	}
	known.weighted += 1 / rateTimeConstant.Seconds()
}

// Get returns the requests per second of each host, without the hosts below minRate.
func (r *Rates) Get(now time.Time) map[string]float64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	out := map[string]float64{}
	for host, known := range r.hosts {
		known.decay(now)
		if perSecond := known.perSecond(); perSecond >= minRate {
			out[host] = perSecond
		}
	}
	return out
}

// perSecond returns the rate over the time since the first request. Without the correction for this time, the rate of a host
// that becomes busy would be underestimated by half for more than a second.
func (r *rate) perSecond() float64 {
	observed := max(r.at.Sub(r.since), minObservation)
	return r.weighted / (1 - math.Exp(-observed.Seconds()/rateTimeConstant.Seconds()))
}

// decay reduces the rate for the time without requests until now.
func (r *rate) decay(now time.Time) {
	r.weighted *= math.Exp(-max(0, now.Sub(r.at)).Seconds() / rateTimeConstant.Seconds())
	r.at = now
}
