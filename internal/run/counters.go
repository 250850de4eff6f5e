package run

import (
	"expvar"
	"sync/atomic"
	"time"

	"github.com/primroseladder/primroseladder/internal/outcome"
	"github.com/primroseladder/primroseladder/internal/request"
)

// Counters over all services, published by expvar.
var (
	attemptCount = expvar.NewInt("attempts")
	retryCount   = expvar.NewInt("retries")
	shedCount    = expvar.NewInt("sheds")
	refusalCount = expvar.NewMap("refusals")
	spilledBytes = expvar.NewInt("spilled_bytes")
)

// refuse counts a refusal and returns its response.
func refuse(req *request.Request, reason outcome.Reason, retryAfter time.Duration) *request.Response {
	refusalCount.Add(string(reason), 1)
	refusals.record(time.Since(req.Arrival))
	return request.Refuse(req, reason, retryAfter)
}

// maxEarlyRefusalDelay is the time since arrival after which a refusal counts as late.
const maxEarlyRefusalDelay = 50 * time.Millisecond

// refusals counts the refusals of this process and the late ones among them.
var refusals refusalTimes

type refusalTimes struct{ total, late atomic.Int64 }

func (r *refusalTimes) record(d time.Duration) {
	r.total.Add(1)
	if d > maxEarlyRefusalDelay {
		r.late.Add(1)
	}
}

// LateRefusalPercent returns the percentage of refusals that were made more than 50 ms after the request had been read.
func LateRefusalPercent() float64 {
	return 100 * float64(refusals.late.Load()) / float64(max(1, refusals.total.Load()))
}

// SpilledBytes returns the request and answer bytes exchanged with backend servers in other regions.
func SpilledBytes() int64 { return spilledBytes.Value() }
