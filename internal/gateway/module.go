package gateway

import (
	"context"
	"net/http"
	"runtime/debug"
	"time"

	"github.com/gorilla/mux"
	"github.com/rs/zerolog"
	"go.uber.org/fx"

	"github.com/primroseladder/primroseladder/internal/allowance"
	"github.com/primroseladder/primroseladder/internal/blocklist"
	"github.com/primroseladder/primroseladder/internal/dispatch"
	"github.com/primroseladder/primroseladder/internal/ingress"
	"github.com/primroseladder/primroseladder/internal/kv"
	"github.com/primroseladder/primroseladder/internal/lag"
	"github.com/primroseladder/primroseladder/internal/listen"
	"github.com/primroseladder/primroseladder/internal/membership"
	"github.com/primroseladder/primroseladder/internal/membudget"
	"github.com/primroseladder/primroseladder/internal/metrics"
	"github.com/primroseladder/primroseladder/internal/mirror"
	"github.com/primroseladder/primroseladder/internal/periodic"
	"github.com/primroseladder/primroseladder/internal/poison"
	"github.com/primroseladder/primroseladder/internal/route"
	"github.com/primroseladder/primroseladder/internal/vmpeer"
)

// Platform adapts the gateway to the platform that it runs on.
type Platform struct {
	Settings *LiveSettings
	Store    kv.Store
	Codec    Codec
	Headers  Headers
	Paths    Paths
	// StoreCalls returns the number of calls to the store.
	StoreCalls func() int64
	// LogLinesDropped returns the number of dropped log lines.
	LogLinesDropped func() int64
	// NewDirectory returns the handler that answers callers that ask which VMs to use. addresses returns the addresses of
	// these VMs for a host and an availability zone, best first, and how long the caller may cache them.
	NewDirectory func(addresses func(host, zone string) ([]string, time.Duration)) http.Handler
}

// expireInterval is the interval at which expired crashes are removed.
const expireInterval = 10 * time.Second

// Module is the fx module of primrose-gateway.
func Module(p *Platform, log zerolog.Logger) fx.Option {
	return fx.Options(
		fx.Supply(p, p.Settings, p.Settings.Get(), log),
		fx.Provide(
			newSelf, newFleet, newBlocks, newMemory, func() *poison.Registry { return poison.NewRegistry(poison.DefaultWindow) },
			NewGroups, newEndpoint, newDispatcher, newMirror, metrics.New, ingress.NewRates, lag.NewMonitor, newKeyProofs,
			newAllowances,
			func(
				d *dispatch.Dispatcher, f *membership.Fleet, b *blocklist.List, self membership.Member, r *membership.Registrar,
			) *State {
				return NewState(p.Codec, d, f, b, self, r.NotifyRemoved, log)
			},
			func(s *State, r *membership.Registrar) *mirror.Copy {
				c := mirror.NewCopy(s.Apply, p.Codec)
				c.OnNewEra(r.VerifyRegistration)
				return c
			},
			func(self membership.Member) *membership.Registrar {
				return membership.NewRegistrar(p.Store, self, p.Settings.Get().IsFirstStart, log)
			},
		),
		fx.Invoke(start),
	)
}

const (
	// requestsPerCore is the number of requests a second that use two fifths of a core's time. A request costs about
	// 0.6 ms of processor time, including its share of heartbeats and evidence (processor time column of the bench).
	requestsPerCore = 650
	// requestsPerMbps is the number of requests a second that use a third of a link of 1 Mbit/s, at 10 KB a request.
	requestsPerMbps = 4
)

// newSelf returns this VM as the settings describe it. Its capacity is the lower of those of its cores and its link.
func newSelf(s *Settings) membership.Member {
	return membership.Member{
		Name: s.VM, Zone: s.Zone, Region: s.Region, CallerAddress: s.CallerListen, PeerAddress: s.PeerListen,
		Capacity: min(s.Cores*requestsPerCore, s.LinkMbps*requestsPerMbps),
	}
}

const (
	// heldShare is the share of a VM's memory that is held for callers and backend servers at most. The rest is for the copies of the
	// store, the connections, and what the garbage collector has not freed yet.
	heldShare = 0.45
	// collectShare is the share of a VM's memory that the process stays below by collecting garbage as often as that takes.
	collectShare = 0.85
	// defaultHeldBytes is what is held at most on a VM without a limit of its memory.
	defaultHeldBytes = 64 << 20
)

