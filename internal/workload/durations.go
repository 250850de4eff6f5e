package workload

import (
	"math"
	"time"
)

const (
	// bins is the number of bins of the histogram. Bin i holds the durations from binStart(i) to binStart(i+1).
	bins = 28
	// firstBin is the end of the first bin, and each further one ends 2^(1/binsPerOctave) times as late: the last at 22 s.
	firstBin      = 2 * time.Millisecond
	binsPerOctave = 2
	// maxWeight is the number of observations after which the earlier ones are halved in weight.
	maxWeight = 400
	// priorWeight is the number of observations that what is assumed of a new class counts for.
	priorWeight = 4
	// persistence is the number of observations for which the assumption counts that a request goes on for as long as it
	// has run already.
	persistence = 0.5
)

// Durations is the distribution of how long the requests of one class run on a backend server of usual speed.
type Durations struct {
	counts [bins]float64
	// above[i] is the sum of the counts from bin i on, and sum[i] the sum of their durations in seconds. They are computed
	// when they are needed.
	above, sum [bins + 1]float64
	isCurrent  bool
	observed   int
}

// NewDurations returns a distribution without observations, which is assumed to be log-normal.
func NewDurations(median time.Duration, stdDev float64) Durations {
	var d Durations
	exceed := func(t float64) float64 {
		if t <= 0 {
			return 1
		}
		return 0.5 * math.Erfc(math.Log(t/median.Seconds())/stdDev/math.Sqrt2)
	}
	for i := range d.counts {
		d.counts[i] = priorWeight * (exceed(binStart(i)) - exceed(binStart(i+1)))
	}
	return d
}

// derive returns a distribution for a class without observations, which is assumed to be like d.
func (d *Durations) derive() Durations {
	d.update()
	var out Durations
	for i, count := range d.counts {
		out.counts[i] = priorWeight * count / d.above[0]
	}
	return out
}

// binStart returns the start of bin i in seconds.
func binStart(i int) float64 {
	if i == 0 {
		return 0
	}
	return firstBin.Seconds() * math.Exp2(float64(i-1)/binsPerOctave)
}

// binStarts holds the results of binStart.
var binStarts = func() (out [bins + 1]float64) {
	for i := range out {
		out[i] = binStart(i)
	}
	return out
}()

// binOf returns the bin of a duration in seconds.
func binOf(seconds float64) int {
	if seconds < firstBin.Seconds() {
		return 0
	}
	return min(1+int(binsPerOctave*math.Log2(seconds/firstBin.Seconds())), bins-1)
}

// Observe adds the duration of a successful request.
func (d *Durations) Observe(took time.Duration) {
	d.counts[binOf(took.Seconds())]++
	d.isCurrent = false
	if d.observed++; d.observed >= maxWeight {
		d.observed = maxWeight / 2
		for i := range d.counts {
			d.counts[i] /= 2
		}
	}
}

// update computes above and sum.
func (d *Durations) update() {
	if d.isCurrent {
		return
	}
	d.isCurrent = true
	for i := bins - 1; i >= 0; i-- {
		d.above[i] = d.above[i+1] + d.counts[i]
		d.sum[i] = d.sum[i+1] + d.counts[i]*(binStarts[i]+binStarts[i+1])/2
	}
}

// split returns the weight of the durations above t seconds and their sum.
func (d *Durations) split(t float64) (above, sum float64) {
	d.update()
	if t >= binStarts[bins] {
		return 0, 0
	}
	i := binOf(t)
	part := min((binStarts[i+1]-t)/(binStarts[i+1]-binStarts[i]), 1) * d.counts[i]
	return d.above[i+1] + part, d.sum[i+1] + part*(t+binStarts[i+1])/2
}

// Mean returns the mean duration.
func (d *Durations) Mean() time.Duration {
	d.update()
	return time.Duration(d.sum[0] / d.above[0] * float64(time.Second))
}

// ExceedProbability returns the probability that a request takes longer than t on a backend server that takes factor times
// as long as usual.
func (d *Durations) ExceedProbability(t time.Duration, factor float64) float64 {
	if t <= 0 {
		return 1
	}
	above, _ := d.split(t.Seconds() / factor)
	return above / d.above[0]
}

// Remaining returns how long a request that has run for age is expected to run on, on a backend server that takes factor
// times as long as usual. It grows with an age that few requests reach.
func (d *Durations) Remaining(age time.Duration, factor float64) time.Duration {
	t := max(0, age.Seconds()) / factor
	above, sum := d.split(t)
	left := (sum - above*t + persistence*t) / (above + persistence)
	if t == 0 {
		left = d.sum[0] / d.above[0]
	}
	return time.Duration(left * factor * float64(time.Second))
}
