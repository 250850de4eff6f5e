package dispatch

import (
	"maps"
	"sync"
	"time"

	"github.com/primroseladder/primroseladder/internal/backend"
	"github.com/primroseladder/primroseladder/internal/evidence"
	"github.com/primroseladder/primroseladder/internal/logevent"
	"github.com/primroseladder/primroseladder/internal/roster"
	"github.com/primroseladder/primroseladder/internal/tcpdial"
)

const (
	// initialDuration is the duration that is assumed before a service has answered once.
	initialDuration = 300 * time.Millisecond
	// connectionsDivisor is the part of a backend server's connections that one VM may open: about an eighth of 360 lets
	// the few VMs that serve a service and those with old answers stay below the limit.
	connectionsDivisor = 8
	// minConnections is how many connections a VM may open at least.
	minConnections = 8
	// maxIdle is how long an unused connection is kept where the backend server announces no time.
	maxIdle = 7 * time.Second
	// peerOpenLifetime is how long a peer's count of open requests holds without news. Peers tell each start and end.
	peerOpenLifetime = 4 * time.Second
)

// server is a backend server with what is known of it.
type server struct {
	roster.Server
	pool     ConnectionPool
	estimate evidence.HealthEstimate
	// path is the estimate for the path from this VM.
	path        evidence.HealthEstimate
	slowness    evidence.Slowness
	warmupUntil time.Time
	// joined is when this VM first saw the backend server.
	joined time.Time
	// lastUsed is when any VM last sent it a request, as far as this VM knows.
	lastUsed time.Time
	// unreachableAt is when a connection to it last failed.
	unreachableAt time.Time
	// shedUntil is set after the backend server refused a request.
	shedUntil time.Time
	// open are the starts of the requests of this VM that it holds.
	open map[uint64]time.Time
	// peerOpen are the numbers of requests of other VMs that it holds.
	peerOpen map[string]peerCount
}

type peerCount struct {
	open int
	at   time.Time
}

// load is how many requests the backend server holds, as far as this VM knows.
func (s *server) load(now time.Time) int {
	n := len(s.open)
	for _, p := range s.peerOpen {
		if now.Sub(p.at) < peerOpenLifetime {
			n += p.open
		}
	}
	return n
}

// service is the state of one service on this VM.
type service struct {
	name    string
	options *Options

	mu         sync.Mutex
	servers    map[string]*server
	durations  evidence.DurationModel
	recent     failureWindow
	budget     retryBudget
	nextOpenID uint64
	// hadServers is set once the service had backend servers; those that come later have joined a running service.
	hadServers bool
	// isSpreading is set while many requests fail, see mustSpread.
	isSpreading bool
	// cachedInServiceLimit is the limit of coverLimit, worked out at coverLimitAt.
	cachedInServiceLimit float64
	inServiceLimitAt     time.Time
	// meanBytes is the moving mean of the bytes of request and answer.
	meanBytes float64
}

func newService(name string, o *Options, now time.Time) *service {
	return &service{
		name: name, options: o, servers: map[string]*server{}, durations: evidence.NewDurationModel(initialDuration),
		budget: retryBudget{ratio: o.RetryRatio, window: o.RetryWindow, refilled: now},
	}
}

// update takes the list of backend servers that is in force.
func (s *service) update(list []roster.Server, maxConnections int, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	removed := maps.Clone(s.servers)
	for _, entry := range list {
		delete(removed, entry.ID)
		known := s.servers[entry.ID]
		if known != nil && known.Incarnation == entry.Incarnation && known.Address == entry.Address {
			if entry.IsDraining && !known.IsDraining {
				logevent.BackendDraining.Log(s.options.Log).Str("service", s.name).Str("server", entry.ID).Send()
			}
			known.Server = entry
			continue
		}
		if known != nil {
			known.pool.Close()
		}
		s.servers[entry.ID] = s.newServer(entry, maxConnections, now)
	}
	for id, old := range removed {
		old.pool.Close()
		delete(s.servers, id)
		logevent.BackendGone.Log(s.options.Log).Str("service", s.name).Str("server", id).Send()
	}
	s.hadServers = s.hadServers || len(list) > 0
}

func (s *service) newServer(entry roster.Server, maxConnections int, now time.Time) *server {
	logevent.BackendJoined.Log(s.options.Log).Str("service", s.name).Str("server", entry.ID).Str("zone", entry.Zone).Send()
	added := &server{
		Server: entry, path: evidence.NewPathEstimate(), warmupUntil: now.Add(entry.WarmupRemaining), open: map[uint64]time.Time{}, peerOpen: map[string]peerCount{},
		pool: s.options.Connect(entry, max(minConnections, maxConnections/connectionsDivisor)),
	}
	if s.hadServers {
		added.joined = now
	}
	return added
}

func (o *Options) connectTCP(to roster.Server, maxConnections int) ConnectionPool {
	return backend.NewPoolWith(to.Address, backend.Options{
		MaxConns: maxConnections, RequestIDHeader: o.Protocol.RequestID, MaxIdle: maxIdle,
		Dialer: tcpdial.New(tcpdial.Backend), TakesUnframed: true, SkipsForeign: true,
	})
}

func (s *service) countRequest() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.budget.earn()
}

// takeRetry takes one retry from the budget where there is one.
func (s *service) takeRetry(now time.Time) bool {
	allowance := s.options.RetryAllowance(s.name)
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.budget.take(now, allowance)
}
