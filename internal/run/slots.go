package run

import (
	"math/rand/v2"
	"time"
)

// recordShed reduces the load of this entry on a backend server that shed its request, so that other entries get slots. It
// halves the concurrency limit. If the lower limit still allows the entry to send a request at once, it also pauses the
// server.
func (s *Service) recordShed(chosen *server) {
	s.mu.Lock()
	defer s.mu.Unlock()
	chosen.concurrencyLimit = max(1, chosen.concurrencyLimit/2)
	chosen.consecutiveSheds++
	if chosen.inFlight > int(chosen.concurrencyLimit) {
		// This entry still runs at least as many other requests there as the limit allows. The end of one of them shows that
		// a slot is free.
		return
	}
	pause := s.shedPause(chosen.consecutiveSheds)
	chosen.pausedUntil = time.Now().Add(pause)
	time.AfterFunc(pause, func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.grantWaiting()
	})
}

// shedPause returns the pause after a shed request. Its upper bound doubles with each consecutive shed, from an eighth of
// the service time to all of it; the pause is a random time between half of the upper bound and the upper bound.
func (s *Service) shedPause(consecutiveSheds int) time.Duration {
	longest := s.estimate.ServiceTime() >> max(0, 4-consecutiveSheds)
	return longest/2 + rand.N(longest/2+1)
}

// recordServed records the service time of a finished request. A success also raises the concurrency limit of the backend
// server, by the inverse of the limit: as many successes as the limit raise it by about 1.
func (s *Service) recordServed(chosen *server, d time.Duration, succeeded bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.estimate.Record(time.Now(), d, s.queue.Len() > 0)
	s.retries.Record(succeeded)
	chosen.consecutiveSheds = 0
	if succeeded {
		chosen.concurrencyLimit = min(chosen.concurrencyLimit+1/chosen.concurrencyLimit, float64(s.maxInFlightPerServer))
	}
}

// recordLost records an attempt without an answer in the retry budget.
func (s *Service) recordLost() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.retries.Record(false)
}

// takeRetryToken takes one retry from the retry budget, if one is left.
func (s *Service) takeRetryToken() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.retries.Take()
}

// chargeSpill charges request and answer bytes to the spill budget if the backend server is in another region.
func (s *Service) chargeSpill(chosen *server, bytes int) {
	if chosen.vm.Region == s.region {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.spill.Charge(int64(bytes))
	spilledBytes.Add(int64(bytes))
}
