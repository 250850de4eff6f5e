package keeper

import (
	"sync"
	"time"
)

// Freshness records when the store last confirmed, directly or through other keepers, that this keeper's revision was
// the newest one, and when the store or any keeper last answered.
type Freshness struct {
	mu            sync.Mutex
	lastConfirmed time.Time
	lastContact   time.Time
}

// NewFreshness returns a Freshness without a confirmation.
func NewFreshness() *Freshness { return &Freshness{lastContact: time.Now()} }

// Confirm records that at the given time the store's newest revision was the one that this keeper has.
func (f *Freshness) Confirm(at time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if at.After(f.lastConfirmed) {
		f.lastConfirmed = at
	}
}

// RecordContact records that the store or another keeper answered now.
func (f *Freshness) RecordContact() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.lastContact = time.Now()
}

// Age returns how long ago the store confirmed the revision, and false if it never did.
func (f *Freshness) Age() (time.Duration, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.lastConfirmed.IsZero() {
		return 0, false
	}
	return max(0, time.Since(f.lastConfirmed)), true
}

// IsOlderThan reports whether the last confirmation is older than limit or there was none.
func (f *Freshness) IsOlderThan(limit time.Duration) bool {
	age, known := f.Age()
	return !known || age > limit
}

// SinceLastContact returns for how long neither the store nor any keeper has answered.
func (f *Freshness) SinceLastContact() time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	return time.Since(f.lastContact)
}

// ageMS returns the age in milliseconds for a message, rounded up, or nil without a confirmation.
func (f *Freshness) ageMS() *uint64 {
	age, known := f.Age()
	if !known {
		return nil
	}
	ms := uint64(age.Milliseconds()) + 1
	return &ms
}
