package run

import (
	"math/rand/v2"
	"slices"
	"time"

	"github.com/primroseladder/primroseladder/internal/admission"
	"github.com/primroseladder/primroseladder/internal/health"
)

// pick returns a backend server with a free slot, or nil. It prefers a server that is due for a trial, then one of the
// local region; a server of another region is picked only if the spill budget allows it. The lock must be held.
func (s *Service) pick(w *admission.Waiter) *server {
	now := time.Now()
	view := s.board.View()
	if chosen := s.pickTrial(w, view, now); chosen != nil {
		return chosen
	}
	if chosen := s.pickFrom(w, view, now, true); chosen != nil {
		return chosen
	}
	if !s.spill.Allows(now) {
		return nil
	}
	return s.pickFrom(w, view, now, false)
}

// pickFrom returns the backend server with a free slot that runs the fewest requests of this entry, at random among ties.
// It considers the servers of the local region if local is set, otherwise those of all other regions. A server in slow
// start is considered with a probability equal to its current share. It is also considered if no other server is free.
func (s *Service) pickFrom(w *admission.Waiter, view *health.View, now time.Time, local bool) *server {
	var free, inSlowStart leastLoaded
	for _, candidate := range s.servers {
		if (candidate.vm.Region == s.region) != local || !candidate.hasFreeSlot(now) {
			continue
		}
		if slices.Contains(w.Exclude, candidate.vm.Name) || view.IsExcluded(candidate.vm.Name) {
			continue
		}
		if share := view.Share(candidate.vm.Name, now); share < 1 && rand.Float64() >= share {
			inSlowStart.add(candidate)
			continue
		}
		free.add(candidate)
	}
	if free.best == nil {
		return inSlowStart.best
	}
	return free.best
}

// leastLoaded tracks the backend server with the fewest requests in flight among those added.
type leastLoaded struct {
	best *server
	// ties is the number of added servers with as few requests in flight as best, including best.
	ties int
}

// add considers a candidate. Each of the tied servers ends up as best with equal probability.
func (l *leastLoaded) add(candidate *server) {
	switch {
	case l.best == nil || candidate.inFlight < l.best.inFlight:
		l.best, l.ties = candidate, 1
	case candidate.inFlight == l.best.inFlight:
		l.ties++
		if rand.IntN(l.ties) == 0 {
			l.best = candidate
		}
	}
}

// pickTrial returns a backend server of the local region that is due for a trial, or nil. Only idempotent requests are
// used as trials.
func (s *Service) pickTrial(w *admission.Waiter, view *health.View, now time.Time) *server {
	if !w.IsIdempotent {
		return nil
	}
	for _, name := range view.Trials {
		for _, candidate := range s.servers {
			if candidate.vm.Name != name || candidate.vm.Region != s.region || !candidate.hasFreeSlot(now) {
				continue
			}
			if !slices.Contains(w.Exclude, name) && s.board.ClaimTrial(name) {
				return candidate
			}
		}
	}
	return nil
}

func (c *server) hasFreeSlot(now time.Time) bool {
	return c.inFlight < int(c.concurrencyLimit) && !now.Before(c.pausedUntil)
}
