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

// HealthOptions configures the health boards of this VM and how they share their findings with other VMs.
type HealthOptions struct {
	Self health.Observer
	// ShareOpinion sends an opinion to the other VMs of the service's group. It must not block. If nil, opinions are not
	// shared.
	ShareOpinion func(service string, o health.Opinion)
	Log          zerolog.Logger
	// AnnounceDraining reports to all VMs that a backend server accepts no new work. It must not block. If nil, draining is
	// not announced.
	AnnounceDraining func(backend fleet.VM)
}

// newBoard returns the health board of the service. Its hooks that need the service's lock run in goroutines, because the
// board can call them while update holds the lock.
func (s *Service) newBoard(options *HealthOptions) *health.Board {
	name := s.entry.Service
	hooks := health.Hooks{
		Verify:       func(backend string) { go s.verifyReachability(backend) },
		Transitioned: func(e health.Explanation) { logTransition(options.Log, name, e) },
		ViewChanged:  func() { go s.wakeWaiters() },
	}
	if options.ShareOpinion != nil {
		hooks.ShareOpinion = func(o health.Opinion) { options.ShareOpinion(name, o) }
	}
	return health.NewBoard(options.Self, health.SettingsFor(s.entry.Health), hooks)
}

// logTransition logs that a backend server was ejected or, if the explanation has no Until, that it returned to service.
func logTransition(log zerolog.Logger, service string, e health.Explanation) {
	if e.Until == nil {
		logevent.BackendReturned.Log(log).Str("service", service).Str("backend", e.Backend).Send()
		return
	}
	logevent.BackendEjected.Log(log).Str("service", service).Str("backend", e.Backend).Str("kind", e.Kind).
		Str("scope", e.Scope).Int("absences", e.Ejections).Time("until", *e.Until).Any("observers", e.Observers).Send()
}

// updateBoard passes the health settings, the live backend servers and the group's number of availability zones to the
// board.
func (s *Service) updateBoard(live []fleet.VM, view *fleet.View) {
	zones := map[string]struct{}{}
	for _, vm := range placement.Group(s.entry.Service, s.region, view, placement.DefaultGroupSize) {
		zones[vm.Zone] = struct{}{}
	}
	s.board.SetSettings(health.SettingsFor(s.entry.Health))
	s.board.SetBackends(live, len(zones))
}

// wakeWaiters grants slots to waiting requests after the set of usable backend servers may have changed.
func (s *Service) wakeWaiters() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.grantWaiting()
}

// verifyReachability tries a connection to a backend server that may be unreachable, and reports the result to the board.
func (s *Service) verifyReachability(name string) {
	if address := s.addressOf(name); address != "" {
		s.board.RecordVerification(name, probe.TryConnect(address) == probe.ConnectOpen)
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

// resultOfError returns how a failed attempt counts for the health of the backend server. Cancelled requests, a full
// connection pool and answers above the size limit do not count.
func resultOfError(ctx context.Context, err error) health.Result {
	switch {
	case errors.Is(ctx.Err(), context.DeadlineExceeded):
		return health.ResultTimeout
	case ctx.Err() != nil, errors.Is(err, backend.ErrTooManyConns), errors.Is(err, backend.ErrAnswerTooLarge):
		return health.ResultIgnored
	case !backend.MayHaveStarted(err):
		return health.ResultUnreachable
	default:
		return health.ResultBroken
	}
}

// ReceiveOpinion passes another VM's opinion on a backend server to the board of the service. Opinions on services without
// a board, which this VM does not serve yet, are dropped. The exception is draining: a board is created to record it.
func (r *Runner) ReceiveOpinion(service string, o health.Opinion) {
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

// IsLocalPathUnhealthy reports whether the network path from this VM to the service is considered unhealthy: this VM finds
// many backend servers of the service unhealthy, and other VMs confirm fewer than half of these findings.
func (r *Runner) IsLocalPathUnhealthy(service string) bool {
	r.mu.RLock()
	found := r.services[service]
	r.mu.RUnlock()
	return found != nil && found.board.View().LocalPathUnhealthy
}

// WatchHealth periodically reassesses the backend servers of all services and wakes waiting requests until ctx ends. It must wake
// them because time alone makes servers usable, when a trial is due or the spill budget is refilled: while no request is in flight,
// nothing else would, and new requests queue behind the waiting ones.
func (r *Runner) WatchHealth(ctx context.Context) {
	periodic.Run(ctx, health.TickInterval, func() {
		for _, s := range r.allServices() {
			s.board.Tick()
			s.wakeWaiters()
		}
	})
}

// HealthReports returns the health of the backend servers by service, for each service that this VM serves.
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
