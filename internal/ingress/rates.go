package ingress

import (
	"math"
	"sync"
	"time"
)

const (
	// rateTimeConstant is the time constant of the rates. Callers keep answers for a second, some for three.
	rateTimeConstant = 2 * time.Second
	// minRate is the rate below which a host is not reported.
	minRate = 1.0
)

// Rates counts the requests a second of each host. It may be used by several goroutines.
type Rates struct {
	mu    sync.Mutex
	hosts map[string]*rate
}

// rate is an exponentially weighted rate at a moment.
type rate struct {
	perSecond float64
	at        time.Time
}

// NewRates returns rates of zero.
func NewRates() *Rates { return &Rates{hosts: map[string]*rate{}} }

// Count counts a request.
func (r *Rates) Count(host string, now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	known := r.hosts[host]
	if known == nil {
		known = &rate{at: now}
		r.hosts[host] = known
	}
	known.decay(now)
	known.perSecond += 1 / rateTimeConstant.Seconds()
}

// Get returns the rates of the hosts that have any, by host.
func (r *Rates) Get(now time.Time) map[string]float64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	out := map[string]float64{}
	for host, known := range r.hosts {
		known.decay(now)
		if known.perSecond >= minRate {
			out[host] = known.perSecond
		}
	}
	return out
}

func (r *rate) decay(now time.Time) {
	r.perSecond *= math.Exp(-max(0, now.Sub(r.at)).Seconds() / rateTimeConstant.Seconds())
	r.at = now
}
