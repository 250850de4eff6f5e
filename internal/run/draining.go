package run

import (
	"context"
	"time"

	"github.com/primroseladder/primroseladder/internal/periodic"
	"github.com/primroseladder/primroseladder/internal/probe"
)

// drainCheckInterval is the time between two connection attempts to a draining backend server. It is shorter than a
// restart, so that each VM of the group sees that the backend server was gone.
const drainCheckInterval = 200 * time.Millisecond

// WatchDraining ends the draining of backend servers that were gone and are back, until ctx ends. A backend server that
// is replaced gets another address or leaves the VM list; this is for one that restarts in place.
func (r *Runner) WatchDraining(ctx context.Context) {
	refusing := refusingServers{}
	periodic.Run(ctx, drainCheckInterval, func() {
		for _, s := range r.allServices() {
			s.checkDraining(refusing)
		}
	})
}

// refusingServers holds the draining backend servers that refused a connection.
type refusingServers map[serverKey]bool

type serverKey struct{ service, backend string }

func (s *Service) checkDraining(refusing refusingServers) {
	for _, name := range s.board.View().Draining() {
		key := serverKey{s.name(), name}
		switch probe.TryConnect(s.addressOf(name)) {
		case probe.ConnectRefused:
			refusing[key] = true
		case probe.ConnectOpen:
			if refusing[key] {
				delete(refusing, key)
				s.board.EndDraining(name)
			}
		}
	}
}

// markDraining ends new work on a backend server that said it takes none, and tells all VMs.
func (s *Service) markDraining(chosen *server) {
	isNew := !s.board.View().IsDraining(chosen.vm.Name)
	s.board.SetDraining(chosen.vm.Name)
	if isNew && s.announceDraining != nil {
		s.announceDraining(chosen.vm)
	}
}
