package link

import (
	"sync"
	"time"
)

// RateLimiter limits the total rate of the directions that share it. It is safe for concurrent use.
type RateLimiter struct {
	// rate is in bytes per second.
	rate int64

	mu sync.Mutex
	// freeAt is when the last byte reserved so far has been sent.
	freeAt time.Time
}

// NewRateLimiter returns a limiter of the given rate, which is at least 1 byte per second.
func NewRateLimiter(bytesPerSecond int64) *RateLimiter {
	return &RateLimiter{rate: max(1, bytesPerSecond)}
}

// reserve reserves the time to send n bytes after all earlier ones, and returns when the last of them has been sent.
func (l *RateLimiter) reserve(n int) time.Time {
	l.mu.Lock()
	defer l.mu.Unlock()
	if now := time.Now(); l.freeAt.Before(now) {
		l.freeAt = now
	}
	l.freeAt = l.freeAt.Add(time.Duration(int64(n) * int64(time.Second) / l.rate))
	return l.freeAt
}
