package health

import "time"

// stallTolerance is how late a tick may be before this VM is said to have stood still.
const stallTolerance = 25 * time.Millisecond

// stallUntil returns how long this VM has stood still since the last tick: ticks that are late show it.
func (b *Board) stallUntil(now time.Time) time.Duration {
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
	stall := b.stallUntil(now)
	b.lastTick = now
	if stall == 0 {
		return
	}
	for _, s := range b.servers {
		for _, f := range s.flights {
			f.stalled += min(stall, now.Sub(f.begin)-f.stalled)
		}
	}
}

// latencyOf returns how long the attempt has taken, without the time in which this VM stood still.
func (b *Board) latencyOf(f *Attempt, now time.Time) time.Duration {
	return max(0, now.Sub(f.begin)-f.stalled-b.stallUntil(now))
}
