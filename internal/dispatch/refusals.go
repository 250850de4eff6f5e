package dispatch

import (
	"time"

	"github.com/primroseladder/primroseladder/internal/evidence"
	"github.com/primroseladder/primroseladder/internal/room"
)

// refusalWeight counts an outcome for the share of refusals and returns the weight of the outcome as evidence on its backend server.
// The caller must hold the service's lock.
func (s *service) refusalWeight(o evidence.Outcome, now time.Time) float64 {
	isRefusal := o == evidence.Shed
	s.refusals.add(now, isRefusal)
	if !isRefusal {
		return 1
	}
	return room.RefusalWeight(s.refusals.failureShare(now))
}