// newMemory returns the budget for the bytes that this VM holds for callers and backend servers, and sets the limit of the runtime.
func newMemory(s *Settings) *membudget.Budget {
	if s.MemoryMB <= 0 {
		return membudget.New(defaultHeldBytes)
	}
	bytes := float64(s.MemoryMB << 20)
	debug.SetMemoryLimit(int64(collectShare * bytes))
	return membudget.New(int64(heldShare * bytes))
}

func newFleet(self membership.Member, s *Settings, log zerolog.Logger) *membership.Fleet {
	return membership.New(self, s.Regions, log)
}

func newEndpoint(s *Settings, f *membership.Fleet, g *Groups, log zerolog.Logger) (*vmpeer.Endpoint, error) {
	return vmpeer.Listen(s.PeerListen, f, g, log)
}

func newBlocks(
	p *Platform, endpoint *vmpeer.Endpoint, f *membership.Fleet, crashes *poison.Registry, d *dispatch.Dispatcher,
	log zerolog.Logger,
) *blocklist.List {
	return blocklist.New(blocklist.Options{
		Store: p.Store, Registry: crashes, IsReader: func() bool { return f.ReaderRank() == 0 },
		Ask: func(_ context.Context, digest uint64) { endpoint.AskNews(digest, d.LeavingDigest()) }, Log: log,
	})
}

func newDispatcher(
	p *Platform, endpoint *vmpeer.Endpoint, g *Groups, m *metrics.Metrics, crashes *poison.Registry,
	memory *membudget.Budget, lateness *lag.Monitor, log zerolog.Logger,
) *dispatch.Dispatcher {
	s, h := p.Settings.Get(), p.Headers
	return dispatch.New(dispatch.Options{
		Zone: s.Zone, Region: s.Region, Regions: s.Regions,
		Protocol: dispatch.Protocol{
			RequestID: h.RequestID, DeadlineMS: h.DeadlineMS, Signature: h.Signature,
			ExpectedInstance: h.ExpectedInstance, NotExecuted: h.NotExecuted, Leaving: h.Leaving,
			Limit: h.Limit,
		},
		ShareEvidence: func(e dispatch.Evidence) {
			m.RecordSentEvidence(e)
			endpoint.SendEvidence(e)
		},
		Memory:     memory,
		Crashes:    crashes,
		ShareCrash: endpoint.SendCrash,
		Serves:     g.Serves, AskHealth: endpoint.AskHealth,
		RetryRatio: s.RetryRatio, RetryWindow: s.RetryWindow, RetryAllowance: g.RetryAllowance,
		RegionRetryAllowance: g.RegionRetryAllowance, RecordRetry: m.RecordRetry, Lag: lateness.Lag, ReportWait: lateness.ReportWait, Log: log,
	})
}

// mirrorPeers implements mirror.Peers with the fleet.
type mirrorPeers struct{ *membership.Fleet }

// Sources implements mirror.Peers.
func (p mirrorPeers) Sources() []mirror.Source {
	members := p.Fleet.Sources()
	out := make([]mirror.Source, 0, len(members))
	for _, m := range members {
		out = append(out, mirror.Source{Address: m.PeerAddress, At: m.Position(), Confirmed: m.Confirmed})
	}
	return out
}

func newMirror(
	p *Platform, c *mirror.Copy, f *membership.Fleet, r *membership.Registrar, endpoint *vmpeer.Endpoint, k *KeyProofs,
	log zerolog.Logger,
) *mirror.Mirror {
	return mirror.New(mirror.Options{
		Store: p.Store, Copy: c, Peers: mirrorPeers{f}, Fetcher: vmpeer.NewFetcher(),
		ZonePrefix:        membership.ZonePrefix(p.Settings.Get().Zone),
		FirstReadersAfter: membership.FirstReadersAfter(p.Settings.Get().Zone),
		Registered:        r.Registered(), IsFirstStart: p.Settings.Get().IsFirstStart,
		IsResumed: r.IsResumed, OnStateChange: endpoint.Announce, OnConfirm: endpoint.SendToZoneRelays,
		BeginRead: k.BeginRead, MustRead: k.MustRead, WatchWait: watchWait(p.Settings), Log: log,
	})
}

// components are the parts of the gateway that start connects to each other.
type components struct {
	fx.In

	Platform   *Platform
	Self       membership.Member
	Fleet      *membership.Fleet
	Groups     *Groups
	Endpoint   *vmpeer.Endpoint
	Dispatcher *dispatch.Dispatcher
	State      *State
	Copy       *mirror.Copy
	Mirror     *mirror.Mirror
	Registrar  *membership.Registrar
	Blocks     *blocklist.List
	Proofs     *KeyProofs
	Metrics    *metrics.Metrics
	// Rates are sent to the other VMs of the zone in heartbeats.
	Rates *ingress.Rates
	Lag   *lag.Monitor
	// Allowances keeps the requests of organisations within their allowances.
	Allowances *allowance.Service
	// Memory bounds what this VM holds for callers and backend servers.
	Memory *membudget.Budget
	Log    zerolog.Logger
}

