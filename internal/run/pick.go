package run

import (
	"math/rand/v2"
	"slices"
	"time"

	"github.com/primroseladder/primroseladder/internal/admission"
	"github.com/primroseladder/primroseladder/internal/health"
)

// pick returns a backend server with a free slot: one of the own region, or one of another region where none of the
// own has a free slot and the budget allows it.
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

// pickFrom returns the backend server with a free slot and the least work of this entry, one by chance among equals.
// One that starts slowly is left out for its share of the picks, unless there is no other.
func (s *Service) pickFrom(w *admission.Waiter, view *health.View, now time.Time, own bool) *server {
	var free, starting leastWork
	for _, candidate := range s.servers {
		if (candidate.vm.Region == s.region) != own || !candidate.hasFreeSlot(now) {
			continue
		}
		if slices.Contains(w.Exclude, candidate.vm.Name) || view.IsExcluded(candidate.vm.Name) {
			continue
		}
		if share := view.Share(candidate.vm.Name, now); share < 1 && rand.Float64() >= share {
			starting.add(candidate)
			continue
		}
		free.add(candidate)
	}
	if free.best == nil {
		return starting.best
	}
	return free.best
}

// leastWork keeps the backend server with the least work of those that were added.
type leastWork struct {
	best *server
	// equals is how many with as little work were added.
	equals int
}

func (l *leastWork) add(candidate *server) {
	switch {
	case l.best == nil || candidate.inFlight < l.best.inFlight:
		l.best, l.equals = candidate, 1
	case candidate.inFlight == l.best.inFlight:
		l.equals++
		if rand.IntN(l.equals) == 0 {
			l.best = candidate
		}
	}
}

// pickTrial returns a backend server of the own region that is due for a trial request.
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
	return c.inFlight < int(c.limit) && !now.Before(c.heldUntil)
}
