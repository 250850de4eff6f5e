// Package load sends open-loop load through the system and checks each answer. Arrivals follow a seeded Poisson process and do
// not wait for answers. Latency is measured from the planned arrival, so that a stall counts in full (no coordinated omission).
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

// Plan describes the load to send.
type Plan struct {
	Service string
	// Target is the path of the requests.
	Target string
	// Rate is the mean number of arrivals per second.
	Rate float64
	// Duration is the time from the start of the load to its last arrival.
	Duration time.Duration
	// NonIdempotentPercent is the percentage of requests that are POSTs with an idempotency key. The others are GETs without one.
	NonIdempotentPercent int
	// Organisations is the number of organisations among which the caller of each request is chosen at random.
	Organisations int
	// GreedyPercent is the percentage of requests from an additional organisation, Greedy.
	GreedyPercent int
	// Seed determines the arrivals and the requests.
	Seed uint64
	// Timeout is the time for which a caller waits for an answer.
	Timeout time.Duration
}

// Sent is one request with the result that its caller received.
type Sent struct {
	ID string `json:"id"`
	// Idempotent is false for a request with an idempotency key. The key is then the same as ID.
	Idempotent bool   `json:"idempotent"`
	Outcome    string `json:"outcome"`
	Reason     string `json:"reason,omitempty"`
	// Status is the HTTP status, or 0 if no response arrived.
	Status int `json:"status"`
	// AnswerMatches is set if the body equals, byte for byte, the answer of a simulated backend server to this request.
	AnswerMatches bool `json:"whole"`
	// Sends is how often the client sent the request.
	Sends int `json:"sends"`
	// Organisation is the organisation of the caller.
	Organisation string `json:"organisation"`
	// EndedMS is when the caller received the result, in milliseconds from the start of the load.
	EndedMS int64 `json:"ended_ms"`
	// LatencyUS is the time from the planned arrival to the result, in microseconds.
	LatencyUS int64
	// AddedUS is LatencyUS less ServiceUS, and at least 1. It is 0 if the client returned an error.
	AddedUS int64
	// ServiceUS is the time in the backend server, in microseconds.
	ServiceUS int64
}

// Report is the result of a plan.
type Report struct {
	Requests []Sent
	// Latency, Added and Service are in microseconds and count only requests with the outcome done. Added is the latency without
	// the time in the backend server.
	Latency *hdrhistogram.Histogram
	Added   *hdrhistogram.Histogram
	// Service is the time in the backend server.
	Service *hdrhistogram.Histogram
}

// Greedy is the name of the organisation that sends more requests than the others.
const Greedy = "greedy"

// maxLatencyUS is the highest value of the histograms, one minute in microseconds. Longer times count as this.
const maxLatencyUS = 60_000_000

// Run sends the requests of the plan, distributed round-robin over the clients, and waits for all results. Arrivals end early if
// ctx ends. NewClients returns a client for each region with callers.
func Run(ctx context.Context, clients []*client.Client, p Plan) *Report {
	random := rand.New(rand.NewPCG(p.Seed, p.Seed))
	report := &Report{
		Latency: hdrhistogram.New(1, maxLatencyUS, 3), Added: hdrhistogram.New(1, maxLatencyUS, 3),
		Service: hdrhistogram.New(1, maxLatencyUS, 3),
	}
	var mu sync.Mutex
	var wg sync.WaitGroup
	start := time.Now()
	at := time.Duration(0)
	for n := 0; ; n++ {
		at += time.Duration(random.ExpFloat64() / p.Rate * float64(time.Second))
		if at > p.Duration || ctx.Err() != nil {
			break
		}
		req := p.newRequest(n, random)
		c := clients[n%len(clients)]
		due := start.Add(at)
		SleepUntil(due)
		wg.Go(func() {
			sent := send(ctx, c, req, due)
			sent.EndedMS = time.Since(start).Milliseconds()
			mu.Lock()
			defer mu.Unlock()
			report.add(sent)
		})
	}
	wg.Wait()
	return report
}

// newRequest returns the n-th request of the plan. Its load id, and its key if it has one, are unique to the seed and n.
func (p Plan) newRequest(n int, random *rand.Rand) client.Request {
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

// send sends a request that was due at the given time and returns its result.
func send(ctx context.Context, c *client.Client, r client.Request, due time.Time) Sent {
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
	sent.AnswerMatches = backendserver.IsCorrectAnswer(string(result.Body), r.Method, r.Target, string(r.Body))
	serviceUS, _ := strconv.ParseInt(result.Header.Get(backendserver.ServiceTimeHeader), 10, 64)
	sent.ServiceUS = serviceUS
	sent.AddedUS = max(1, sent.LatencyUS-serviceUS)
	return sent
}

// add adds a request to the report, and to the histograms if its outcome is done.
func (r *Report) add(s Sent) {
	r.Requests = append(r.Requests, s)
	if s.Outcome != string(outcome.Done) {
		return
	}
	_ = r.Latency.RecordValue(min(s.LatencyUS, maxLatencyUS))
	_ = r.Added.RecordValue(min(s.AddedUS, maxLatencyUS))
	_ = r.Service.RecordValue(min(s.ServiceUS, maxLatencyUS))
}
