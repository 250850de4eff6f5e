package gateway

import (
	"context"
	"net/http"
	"time"

	"github.com/gorilla/mux"
	"github.com/rs/zerolog"
	"go.uber.org/fx"

	"github.com/primroseladder/primroseladder/internal/dispatch"
	"github.com/primroseladder/primroseladder/internal/ingress"
	"github.com/primroseladder/primroseladder/internal/kv"
	"github.com/primroseladder/primroseladder/internal/listen"
	"github.com/primroseladder/primroseladder/internal/membership"
	"github.com/primroseladder/primroseladder/internal/metrics"
	"github.com/primroseladder/primroseladder/internal/mirror"
	"github.com/primroseladder/primroseladder/internal/periodic"
	"github.com/primroseladder/primroseladder/internal/poison"
	"github.com/primroseladder/primroseladder/internal/vmpeer"
)

// Platform is what the gateway needs of its platform's adapter.
type Platform struct {
	Settings *Live
	Store    kv.Store
	Codec    Codec
	Headers  Headers
	Paths    Paths
	// StoreCalls returns how many calls to the store were made.
	StoreCalls func() int64
	// LogLinesDropped returns how many log lines were dropped.
	LogLinesDropped func() int64
	// NewDirectory returns the handler that tells callers which VMs to use. addresses returns them for a host and an
	// availability zone, with the lifetime of the answer.
	NewDirectory func(addresses func(host, zone string) ([]string, time.Duration)) http.Handler
}

// expireInterval is the time between two sweeps of what has expired.
const expireInterval = 10 * time.Second

// Module is the fx module of primrose-gateway.
func Module(p *Platform, log zerolog.Logger) fx.Option {
	return fx.Options(
		fx.Supply(p, p.Settings, p.Settings.Get(), log),
		fx.Provide(
			newSelf, newFleet, NewGroups, newPeer, newDispatcher, newMirror, metrics.New, ingress.NewRates,
			func(d *dispatch.Dispatcher, f *membership.Fleet, self membership.Member, r *membership.Registrar) *State {
				return NewState(p.Codec, d, f, self, r.NotifyRemoved, log)
			},
			func(s *State) *mirror.Copy { return mirror.NewCopy(s.Apply) },
			func(self membership.Member) *membership.Registrar {
				return membership.NewRegistrar(p.Store, self, p.Settings.Get().IsFirstStart, log)
			},
		),
		fx.Invoke(start),
	)
}

const (
	// requestsPerCore is how many requests a second a core takes at two fifths of its time: one costs about 0.6 ms with
	// its part of heartbeats and evidence (column of processor time of the bench).
	requestsPerCore = 650
	// requestsPerMbps is how many requests a second a link of 1 Mbit/s takes at a third of its rate, at 10 KB a request.
	requestsPerMbps = 4
)

func newSelf(s *Settings) membership.Member {
	return membership.Member{
		Name: s.VM, Zone: s.Zone, Region: s.Region, CallerAddress: s.CallerListen, PeerAddress: s.PeerListen,
		Capacity: min(s.Cores*requestsPerCore, s.LinkMbps*requestsPerMbps),
	}
}

func newFleet(self membership.Member, s *Settings, log zerolog.Logger) *membership.Fleet {
	return membership.New(self, s.Regions, log)
}

func newPeer(s *Settings, f *membership.Fleet, g *Groups, log zerolog.Logger) (*vmpeer.Peer, error) {
	return vmpeer.Listen(s.PeerListen, f, g, log)
}

func newDispatcher(p *Platform, peer *vmpeer.Peer, g *Groups, m *metrics.Metrics, log zerolog.Logger) *dispatch.Dispatcher {
	s, h := p.Settings.Get(), p.Headers
	return dispatch.New(dispatch.Options{
		Zone: s.Zone, Region: s.Region, Regions: s.Regions,
		Protocol: dispatch.Protocol{
			RequestID: h.RequestID, DeadlineMS: h.DeadlineMS, Signature: h.Signature,
			ExpectedInstance: h.ExpectedInstance, NotExecuted: h.NotExecuted,
		},
		ShareEvidence: func(e dispatch.Evidence) {
			m.Sent(e)
			peer.SendEvidence(e)
		},
		ShareCrash: func(f poison.Fingerprint, server string) { peer.SendCrash(f, server) },
		RetryRatio: s.RetryRatio, RetryWindow: s.RetryWindow, RetryAllowance: g.RetryAllowance, Log: log,
	})
}

