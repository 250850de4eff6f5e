package store

import (
	"context"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/primroseladder/primroseladder/internal/periodic"
)

// The rates of one process. Reads of 40 VMs at the full rate are a tenth of two thousand a second.
const (
	readsPerSecond  = 5
	readBurst       = 100
	writesPerSecond = 2
	writeBurst      = 50
)

// limiter is a token bucket that counts what was taken.
type limiter struct {
	calls     atomic.Int64
	perSecond float64
	burst     float64

	mu     sync.Mutex
	tokens float64
	last   time.Time
}

func newLimiter(perSecond, burst float64) *limiter {
	return &limiter{perSecond: perSecond, burst: burst, tokens: burst, last: time.Now()}
}

// wait takes a token. It returns the error of ctx where ctx ends first.
func (l *limiter) wait(ctx context.Context) error {
	delay := l.reserve()
	if delay > 0 && !periodic.Pause(ctx, delay) {
		return ctx.Err()
	}
	l.calls.Add(1)
	return nil
}

// reserve takes a token and returns how long the caller has to wait for it.
func (l *limiter) reserve() time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := time.Now()
	l.tokens = min(l.burst, l.tokens+l.perSecond*now.Sub(l.last).Seconds())
	l.last = now
	l.tokens--
	if l.tokens >= 0 {
		return 0
	}
	return time.Duration(-l.tokens / l.perSecond * float64(time.Second))
}

// Backoff gives growing delays with jitter. The zero value of its state is ready for use.
type Backoff struct {
	Base time.Duration
	Max  time.Duration

	failures int
}

// Next returns the delay after one more failure: between half and the whole of a doubling time.
func (b *Backoff) Next() time.Duration {
	delay := min(b.Max, b.Base<<min(b.failures, 16))
	b.failures++
	return delay/2 + rand.N(delay/2+1)
}

// Reset begins anew after a success.
func (b *Backoff) Reset() { b.failures = 0 }
