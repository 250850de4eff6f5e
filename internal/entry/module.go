package entry

import (
	"context"
	"time"

	"github.com/rs/zerolog"
	"go.uber.org/fx"
	"google.golang.org/grpc"

	pb "github.com/primroseladder/primroseladder/api/primrosev1"
	"github.com/primroseladder/primroseladder/internal/admission"
	"github.com/primroseladder/primroseladder/internal/blocklist"
	"github.com/primroseladder/primroseladder/internal/caller"
	"github.com/primroseladder/primroseladder/internal/entrypeer"
	"github.com/primroseladder/primroseladder/internal/health"
	"github.com/primroseladder/primroseladder/internal/keeperpeer"
	"github.com/primroseladder/primroseladder/internal/listen"
	"github.com/primroseladder/primroseladder/internal/once"
	"github.com/primroseladder/primroseladder/internal/operator"
	"github.com/primroseladder/primroseladder/internal/periodic"
	"github.com/primroseladder/primroseladder/internal/poison"
	"github.com/primroseladder/primroseladder/internal/probe"
	"github.com/primroseladder/primroseladder/internal/run"
	"github.com/primroseladder/primroseladder/internal/snapshot"
	"github.com/primroseladder/primroseladder/internal/tracing"
)

// expireInterval is the time between two removals of expired idempotency keys and poison request records.
const expireInterval = 10 * time.Second

// Status is the JSON document that an entry serves to operators at /status.
type Status struct {
	VM             string `json:"vm"`
	Region         string `json:"region"`
	Zone           string `json:"zone"`
	Revision       uint64 `json:"revision"`
	ListIndex      uint64 `json:"list_index"`
	RememberedKeys int    `json:"remembered_keys"`
	// LateRefusalPercent is the percentage of refusals that were made more than 50 ms after the request had been read.
	LateRefusalPercent float64 `json:"late_refusal_percent"`
	// SpilledBytes is the number of request and answer bytes exchanged with backend servers in other regions.
	SpilledBytes int64 `json:"spilled_bytes"`
	// Services reports, by name of each service that this entry serves, which backend servers are ejected and why.
	Services map[string]health.Report `json:"services"`
}

// Module returns the fx module of primrose-entry.
func Module(s *Settings, log zerolog.Logger) fx.Option {
	return fx.Options(
		fx.Supply(s, log),
		fx.Provide(
			snapshot.NewHolder, keeperpeer.NewClient, entrypeer.NewClient, NewFollower, NewServer,
			func(c *entrypeer.Client) Forwarder { return c }, NewStopper,
			func() *admission.Gate { return admission.NewGate(s.MaxRequests) },
			func() *poison.Registry { return poison.NewRegistry(poison.DefaultWindow) },
			NewOpinionSender, NewAnnouncer, entrypeer.NewBlockList,
			func(h *snapshot.Holder, peers *entrypeer.Client) *entrypeer.BlockAsker {
				return entrypeer.NewBlockAsker(s.VM, s.Region, h, peers)
			},
			func(
				o *OpinionSender, a *Announcer, h *snapshot.Holder, g *admission.Gate, p *poison.Registry, peers *entrypeer.Client,
			) *run.Runner {
				return run.NewRunner(s.Region, healthOptions(s, o, a, log), h, g, p, entrypeer.NewCrashNotifier(s.VM, h, peers))
			},
			func(h *snapshot.Holder) *once.HomeTracker { return newHomeTracker(s, h) },
			func(t *once.HomeTracker) *once.Memory { return once.NewMemory(s.MemoryWindow.Std(), s.MemoryKeys, t) },
			func(h *snapshot.Holder, m *once.Memory, peers *entrypeer.Client) *once.Guard {
				return once.NewGuard(s.VM, s.Region, h, m, peers)
			},
		),
		fx.Invoke(func(lc fx.Lifecycle) error { return startTracing(lc, s) }),
		fx.Invoke(registerHooks),
	)
}

// registerHooks adds the background work and the listeners to the lifecycle of the application.
func registerHooks(
	lc fx.Lifecycle, s *Settings, f *Follower, server *Server, holder *snapshot.Holder, memory *once.Memory,
	crashes *poison.Registry, blocks *blocklist.List, runner *run.Runner, opinions *OpinionSender, stopper *Stopper,
) {
	listen.Background(lc, f.Run)
	listen.Background(lc, runner.WatchHealth)
	listen.Background(lc, runner.WatchDraining)
	listen.Background(lc, probe.New(runner.ProbeTargets).Run)
	listen.Background(lc, opinions.Run)
	listen.Background(lc, blocks.Run)
	listen.Background(lc, func(ctx context.Context) { expirePeriodically(ctx, memory, crashes) })
	listen.HTTP(lc, s.OperatorListen, operator.NewRouter(func() any {
		current := holder.Get()
		return Status{
			VM: s.VM, Region: s.Region, Zone: s.Zone, Revision: current.Revision,
			ListIndex: current.View.Index, RememberedKeys: memory.Len(), LateRefusalPercent: run.LateRefusalPercent(),
			SpilledBytes: run.SpilledBytes(), Services: runner.HealthReports(),
		}
	}))
	grpcServer := grpc.NewServer(grpc.MaxRecvMsgSize(entrypeer.MaxMessageBytes))
	pb.RegisterEntryServer(grpcServer, entrypeer.NewServer(server, memory))
	pb.RegisterPoisonServer(grpcServer, entrypeer.NewCrashServer(crashes, blocks))
	listen.GRPC(lc, s.PeerListen, grpcServer)
	// Stop hooks run in reverse order: leave, then close the callers' listener, then hand over the memory.
	lc.Append(fx.StopHook(stopper.HandOver))
	stopper.acceptingCallers = listen.HTTPWhenReady(
		lc, holder.Ready(), s.CallerListen, stopper.CloseConnections(caller.NewHandler(server, holder)),
	)
	lc.Append(fx.StopHook(stopper.Leave))
}

// newHomeTracker returns the home tracker of this VM, which observes every VM list that the holder publishes.
func newHomeTracker(s *Settings, holder *snapshot.Holder) *once.HomeTracker {
	tracker := once.NewHomeTracker(s.VM, s.MemoryWindow.Std())
	holder.OnChange(func(current *snapshot.Snapshot) { tracker.ObserveList(current.View) })
	return tracker
}

func startTracing(lc fx.Lifecycle, s *Settings) error {
	stop, err := tracing.SetUp("primrose-entry", s.VM, s.Trace)
	lc.Append(fx.StopHook(stop))
	return err
}

// expirePeriodically removes expired idempotency keys and poison request records until ctx ends.
func expirePeriodically(ctx context.Context, memory *once.Memory, crashes *poison.Registry) {
	periodic.Run(ctx, expireInterval, func() {
		memory.Expire()
		crashes.Expire()
	})
}
