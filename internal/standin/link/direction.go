// Package link simulates the network between two VMs with TCP relays. Each direction of a relay can be cut, delayed and
// throttled on its own. Bytes that arrive during a cut are queued and forwarded once it is healed, because TCP would
// retransmit them.
package link

import (
	"context"
	"sync"
	"sync/atomic"
	"time"
)

// Direction is the path from one VM to another, with its faults. All relays between the two VMs share it. It is safe for
// concurrent use.
type Direction struct {
	// From and To are the names of the two ends.
	From, To string

	bytes atomic.Int64

	mu      sync.Mutex
	isCut   bool
	delay   time.Duration
	limiter *RateLimiter
	// changed is closed at the next change of isCut, delay or limiter.
	changed chan struct{}
}

// NewDirection returns a direction without faults.
func NewDirection(from, to string) *Direction {
	return &Direction{From: from, To: to, changed: make(chan struct{})}
}

// Bytes returns the number of bytes forwarded by all relays.
func (d *Direction) Bytes() int64 { return d.bytes.Load() }

// SetCut cuts the direction, so that no bytes pass, or heals it.
func (d *Direction) SetCut(cut bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.isCut = cut
	d.notifyWaiters()
}

// SetDelay sets the one-way latency.
func (d *Direction) SetDelay(delay time.Duration) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.delay = delay
	d.notifyWaiters()
}

// SetRateLimiter sets the rate limiter, which other directions may share. Nil removes the limit.
func (d *Direction) SetRateLimiter(limiter *RateLimiter) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.limiter = limiter
	d.notifyWaiters()
}

// notifyWaiters wakes all goroutines that wait for a change. The caller holds the lock.
func (d *Direction) notifyWaiters() {
	close(d.changed)
	d.changed = make(chan struct{})
}

// state returns whether the direction is cut and a channel that is closed at the next change.
func (d *Direction) state() (isCut bool, changed <-chan struct{}) {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.isCut, d.changed
}

func (d *Direction) currentDelay() time.Duration {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.delay
}

// awaitDeparture waits until n bytes that were received at receivedAt may be forwarded, and counts them. It returns false
// if ctx ends first.
func (d *Direction) awaitDeparture(ctx context.Context, n int, receivedAt time.Time) bool {
	if !d.awaitHealed(ctx) {
		return false
	}
	if !sleep(ctx, time.Until(d.reserveDeparture(n, receivedAt))) {
		return false
	}
	if !d.awaitHealed(ctx) {
		return false
	}
	d.bytes.Add(int64(n))
	return true
}

// awaitHealed waits until the direction is not cut. It returns false if ctx ends first.
func (d *Direction) awaitHealed(ctx context.Context) bool {
	for {
		isCut, changed := d.state()
		if !isCut {
			return true
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return false
		}
	}
}

// reserveDeparture reserves capacity of the rate limiter for n bytes and returns when they may be forwarded.
func (d *Direction) reserveDeparture(n int, receivedAt time.Time) time.Time {
	d.mu.Lock()
	departure, limiter := receivedAt.Add(d.delay), d.limiter
	d.mu.Unlock()
	if limiter == nil {
		return departure
	}
	free := limiter.reserve(n)
	if departure.Before(free) {
		return free
	}
	return departure
}

// sleep waits for the given time. It returns false if ctx ends first.
func sleep(ctx context.Context, wait time.Duration) bool {
	if wait <= 0 {
		return ctx.Err() == nil
	}
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}
