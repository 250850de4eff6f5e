package health

import "time"

// stallTolerance is how late a tick may be before this VM is said to have stood still.
const stallTolerance = 25 * time.Millisecond

// stallSinceTick returns how long this VM has stood still since the last tick: ticks that are late show it.
func (b *Board) stallSinceTick(now time.Time) time.Duration {
	if b.lastTick.IsZero() {
		return 0
	}
	late := now.Sub(b.lastTick) - TickInterval
	if late < stallTolerance {
		return 0
	}
	return late
}

// discountStall takes the time in which this VM stood still off the attempts in flight: it says nothing of their
// backend servers.
func (b *Board) discountStall(now time.Time) {
	stall := b.stallSinceTick(now)
	b.lastTick = now
	if stall == 0 {
		return
	}
	for _, s := range b.servers {
		for _, a := range s.attempts {
			a.stalled += min(stall, now.Sub(a.begin)-a.stalled)
		}
	}
}

// latencyOf returns how long the attempt has taken, without the time in which this VM stood still.
func (b *Board) latencyOf(a *Attempt, now time.Time) time.Duration {
	return max(0, now.Sub(a.begin)-a.stalled-b.stallSinceTick(now))
}
