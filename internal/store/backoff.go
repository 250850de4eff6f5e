package store

import (
	"math/rand/v2"
	"time"
)

// Backoff computes exponentially growing delays with jitter, from Base up to Max.
type Backoff struct {
	Base time.Duration
	Max  time.Duration

	failures int
}

// Next returns the delay after one more failure: a random time between half and all of a limit that starts at Base and
// doubles with each failure up to Max.
func (b *Backoff) Next() time.Duration {
	delay := min(b.Max, b.Base<<min(b.failures, 16))
	b.failures++
	return delay/2 + rand.N(delay/2+1)
}

// Reset restarts the delays at Base, after a success.
func (b *Backoff) Reset() { b.failures = 0 }
