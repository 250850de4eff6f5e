package load

import (
	"slices"
	"time"

	"github.com/primroseladder/primroseladder/internal/outcome"
)

// ServedWithin returns how many requests were served so long after the begin of the load.
func (r *Report) ServedWithin(d time.Duration) int {
	return r.count(func(s Sent) bool {
		return s.Outcome == string(outcome.Done) && s.EndedMS <= d.Milliseconds()
	})
}

// GoodputPercent returns what was served so long after the begin of the load, as a share of what so many slots can
// serve in that time at the measured mean service time.
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

// LowestServedPercent returns the lowest share in percent, over the organisations but Greedy, of their requests that were
// served.
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
	fewest := 100
	for organisation, n := range sent {
		fewest = min(fewest, 100*served[organisation]/n)
	}
	return fewest
}

// RefusalLatencyP99US returns the time to a refusal in microseconds at the 99th percentile, over requests that were sent once.
func (r *Report) RefusalLatencyP99US() int64 {
	var times []int64
	for _, s := range r.Requests {
		if s.Outcome == string(outcome.NotRun) && s.Sends == 1 {
			times = append(times, s.LatencyUS)
		}
	}
	if len(times) == 0 {
		return 0
	}
	slices.Sort(times)
	return times[len(times)*99/100]
}

func (r *Report) count(matches func(Sent) bool) int {
	n := 0
	for _, s := range r.Requests {
		if matches(s) {
			n++
		}
	}
	return n
}
