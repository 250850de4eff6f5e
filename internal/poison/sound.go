package poison

import "sync/atomic"

// soundSlots is the number of answered requests that are remembered.
const soundSlots = 1 << 14

// soundSet holds requests that were answered. It has one slot for all fingerprints with the same remainder and keeps the latest of
// them, so that requests which come often are seldom missing. It is safe for concurrent use.
type soundSet [soundSlots]atomic.Uint64

func (s *soundSet) slot(f Fingerprint) *atomic.Uint64 { return &s[f%soundSlots] }

func (s *soundSet) add(f Fingerprint) {
	// A plain read keeps the slot in the caches of all cores while the same request is answered again and again.
	if slot := s.slot(f); slot.Load() != uint64(f) {
		slot.Store(uint64(f))
	}
}

// remove removes a request. It reports whether the set held it.
func (s *soundSet) remove(f Fingerprint) bool { return s.slot(f).CompareAndSwap(uint64(f), 0) }
