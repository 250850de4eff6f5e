package keeper

import (
	"sync"
	"time"
)

// Freshness tells when the store last confirmed that the adopted revision was the newest one, directly or through
// other keepers, and when anyone last answered.
type Freshness struct {
	mu            sync.Mutex
	lastConfirmed time.Time
	lastContact   time.Time
}

// NewFreshness returns a freshness that was never confirmed.
func NewFreshness() *Freshness { return &Freshness{lastContact: time.Now()} }

// Confirm notes that the store's newest revision was the own one at the given time.
func (f *Freshness) Confirm(at time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if at.After(f.lastConfirmed) {
		f.lastConfirmed = at
	}
}

// RecordContact notes that the store or another keeper answered.
func (f *Freshness) RecordContact() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.lastContact = time.Now()
}

// Age returns how long ago the store confirmed the revision, and false where it never did.
func (f *Freshness) Age() (time.Duration, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.lastConfirmed.IsZero() {
		return 0, false
	}
	return max(0, time.Since(f.lastConfirmed)), true
}

// IsOlderThan reports whether the last confirmation is older than limit or never came.
func (f *Freshness) IsOlderThan(limit time.Duration) bool {
	age, known := f.Age()
	return !known || age > limit
}

// SinceLastContact returns how long neither the store nor any keeper has answered.
func (f *Freshness) SinceLastContact() time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	return time.Since(f.lastContact)
}

// ageMS returns the age in the form of a message.
func (f *Freshness) ageMS() *uint64 {
	age, known := f.Age()
	if !known {
		return nil
	}
	ms := uint64(age.Milliseconds()) + 1
	return &ms
}
