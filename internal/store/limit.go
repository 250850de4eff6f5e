package store

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/primroseladder/primroseladder/internal/periodic"
)

// Rate limits of one process. 40 VMs that read at the full rate cause 200 reads per second: a tenth of 2000 per second.
const (
	readsPerSecond  = 5
	readBurst       = 100
	writesPerSecond = 2
	writeBurst      = 50
)

// limiter is a token bucket that counts the calls it admitted.
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

// wait takes a token, waiting until it is due. It returns the error of ctx if ctx ends first.
func (l *limiter) wait(ctx context.Context) error {
	delay := l.reserve()
	if delay > 0 && !periodic.Pause(ctx, delay) {
		return ctx.Err()
	}
	l.calls.Add(1)
	return nil
}

// reserve takes a token and returns the time until it is due. The number of tokens may become negative.
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