// maxReportedAgeMS limits the age of the copy in heartbeats, in milliseconds. A copy that was never complete has this age.
const maxReportedAgeMS = 3_600_000

// currentMember returns the current state of this VM, as it is sent in heartbeats.
func (c *components) currentMember() membership.Member {
	self := c.Self
	self.IsLeaving = c.State.IsLeaving()
	self.Rates = c.Rates.Get(time.Now())
	self.IsOverloaded = c.Lag.NeedsRelief(time.Now())
	self.IsStoreUnreachable = c.Mirror.IsStoreUnreachable()
	self.IsReader = c.Fleet.ReaderRank() == 0
	self.IsWithoutConfig = c.State.Table() == nil
	self.IsUnproven = c.Proofs.IsUnproven()
	at := c.Copy.Position()
	self.Revision, self.Era = at.Revision, at.Era
	self.AgeMS = min(c.Copy.Age(time.Now()).Milliseconds(), maxReportedAgeMS)
	return self
}

func start(lc fx.Lifecycle, in components) {
	p, s, f, endpoint, state, log := in.Platform, in.Platform.Settings.Get(), in.Fleet, in.Endpoint, in.State, in.Log
	in.Groups.SetTableSource(state.Table)
	lc.Append(fx.StopHook(endpoint.Close))
	endpoint.SetSelf(in.currentMember)
	listen.Background(lc, func(context.Context) {
		go endpoint.Receive(countingReceiver{in.Dispatcher, in.Blocks, in.Proofs, in.Metrics})
	})
	serveMetrics(lc, in)
	listen.HTTPShort(lc, s.PeerListen, vmpeer.FeedHandler(mirror.NewFeed(in.Copy)))
	listen.Background(lc, in.Mirror.Run)
	listen.Background(lc, in.Registrar.Run)
	listen.Background(lc, endpoint.SendHeartbeats)
	listen.Background(lc, in.Blocks.Run)
	listen.Background(lc, in.Proofs.Run)
	listen.Background(lc, in.Lag.Run)
	listen.Background(lc, in.Allowances.Run)
	listen.Background(lc, func(ctx context.Context) { periodic.Run(ctx, expireInterval, in.Dispatcher.ExpireCrashes) })
	directory := p.NewDirectory(func(host, zone string) ([]string, time.Duration) {
		return callerAddresses(f.Serving(host, zone, time.Now())), min(directoryTTL, p.Settings.Get().MaxAnswerTTL)
	})
	listen.HTTPShort(lc, s.DirectoryListen, router(p.Paths.Resolve, directory))
	listen.HTTPShort(lc, s.ReadyListen, router(p.Paths.Ready, readyHandler(state)))
	handler := ingress.NewHandler(ingress.Options{
		Headers: ingress.Headers{
			RequestID: p.Headers.RequestID, DeadlineMS: p.Headers.DeadlineMS, Organisation: p.Headers.Organisation,
			Internal: []string{p.Headers.ExpectedInstance, p.Headers.NotExecuted, p.Headers.Instance, p.Headers.Signature},
		},
		AwaitTable: func(ctx context.Context) *route.Table {
			if state.AwaitTable(ctx) != nil {
				in.Proofs.AwaitFirst(ctx)
			}
			return state.Table()
		},
		IsEnding: state.IsEnding, IsOverloaded: in.Lag.IsOverloaded, Lag: in.Lag.Lag, Dispatcher: in.Dispatcher,
		KeyState: in.Proofs.KeyState, CountRefusedKey: in.Metrics.RecordRefusedKey,
		Allowances: in.Allowances, RecordResult: in.Metrics.RecordRequest, Rates: in.Rates, Log: log,
	})
	// fx stops hooks in reverse order: the callers' listener must stop first, while the other components still run.
	lc.Append(newCallerServer(p, state, in.Registrar, handler, endpoint.Announce, in.Memory, log).hook())
}

func callerAddresses(members []membership.Member) []string {
	out := make([]string, 0, len(members))
	for _, m := range members {
		out = append(out, m.CallerAddress)
	}
	return out
}

func router(path string, handler http.Handler) http.Handler {
	r := mux.NewRouter()
	r.Handle(path, handler).Methods(http.MethodGet)
	return r
}

// readyHandler returns the handler of the readiness probe, which answers 503 while the VM is not ready.
func readyHandler(s *State) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		if !s.IsReady() {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
	})
}
