package run

import (
	"math/rand/v2"
	"time"
)

// recordShed makes room for the other entries on a backend server that shed this entry's work.
func (s *Service) recordShed(chosen *server) {
	s.mu.Lock()
	defer s.mu.Unlock()
	chosen.concurrencyLimit = max(1, chosen.concurrencyLimit/2)
	chosen.consecutiveSheds++
	if chosen.inFlight > int(chosen.concurrencyLimit) {
		// Work of this entry still runs there; its end is the sign that a slot is free.
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

// shedPause grows with the sheds in a row from an eighth of the service time to the whole, half of it by chance.
func (s *Service) shedPause(consecutiveSheds int) time.Duration {
	longest := s.estimate.ServiceTime() >> max(0, 4-consecutiveSheds)
	return longest/2 + rand.N(longest/2+1)
}

// recordServed takes the service time of finished work and opens the limit of its backend server again.
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

func (s *Service) recordLost() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.retries.Record(false)
}

func (s *Service) takeRetryToken() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.retries.Take()
}

// chargeSpill counts the bytes of work in another region.
func (s *Service) chargeSpill(chosen *server, bytes int) {
	if chosen.vm.Region == s.region {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.spill.Charge(int64(bytes))
	spilledBytes.Add(int64(bytes))
}
