package lag

import (
	"math"
	"runtime/metrics"
	"slices"
	"time"
)

const (
	// schedulerMetric is the distribution of the times that goroutines were ready to run before they ran.
	schedulerMetric = "/sched/latencies:seconds"
	// delayQuantile is the part of the goroutines that wait for no longer than the delay. The runtime samples one in eight.
	delayQuantile = 0.9
	// minSamples is the number of samples that a delay is computed from.
	minSamples = 10
	// maxTakes is how many calls of take may pass until there are enough samples. After that, the scheduler has hardly anything to do.
	maxTakes = 5
)

// schedulerDelay measures how long goroutines that are ready to run wait for the processor.
type schedulerDelay struct {
	sample [1]metrics.Sample
	// counts are those at the start of the current measurement, by bucket, and takes the calls of take since then.
	counts []uint64
	takes  int
	// last is the result of the last measurement.
	last time.Duration
}

// newSchedulerDelay returns a schedulerDelay that measures from now on.
func newSchedulerDelay() schedulerDelay {
	var d schedulerDelay
	d.take()
	return schedulerDelay{counts: d.counts}
}

// take returns the delay of the last measurement, 0 if hardly any goroutine has run.
func (d *schedulerDelay) take() time.Duration {
	d.sample[0].Name = schedulerMetric
	metrics.Read(d.sample[:])
	if d.sample[0].Value.Kind() != metrics.KindFloat64Histogram {
		return 0
	}
	all := d.sample[0].Value.Float64Histogram()
	since := slices.Clone(all.Counts)
	for i, before := range d.counts {
		since[i] -= before
	}
	total := uint64(0)
	for _, n := range since {
		total += n
	}
	d.takes++
	switch {
	case d.counts == nil:
		// The first call.
	case total >= minSamples:
		d.last = quantile(since, total, all.Buckets)
	case d.takes < maxTakes:
		return d.last
	default:
		d.last = 0
	}
	d.counts, d.takes = slices.Clone(all.Counts), 0
	return d.last
}

// quantile returns the lower bound of the bucket that holds delayQuantile of the total, so that no delay is shown that was not there.
func quantile(counts []uint64, total uint64, buckets []float64) time.Duration {
	left := uint64(math.Ceil(delayQuantile * float64(total)))
	for i, n := range counts {
		if n >= left {
			return time.Duration(max(0, buckets[i]) * float64(time.Second))
		}
		left -= n
	}
	return 0
}
