// Package link is a stand-in for the network between two VMs: TCP relays whose two directions can be cut, delayed and
// throttled one by one. Bytes that meet a cut are held and pass after it is healed, as TCP would send them again.
package link

import (
	"context"
	"sync"
	"sync/atomic"
	"time"
)

// Direction is the way from one VM to another. All relays between the two share it.
type Direction struct {
	// From and To name the two ends.
	From, To string

	bytes atomic.Int64

	mu      sync.Mutex
	isCut   bool
	delay   time.Duration
	limiter *RateLimiter
	changed chan struct{}
}

// NewDirection returns a direction without faults.
func NewDirection(from, to string) *Direction {
	return &Direction{From: from, To: to, changed: make(chan struct{})}
}

// Bytes returns how many bytes passed.
func (d *Direction) Bytes() int64 { return d.bytes.Load() }

// SetCut cuts or heals the direction.
func (d *Direction) SetCut(cut bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.isCut = cut
	d.notifyWaiters()
}

// SetDelay sets the time that each byte takes.
func (d *Direction) SetDelay(delay time.Duration) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.delay = delay
	d.notifyWaiters()
}

// SetRateLimiter makes the direction share a pipe with others. Nil is no bound.
func (d *Direction) SetRateLimiter(p *RateLimiter) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.limiter = p
	d.notifyWaiters()
}

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

// awaitDeparture waits until n bytes that came in at a time may leave. It returns false when ctx ends first.
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

// reserveDeparture takes room for n bytes and returns when they may leave.
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
