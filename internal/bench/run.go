package bench

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/primroseladder/primroseladder/internal/load"
)

// Plan describes one run.
type Plan struct {
	// Addresses are assigned to the connections in turn.
	Addresses []string
	Path      string
	// Rate is the number of arrivals a second. At 0 each connection sends its next request when it has the last answer.
	Rate        float64
	Duration    time.Duration
	Connections int
	// NonIdempotent makes the requests POSTs, each with its own idempotency key, in place of GETs.
	NonIdempotent bool
	Seed          uint64
}

// Result is the result of a run, or the sum of several runs.
type Result struct {
	Done   int64
	Failed int64
	// Reasons counts the failed requests by reason.
	Reasons map[string]int64
	Elapsed time.Duration
	// Latency is measured in microseconds from the planned arrival, so that it includes the time for which a request
	// waits for a connection. In a run without a rate it is measured from when a connection takes the request. It covers
	// successful requests only.
	Latency *hdrhistogram.Histogram
}

// PerSecond returns the number of successful requests a second.
func (r *Result) PerSecond() float64 { return float64(r.Done) / r.Elapsed.Seconds() }

// Add adds the counts, the duration and the latencies of another run.
func (r *Result) Add(other *Result) {
	r.Done += other.Done
	r.Failed += other.Failed
	for reason, n := range other.Reasons {
		r.Reasons[reason] += n
	}
	r.Elapsed += other.Elapsed
	r.Latency.Merge(other.Latency)
}

const maxLatencyUS = 60_000_000

// NewResult returns an empty result.
func NewResult() *Result {
	return &Result{Reasons: map[string]int64{}, Latency: hdrhistogram.New(1, maxLatencyUS, 3)}
}

// arrival is a request with its planned time. The time is zero in a run without a rate.
type arrival struct {
	at      time.Time
	request request
}

// runCount numbers the runs of the process, so that each has its own arrivals and idempotency keys.
var runCount atomic.Uint64

// Run runs the plan and returns its result. It ends early if ctx ends.
func Run(ctx context.Context, p Plan) *Result {
	arrivals := make(chan arrival, 4*p.Connections)
	run := runCount.Add(1)
	results := make([]*Result, p.Connections)
	var wg sync.WaitGroup
	for i := range results {
		results[i] = NewResult()
		wg.Go(func() { sendArrivals(p.Addresses[i%len(p.Addresses)], arrivals, results[i]) })
	}
	begin := time.Now()
	p.generateArrivals(ctx, begin, run, arrivals)
	close(arrivals)
	wg.Wait()
	total := NewResult()
	for _, r := range results {
		total.Add(r)
	}
	total.Elapsed = time.Since(begin)
	return total
}

// generateArrivals sends the requests of a Poisson process to out at their times. Without a rate it sends them as fast as
// they are received from out.
func (p Plan) generateArrivals(ctx context.Context, begin time.Time, run uint64, out chan<- arrival) {
	random := rand.New(rand.NewPCG(p.Seed, run))
	at := time.Duration(0)
	for n := 0; ctx.Err() == nil; n++ {
		a := arrival{request: request{path: p.Path, number: n}}
		if p.NonIdempotent {
			a.request.key = fmt.Sprintf("bench-%d-%d-%d", p.Seed, run, n)
		}
		if p.Rate > 0 {
			at += time.Duration(random.ExpFloat64() / p.Rate * float64(time.Second))
			a.at = begin.Add(at)
			load.SleepUntil(a.at)
		}
		if time.Since(begin) > p.Duration {
			return
		}
		out <- a
	}
}

func sendArrivals(address string, arrivals <-chan arrival, result *Result) {
	conn := &connection{address: address}
	defer conn.close()
	for a := range arrivals {
		if a.at.IsZero() {
			a.at = time.Now()
		}
		if err := conn.roundTrip(a.request); err != nil {
			result.Failed++
			result.Reasons[conn.reason]++
			continue
		}
		result.Done++
		_ = result.Latency.RecordValue(min(maxLatencyUS, max(1, time.Since(a.at).Microseconds())))
	}
}
