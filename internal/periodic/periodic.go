// Package periodic runs functions at a fixed interval, and has waits that end with a context or a condition.
package periodic

import (
	"context"
	"time"
)

// Run calls work once per interval until ctx ends. The first call is made after one interval. Calls do not overlap: one that
// takes longer than the interval delays the next.
func Run(ctx context.Context, interval time.Duration, work func()) {
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			work()
		}
	}
}

// Pause waits for the duration d. It returns false if ctx ends first.
func Pause(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}

// Await waits until the channel is closed or delivers a value, the duration d has passed, or ctx ends.
func Await(ctx context.Context, channel <-chan struct{}, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-channel:
	case <-timer.C:
	case <-ctx.Done():
	}
}
