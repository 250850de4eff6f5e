package run

import (
	"context"
	"errors"

	"github.com/rs/zerolog"

	"github.com/primroseladder/primroseladder/internal/backend"
	"github.com/primroseladder/primroseladder/internal/fleet"
	"github.com/primroseladder/primroseladder/internal/health"
	"github.com/primroseladder/primroseladder/internal/logevent"
	"github.com/primroseladder/primroseladder/internal/periodic"
	"github.com/primroseladder/primroseladder/internal/placement"
	"github.com/primroseladder/primroseladder/internal/probe"
)

// HealthLinks connects the boards of this VM with those of other VMs.
type HealthLinks struct {
	Self health.Observer
	// Share passes an opinion to the other VMs of the service's group. It must not block. Nil shares nothing.
	Share func(service string, o health.Opinion)
	Log   zerolog.Logger
	// Drained tells all VMs that a backend server takes no new work. It must not block. Nil tells none.
	Drained func(backend fleet.VM)
}

func (s *Service) newBoard(links *HealthLinks) *health.Board {
	name := s.entry.Service
	hooks := health.Hooks{
		Verify:       func(backend string) { go s.verify(backend) },
		Transitioned: func(e health.Explanation) { logMove(links.Log, name, e) },
		ViewChanged:  func() { go s.wake() },
	}
	if links.Share != nil {
		hooks.Share = func(o health.Opinion) { links.Share(name, o) }
	}
	return health.NewBoard(links.Self, health.SettingsFor(s.entry.Health), hooks)
}

func logMove(log zerolog.Logger, service string, e health.Explanation) {
	if e.Until == nil {
		logevent.BackendReturned.Log(log).Str("service", service).Str("backend", e.Backend).Send()
		return
	}
	logevent.BackendEjected.Log(log).Str("service", service).Str("backend", e.Backend).Str("kind", e.Kind).
		Str("scope", e.Scope).Int("absences", e.Ejections).Time("until", *e.Until).Any("observers", e.Observers).Send()
}

// updateBoard tells the board of the live backend servers and of the group that judges them.
func (s *Service) updateBoard(live []fleet.VM, view *fleet.View) {
	zones := map[string]struct{}{}
	for _, vm := range placement.Group(s.entry.Service, s.region, view, placement.DefaultGroupSize) {
		zones[vm.Zone] = struct{}{}
	}
	s.board.SetSettings(health.SettingsFor(s.entry.Health))
	s.board.SetBackends(live, len(zones))
}

// wake serves those that wait after the set of usable backend servers changed.
func (s *Service) wake() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.serveWaiting()
}

// verify opens a connection to a backend server that may be unreachable, and closes it.
func (s *Service) verify(name string) {
	if address := s.addressOf(name); address != "" {
		s.board.RecordVerification(name, probe.Connect(address) == probe.ConnectOpen)
	}
}

func (s *Service) name() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.entry.Service
}

func (s *Service) addressOf(name string) string {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, candidate := range s.servers {
		if candidate.vm.Name == name {
			return candidate.vm.Address
		}
	}
	return ""
}

func resultOfAnswer(failed bool) health.Result {
	if failed {
		return health.ResultFailure
	}
	return health.ResultSuccess
}

// resultOfError tells what a failed attempt says of the backend server.
func resultOfError(ctx context.Context, err error) health.Result {
	switch {
	case errors.Is(ctx.Err(), context.DeadlineExceeded):
		return health.ResultTimeout
	case ctx.Err() != nil, errors.Is(err, backend.ErrTooManyConns), errors.Is(err, backend.ErrAnswerTooLarge):
		return health.ResultIgnored
	case !backend.HasStarted(err):
		return health.ResultUnreachable
	default:
		return health.ResultBroken
	}
}

// Hear takes the opinion of another VM on a backend server of the service. A service that this VM does not serve yet has
// no board; one is made to remember that a backend server drains.
func (r *Runner) Hear(service string, o health.Opinion) {
	r.mu.RLock()
	found := r.services[service]
	r.mu.RUnlock()
	if found == nil && o.Draining {
		if e, known := r.holder.Get().Routes.Service(service); known {
			found = r.service(e)
		}
	}
	if found != nil {
		found.board.ReceiveOpinion(o)
	}
}

// IsPathInDoubt reports whether this VM fails on many backend servers of the service of which other VMs see nothing.
func (r *Runner) IsPathInDoubt(service string) bool {
	r.mu.RLock()
	found := r.services[service]
	r.mu.RUnlock()
	return found != nil && found.board.View().LocalPathUnhealthy
}

// WatchHealth judges the backend servers of all services until ctx ends.
func (r *Runner) WatchHealth(ctx context.Context) {
	periodic.Run(ctx, health.TickInterval, func() {
		for _, s := range r.allServices() {
			s.board.Tick()
		}
	})
}

// HealthReports returns the standing of the backend servers of each service that this VM serves.
func (r *Runner) HealthReports() map[string]health.Report {
	reports := map[string]health.Report{}
	for name, s := range r.allServices() {
		reports[name] = s.board.Report()
	}
	return reports
}

func (r *Runner) allServices() map[string]*Service {
	r.mu.RLock()
	defer r.mu.RUnlock()
	services := make(map[string]*Service, len(r.services))
	for name, s := range r.services {
		services[name] = s
	}
	return services
}
