package run

import (
	"context"
	"time"

	"github.com/primroseladder/primroseladder/internal/periodic"
	"github.com/primroseladder/primroseladder/internal/probe"
)

// drainLookInterval is the time between two connection attempts to a draining backend server. It is shorter than a
// restart, so that each VM of the group sees that the backend server was gone.
const drainLookInterval = 200 * time.Millisecond

// WatchDraining ends the draining of backend servers that were gone and are back, until ctx ends. A backend server that
// is replaced gets another address or leaves the VM list; this is for one that restarts in place.
func (r *Runner) WatchDraining(ctx context.Context) {
	gone := goneServers{}
	periodic.Run(ctx, drainLookInterval, func() {
		for _, s := range r.allServices() {
			s.lookAtDraining(gone)
		}
	})
}

// goneServers holds the draining backend servers that refused a connection.
type goneServers map[goneKey]bool

type goneKey struct{ service, backend string }

func (s *Service) lookAtDraining(gone goneServers) {
	for _, name := range s.board.View().Draining() {
		key := goneKey{s.name(), name}
		switch probe.TryConnect(s.addressOf(name)) {
		case probe.ConnectRefused:
			gone[key] = true
		case probe.ConnectOpen:
			if gone[key] {
				delete(gone, key)
				s.board.EndDraining(name)
			}
		}
	}
}

// markDraining ends new work on a backend server that said it takes none, and tells all VMs.
func (s *Service) markDraining(chosen *server) {
	isNew := !s.board.View().IsDraining(chosen.vm.Name)
	s.board.SetDraining(chosen.vm.Name)
	if isNew && s.drained != nil {
		s.drained(chosen.vm)
	}
}