// zone shows the fleet to the mirror.
type zone struct{ *membership.Fleet }

// Sources implements mirror.Neighbours.
func (z zone) Sources() []mirror.Source {
	members := z.Fleet.Sources()
	out := make([]mirror.Source, 0, len(members))
	for _, m := range members {
		out = append(out, mirror.Source{Address: m.PeerAddress, Revision: m.Revision, Confirmed: m.Confirmed})
	}
	return out
}

func newMirror(p *Platform, c *mirror.Copy, f *membership.Fleet, r *membership.Registrar, peer *vmpeer.Peer, log zerolog.Logger) *mirror.Mirror {
	return mirror.New(mirror.Options{
		Store: p.Store, Copy: c, Peers: zone{f}, Fetcher: vmpeer.NewFetcher(),
		ZonePrefix: membership.ZonePrefix(p.Settings.Get().Zone), FirstReadersAfter: membership.FirstReadersAfter(p.Settings.Get().Zone),
		Registered: r.Registered(), IsFirstStart: p.Settings.Get().IsFirstStart,
		IsResumed: r.IsResumed, OnStateChange: peer.Announce, OnConfirm: peer.SendToHeads, Log: log,
	})
}

// parts are what start puts together.
type parts struct {
	fx.In

	Platform   *Platform
	Self       membership.Member
	Fleet      *membership.Fleet
	Groups     *Groups
	Peer       *vmpeer.Peer
	Dispatcher *dispatch.Dispatcher
	State      *State
	Copy       *mirror.Copy
	Mirror     *mirror.Mirror
	Registrar  *membership.Registrar
	Metrics    *metrics.Metrics
	// Rates are told to the other VMs of the zone.
	Rates *ingress.Rates
	Log   zerolog.Logger
}

// maxAgeMS stands for the age of a copy that was never complete.
const maxAgeMS = 3_600_000

// describe returns how the VM is now.
func (p *parts) describe() membership.Member {
	self := p.Self
	self.IsLeaving = p.State.IsLeaving()
	self.Rates = p.Rates.Get(time.Now())
	self.IsStoreUnreachable = p.Mirror.IsStoreUnreachable()
	self.IsReader = p.Fleet.ReaderRank() == 0
	self.IsWithoutConfig = p.State.Table() == nil
	self.Revision = p.Copy.Revision()
	self.AgeMS = min(p.Copy.Age(time.Now()).Milliseconds(), maxAgeMS)
	return self
}

func start(lc fx.Lifecycle, in parts) {
	p, s, f, peer, state, log := in.Platform, in.Platform.Settings.Get(), in.Fleet, in.Peer, in.State, in.Log
	in.Groups.Follow(state.Table)
	lc.Append(fx.StopHook(peer.Close))
	peer.Introduce(in.describe)
	listen.Background(lc, func(context.Context) { go peer.Receive(counting{in.Dispatcher, in.Metrics}) })
	serveMetrics(lc, in)
	listen.HTTP(lc, s.PeerListen, vmpeer.FeedHandler(mirror.NewFeed(in.Copy)))
	listen.Background(lc, in.Mirror.Run)
	listen.Background(lc, in.Registrar.Run)
	listen.Background(lc, peer.SendHeartbeats)
	listen.Background(lc, func(ctx context.Context) { periodic.Run(ctx, expireInterval, in.Dispatcher.ExpireCrashes) })
	directory := p.NewDirectory(func(host, zone string) ([]string, time.Duration) {
		return callerAddresses(f.Serving(host, zone, time.Now())), min(answerTTL, p.Settings.Get().MaxAnswerTTL)
	})
	listen.HTTP(lc, s.DirectoryListen, router(p.Paths.Resolve, directory))
	listen.HTTP(lc, s.ReadyListen, router(p.Paths.Ready, readyHandler(state)))
	handler := ingress.NewHandler(ingress.Headers{
		RequestID: p.Headers.RequestID, DeadlineMS: p.Headers.DeadlineMS,
		Internal: []string{p.Headers.ExpectedInstance, p.Headers.NotExecuted, p.Headers.Instance, p.Headers.Signature},
	}, state.AwaitTable, in.Dispatcher, state.IsLeaving, in.Metrics.Request, in.Rates, log)
	// What is appended last stops first.
	lc.Append(newCallerServer(p.Settings, state, in.Registrar, handler, peer.Announce, log).hook())
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

func readyHandler(s *State) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		if !s.IsReady() {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
	})
}
