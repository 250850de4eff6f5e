package health

import "time"

// stallTolerance is how late a tick may be before this VM counts as stalled.
const stallTolerance = 25 * time.Millisecond

// stallSinceTick returns how long this VM has been stalled since the last tick, that is, by how much the next tick is
// overdue at the time now.
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

// discountStall subtracts a stall of this VM from the latency of the attempts in flight, because it is no evidence
// against their backend servers.
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

// latencyOf returns how long the attempt has taken, without the time for which this VM was stalled.
func (b *Board) latencyOf(a *Attempt, now time.Time) time.Duration {
	return max(0, now.Sub(a.begin)-a.stalled-b.stallSinceTick(now))
}
