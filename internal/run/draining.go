package run

import (
	"context"
	"time"

	"github.com/primroseladder/primroseladder/internal/periodic"
	"github.com/primroseladder/primroseladder/internal/probe"
)

// drainCheckInterval is the time between two connection attempts to a draining backend server. It is shorter than a
// restart, so that each VM of the group observes the time in which the backend server refuses connections.
const drainCheckInterval = 200 * time.Millisecond

// WatchDraining returns draining backend servers to service once they have restarted in place, that is, refused
// connections and accepted them again. It runs until ctx ends. A backend server that is replaced instead gets another
// address or leaves the VM list.
func (r *Runner) WatchDraining(ctx context.Context) {
	refusing := refusingServers{}
	periodic.Run(ctx, drainCheckInterval, func() {
		for _, s := range r.allServices() {
			s.checkDraining(refusing)
		}
	})
}

// refusingServers is the set of draining backend servers that have refused a connection.
type refusingServers map[serverKey]bool

type serverKey struct{ service, backend string }

// checkDraining connects to each draining backend server and ends its draining if it was in refusing and accepts
// connections again.
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

// markDraining stops new requests to a backend server that has reported that it drains. The first report is announced to
// all VMs.
func (s *Service) markDraining(chosen *server) {
	isNew := !s.board.View().IsDraining(chosen.vm.Name)
	s.board.SetDraining(chosen.vm.Name)
	if isNew && s.announceDraining != nil {
		s.announceDraining(chosen.vm)
	}
}
