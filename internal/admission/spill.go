package admission

import "time"

// SpillBudget limits the rate, in bytes per second, of requests and answers that are exchanged with other regions. Its
// burst is one second's worth.
type SpillBudget struct {
	bytesPerSecond int64
	// remaining is the balance in bytes. It can be negative because an answer is charged only when its length is known.
	remaining  int64
	refilledAt time.Time
}

// SetRate changes the rate. 0 allows no spill.
func (b *SpillBudget) SetRate(bytesPerSecond int64) { b.bytesPerSecond = bytesPerSecond }

// Allows refills the budget and reports whether a request may be sent to another region now.
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

// Charge subtracts bytes from the budget.
func (b *SpillBudget) Charge(bytes int64) { b.remaining -= bytes }
