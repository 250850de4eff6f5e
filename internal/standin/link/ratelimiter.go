package link

import (
	"sync"
	"time"
)

// RateLimiter is a bound on the bytes a second that several directions carry together.
type RateLimiter struct {
	rate int64

	mu     sync.Mutex
	freeAt time.Time
}

// NewRateLimiter returns a pipe that carries so many bytes a second.
func NewRateLimiter(bytesPerSecond int64) *RateLimiter {
	return &RateLimiter{rate: max(1, bytesPerSecond)}
}

// reserve takes room for n bytes and returns when the last of them has left.
func (p *RateLimiter) reserve(n int) time.Time {
	p.mu.Lock()
	defer p.mu.Unlock()
	if now := time.Now(); p.freeAt.Before(now) {
		p.freeAt = now
	}
	p.freeAt = p.freeAt.Add(time.Duration(int64(n) * int64(time.Second) / p.rate))
	return p.freeAt
}
