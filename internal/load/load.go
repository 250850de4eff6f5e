// Package load sends open-loop load through the system and checks each answer. Arrivals follow a seeded Poisson
// process and do not wait for answers; latency counts from the planned arrival, so that a stall is not left out.
package load

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/primroseladder/primroseladder/client"
	"github.com/primroseladder/primroseladder/internal/outcome"
	"github.com/primroseladder/primroseladder/internal/standin/backendserver"
)

// Plan is what to send.
type Plan struct {
	Service string
	// Target is the path of the requests.
	Target string
	// Rate is the arrivals a second.
	Rate float64
	// Duration is how long requests arrive.
	Duration time.Duration
	// NonIdempotentPercent of the requests are POSTs with an idempotency key.
	NonIdempotentPercent int
	// Organisations is how many organisations send.
	Organisations int
	// GreedyPercent of the requests come from one more organisation, Greedy.
	GreedyPercent int
	Seed          uint64
	// Timeout is the time a caller waits for an answer.
	Timeout time.Duration
}

// Sent is one request and how it ended.
type Sent struct {
	ID string `json:"id"`
	// Idempotent is false for a request with an idempotency key, which is then its ID.
	Idempotent bool   `json:"idempotent"`
	Outcome    string `json:"outcome"`
	Reason     string `json:"reason,omitempty"`
	Status     int    `json:"status"`
	// Whole is set where the answer is the one to this request, byte for byte.
	Whole bool `json:"whole"`
	Sends int  `json:"sends"`
	// Organisation is who sent it.
	Organisation string `json:"organisation"`
	// EndedMS is when the result was known, in milliseconds from the begin of the load.
	EndedMS   int64 `json:"ended_ms"`
	LatencyUS int64
	AddedUS   int64
	// ServiceUS is the time in the backend server.
	ServiceUS int64
}

// Report is what came of a plan.
type Report struct {
	Requests []Sent
	// Latency and Added are in microseconds. Added leaves out the time in the backend server.
	Latency *hdrhistogram.Histogram
	Added   *hdrhistogram.Histogram
	// Service is the time in the backend servers in microseconds.
	Service *hdrhistogram.Histogram
}

// Greedy is the organisation that sends more than the others.
const Greedy = "greedy"

const maxLatencyUS = 60_000_000

// Run carries out the plan. The clients, one for each region in which callers sit, send in turns.
func Run(ctx context.Context, clients []*client.Client, p Plan) *Report {
	random := rand.New(rand.NewPCG(p.Seed, p.Seed))
	report := &Report{
		Latency: hdrhistogram.New(1, maxLatencyUS, 3), Added: hdrhistogram.New(1, maxLatencyUS, 3),
		Service: hdrhistogram.New(1, maxLatencyUS, 3),
	}
	var mu sync.Mutex
	var wg sync.WaitGroup
	begin := time.Now()
	at := time.Duration(0)
	for n := 0; ; n++ {
		at += time.Duration(random.ExpFloat64() / p.Rate * float64(time.Second))
		if at > p.Duration || ctx.Err() != nil {
			break
		}
		req := p.request(n, random)
		c := clients[n%len(clients)]
		due := begin.Add(at)
		Until(due)
		wg.Go(func() {
			sent := sendOne(ctx, c, req, due)
			sent.EndedMS = time.Since(begin).Milliseconds()
			mu.Lock()
			defer mu.Unlock()
			report.add(sent)
		})
	}
	wg.Wait()
	return report
}

func (p Plan) request(n int, random *rand.Rand) client.Request {
	id := fmt.Sprintf("%x-%d", p.Seed, n)
	r := client.Request{
		Service: p.Service, Method: http.MethodGet, Target: p.Target + "?n=" + strconv.Itoa(n), Timeout: p.Timeout,
		Header:       http.Header{backendserver.LoadIDHeader: {id}},
		Organisation: "org-" + strconv.Itoa(random.IntN(max(1, p.Organisations))),
	}
	if p.GreedyPercent > 0 && random.IntN(100) < p.GreedyPercent {
		r.Organisation = Greedy
	}
	if random.IntN(100) < p.NonIdempotentPercent {
		r.Method = http.MethodPost
		r.Key = id
		r.Body = []byte("work " + id)
	}
	return r
}

func sendOne(ctx context.Context, c *client.Client, r client.Request, due time.Time) Sent {
	result, err := c.Do(ctx, r)
	sent := Sent{
		ID: r.Header.Get(backendserver.LoadIDHeader), Idempotent: r.Key == "", Organisation: r.Organisation,
		LatencyUS: time.Since(due).Microseconds(),
	}
	if err != nil {
		sent.Outcome, sent.Reason = string(outcome.NotRun), "no-address"
		return sent
	}
	sent.Outcome, sent.Reason, sent.Status, sent.Sends = result.Outcome, result.Reason, result.Status, result.Sends
	sent.Whole = backendserver.IsCorrectAnswer(string(result.Body), r.Method, r.Target, string(r.Body))
	served, _ := strconv.ParseInt(result.Header.Get(backendserver.ServiceTimeHeader), 10, 64)
	sent.ServiceUS = served
	sent.AddedUS = max(1, sent.LatencyUS-served)
	return sent
}

func (r *Report) add(s Sent) {
	r.Requests = append(r.Requests, s)
	if s.Outcome != string(outcome.Done) {
		return
	}
	_ = r.Latency.RecordValue(min(s.LatencyUS, maxLatencyUS))
	_ = r.Added.RecordValue(min(s.AddedUS, maxLatencyUS))
	_ = r.Service.RecordValue(min(s.ServiceUS, maxLatencyUS))
}
