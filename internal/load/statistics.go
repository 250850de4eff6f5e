package load

import (
	"slices"
	"time"

	"github.com/primroseladder/primroseladder/internal/outcome"
)

// ServedWithin returns how many requests were served within the duration d from the start of the load.
func (r *Report) ServedWithin(d time.Duration) int {
	return r.count(func(s Sent) bool {
		return s.Outcome == string(outcome.Done) && s.EndedMS <= d.Milliseconds()
	})
}

// GoodputPercent returns the requests served within the duration d from the start of the load, in percent of those that the
// given number of slots can serve in that time at the measured mean service time.
func (r *Report) GoodputPercent(slots int, d time.Duration) int {
	capacity := float64(slots) * float64(d.Microseconds()) / max(1, r.Service.Mean())
	return int(100 * float64(r.ServedWithin(d)) / capacity)
}

// ServedForOrganisation returns how many requests of an organisation were served.
func (r *Report) ServedForOrganisation(organisation string) int {
	return r.count(func(s Sent) bool {
		return s.Outcome == string(outcome.Done) && s.Organisation == organisation
	})
}

// LowestServedPercent returns the lowest percentage of served requests of any organisation except Greedy.
func (r *Report) LowestServedPercent() int {
	sent, served := map[string]int{}, map[string]int{}
	for _, s := range r.Requests {
		if s.Organisation == Greedy {
			continue
		}
		sent[s.Organisation]++
		if s.Outcome == string(outcome.Done) {
			served[s.Organisation]++
		}
	}
	lowest := 100
	for organisation, n := range sent {
		lowest = min(lowest, 100*served[organisation]/n)
	}
	return lowest
}

// RefusalLatencyP99US returns the 99th percentile of the latency of refusals in microseconds, or 0 if there are none. It counts
// only requests that the client sent once.
func (r *Report) RefusalLatencyP99US() int64 {
	var latencies []int64
	for _, s := range r.Requests {
		if s.Outcome == string(outcome.NotRun) && s.Sends == 1 {
			latencies = append(latencies, s.LatencyUS)
		}
	}
	if len(latencies) == 0 {
		return 0
	}
	slices.Sort(latencies)
	return latencies[len(latencies)*99/100]
}

// count returns the number of requests that match.
func (r *Report) count(matches func(Sent) bool) int {
	n := 0
	for _, s := range r.Requests {
		if matches(s) {
			n++
		}
	}
	return n
}
