package dispatch_test

import (
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/primroseladder/primroseladder/internal/route"
)

// simulateUnhealthyEpisodes gives each backend server unhealthy episodes like those of the standard days of both
// deployments: a healthy one becomes unhealthy at a rate of 0.06 per second, half of the episodes are short and half
// are long. During an episode it fails 87 of 100 requests at once.
func simulateUnhealthyEpisodes(s *sim, length time.Duration, seed uint64) {
	const (
		meanHealthy           = 16 * time.Second
		shortMean             = 2 * time.Second
		longMean              = 8 * time.Second
		unhealthyFailureShare = 0.87
		unhealthyAtStart      = 0.2
	)
	random := rand.New(rand.NewPCG(seed, 4))
	for _, server := range s.servers {
		var transitions []time.Duration
		isUnhealthy := random.Float64() < unhealthyAtStart
		startsUnhealthy := isUnhealthy
		for at := time.Duration(0); at < length; isUnhealthy = !isUnhealthy {
			mean := meanHealthy
			if isUnhealthy {
				mean = []time.Duration{shortMean, longMean}[random.IntN(2)]
			}
			at += time.Duration(random.ExpFloat64() * float64(mean))
			transitions = append(transitions, at)
		}
		server.failing = func(at time.Duration) float64 {
			passed := 0
			for passed < len(transitions) && transitions[passed] <= at {
				passed++
			}
			if startsUnhealthy == (passed%2 == 0) {
				return unhealthyFailureShare
			}
			return healthyFailureShare
		}
	}
}

// TestUnhealthyEpisodes runs a service of 18 backend servers in one region with the unhealthy episodes of the standard
// days.
func TestUnhealthyEpisodes(t *testing.T) {
	const length = 400 * time.Second
	for _, perSecond := range []float64{36, 90} {
		for seed := range uint64(2) {
			synctest.Test(t, func(t *testing.T) {
				s := newSim(t, 18, route.NonIdempotent, true)
				simulateUnhealthyEpisodes(s, length+time.Minute, seed)
				s.load(perSecond, length)
				below, all := s.windowsBelowFloor(length)
				t.Logf("%.0f requests a second: %.2f %% not served, %d of %d windows below the floor",
					perSecond, s.failedPercent(), below, all)
				qt.Check(t, s.failedPercent() < 5, qt.IsTrue)
			})
		}
	}
}
