package admission

import "time"

// SpillBudget bounds the bytes of work that leave the region.
type SpillBudget struct {
	bytesPerSecond int64
	// remaining may be negative: an answer is charged when its length is known.
	remaining  int64
	refilledAt time.Time
}

// SetRate changes the budget. Zero allows no spill.
func (b *SpillBudget) SetRate(bytesPerSecond int64) { b.bytesPerSecond = bytesPerSecond }

// Allows reports whether work may leave the region now.
func (b *SpillBudget) Allows(now time.Time) bool {
	if b.bytesPerSecond == 0 {
		return false
	}
	if b.refilledAt.IsZero() {
		b.refilledAt, b.remaining = now, b.bytesPerSecond
	}
	gained := int64(now.Sub(b.refilledAt).Seconds() * float64(b.bytesPerSecond))
	if gained > 0 {
		b.remaining = min(b.remaining+gained, b.bytesPerSecond)
		b.refilledAt = now
	}
	return b.remaining > 0
}

// Charge takes bytes from the budget.
func (b *SpillBudget) Charge(bytes int64) { b.remaining -= bytes }
