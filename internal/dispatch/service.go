package dispatch

import (
	"cmp"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/primroseladder/primroseladder/internal/backend"
	"github.com/primroseladder/primroseladder/internal/evidence"
	"github.com/primroseladder/primroseladder/internal/logevent"
	"github.com/primroseladder/primroseladder/internal/room"
	"github.com/primroseladder/primroseladder/internal/roster"
	"github.com/primroseladder/primroseladder/internal/tcpdial"
	"github.com/primroseladder/primroseladder/internal/workload"
)

const (
	// initialDuration is the assumed median duration of a service's requests before the first one has succeeded.
	initialDuration = 300 * time.Millisecond
	// connectionShareDivisor sets the share of a backend server's connections that one VM may open: an eighth, about 45 of
	// 360. The few VMs that serve a service, and those that callers still use because of outdated directory answers,
	// together stay below the limit.
	connectionShareDivisor = 8
	// minConnections is the number of connections that a VM may always open.
	minConnections = 8
	// maxIdle is how long an idle connection is kept if the backend server announces no idle timeout.
	maxIdle = 7 * time.Second
	// peerOpenLifetime is how long the open requests of a peer at a backend server count without evidence from it. Peers send
	// evidence at each start and end.
	peerOpenLifetime = 4 * time.Second
)

// server is a backend server with this VM's state of it.
type server struct {
	roster.Server
	pool ConnectionPool
	// advice is what the backend server has said about itself.
	advice   *advice
	estimate evidence.HealthEstimate
	// path estimates the health of the network path from this VM.
	path        evidence.HealthEstimate
	slowness    evidence.Slowness
	warmupUntil time.Time
	// joined is when this VM first saw the backend server, zero if the service had no backend servers before.
	joined time.Time
	// lastUsed is when any VM last sent it a request, as far as this VM knows.
	lastUsed time.Time
	// unreachableAt is when a connection to it was last reported to have failed.
	unreachableAt time.Time
	// shedUntil is how long shedCost applies after the backend server refused a request.
	shedUntil time.Time
	// shedWeight is the part of shedCost that applies until then.
	shedWeight float64
	// queue holds the requests that are open at the backend server.
	queue workload.Queue
	// reported is the number of open requests of all VMs, as of the last answer to a question of this VM.
	reported reportedLoad
}

// reportedLoad is the number of requests that all VMs have open at a backend server, as another VM has said.
type reportedLoad struct {
	open int
	at   time.Time
}

// unseen returns the number of reported requests that are open at the backend server besides those of the queue. The caller
// must have removed the expired ones.
func (srv *server) unseen(now time.Time) int {
	if now.Sub(srv.reported.at) >= reportedLoadLifetime {
		return 0
	}
	return max(0, srv.reported.open-srv.queue.Len())
}

// load returns the number of requests open at the backend server, as far as this VM knows.
func (srv *server) load(now time.Time) int {
	srv.queue.Expire(peerOpenLifetime, srv.Slots, now)
	return srv.queue.Len() + srv.unseen(now)
}

// service is the state of one service on this VM.
type service struct {
	name    string
	options *Options

	// news is what has not been applied yet. Use lock and unlock, which apply it, rather than mu.
	news    news
	mu      sync.Mutex
	servers map[string]*server
	// advice holds what backend servers have said about themselves. It outlives changes of the list.
	advice map[incarnation]*advice
	// byDistance holds the servers in ascending order of distanceCost.
	byDistance []*server
	work       workload.Model
	recent     failureWindow
	// refusals counts the requests that backend servers have refused to run.
	refusals   failureWindow
	budget     *room.RetryBudget
	nextNumber uint16
	// evidenceAt is when this VM last got evidence on the service from other VMs, or of its own if it serves the service.
	evidenceAt time.Time
	question   healthQuestion
	// hadServers is set once the service has had backend servers. Those added later have joined a running service.
	hadServers bool
	// isServing is set if this VM is one of those that serve the service, as of the last pick.
	isServing bool
	// isSpreading is set while many requests fail, see updateSpreading.
	isSpreading bool
	// cachedInServiceLimit is the result of inServiceLimit at inServiceLimitAt.
	cachedInServiceLimit float64
	inServiceLimitAt     time.Time
}

func newService(name string, o *Options, now time.Time) *service {
	return &service{
		name: name, options: o, servers: map[string]*server{}, advice: map[incarnation]*advice{},
		news:   news{leaving: map[incarnation]bool{}},
		work:   workload.NewModel(initialDuration),
		budget: room.NewRetryBudget(o.RetryRatio, o.RetryWindow, now),
	}
}

// update passes on the current list of backend servers. It does not wait for the lock of the service.
func (s *service) update(list []roster.Server, maxConnections int, now time.Time) {
	s.news.setList(serverList{servers: list, maxConnections: maxConnections, at: now})
	s.applyPending()
}

// applyList applies a list of backend servers. The caller must hold the service's lock.
func (s *service) applyList(l *serverList) {
	list, maxConnections, now := l.servers, l.maxConnections, l.at
	removed, isChanged := maps.Clone(s.servers), false
	for _, entry := range list {
		delete(removed, entry.ID)
		known := s.servers[entry.ID]
		if known != nil && known.Incarnation == entry.Incarnation && known.Address == entry.Address {
			if entry.IsDraining && !known.IsDraining {
				logevent.BackendDraining.Log(s.options.Log).Str("service", s.name).Str("server", entry.ID).Send()
			}
			isChanged = isChanged || known.Zone != entry.Zone
			known.Server = entry
			continue
		}
		if known != nil {
			known.pool.Close()
		}
		s.servers[entry.ID] = s.newServer(entry, maxConnections, now)
		isChanged = true
	}
	for id, old := range removed {
		old.pool.Close()
		delete(s.servers, id)
		logevent.BackendRemoved.Log(s.options.Log).Str("service", s.name).Str("server", id).Send()
	}
	s.expireAdvice(now)
	s.hadServers = s.hadServers || len(list) > 0
	if !isChanged && len(removed) == 0 {
		return
	}
	s.byDistance = slices.SortedFunc(maps.Values(s.servers), func(a, b *server) int {
		return cmp.Or(cmp.Compare(s.distance(a), s.distance(b)), cmp.Compare(a.ID, b.ID))
	})
}

func (s *service) newServer(entry roster.Server, maxConnections int, now time.Time) *server {
	logevent.BackendJoined.Log(s.options.Log).Str("service", s.name).Str("server", entry.ID).Str("zone", entry.Zone).Send()
	added := &server{
		Server: entry, advice: s.adviceFor(incarnationOf(entry), now), path: evidence.NewPathEstimate(),
		warmupUntil: now.Add(entry.WarmupRemaining),
		pool:        s.options.Connect(entry, max(minConnections, maxConnections/connectionShareDivisor)),
	}
	if s.hadServers {
		added.joined = now
	}
	return added
}

// connectTCP returns a function that returns pools of TCP connections, which share the memory for answers.
func (o *Options) connectTCP() func(roster.Server, int) ConnectionPool {
	protocol, memory := o.Protocol, o.Memory
	return func(to roster.Server, maxConnections int) ConnectionPool {
		return backend.NewPoolWithOptions(to.Address, backend.Options{
			MaxConns: maxConnections, RequestIDHeader: protocol.RequestID, MaxIdle: maxIdle, Memory: memory,
			Dialer: tcpdial.NewDialer(tcpdial.BackendOptions), UserTimeout: tcpdial.BackendOptions.UserTimeout, AllowUnframed: true, SkipMismatched: true,
		})
	}
}
