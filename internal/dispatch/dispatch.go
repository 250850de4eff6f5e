// Package dispatch carries out requests on the backend servers of their service: it picks a backend server by expected
// cost, sends the request, and decides whether another attempt is allowed.
//
// A request that is not idempotent gets another attempt only where the one before provably did not run. Each service
// has its own lock. While peers are silent, each VM decides on its own evidence.
package dispatch

import (
	"context"
	"net/http"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"github.com/primroseladder/primroseladder/internal/backend"
	"github.com/primroseladder/primroseladder/internal/evidence"
	"github.com/primroseladder/primroseladder/internal/poison"
	"github.com/primroseladder/primroseladder/internal/roster"
	"github.com/primroseladder/primroseladder/internal/route"
)

// Request is a caller's request with its route.
type Request struct {
	ID     string
	Method string
	// URI is the request target: path and query.
	URI    string
	Host   string
	Caller string
	Header http.Header
	Body   []byte
	Target *route.Target
	// Service is the one of the target's services that the request goes to.
	Service string
	Arrival time.Time
	// ConfigVersion is the version of the configuration that chose the target.
	ConfigVersion uint64
	// CallerDeadline is when the caller stops waiting. Zero stands for none.
	CallerDeadline time.Time
}

// Outcome tells how a request ended.
type Outcome int

// The outcomes of a request.
const (
	// Answered requests have an answer of a backend server.
	Answered Outcome = iota
	// NotRun requests have not run and never will.
	NotRun
	// Unknown requests may have run.
	Unknown
	// TimedOut requests may have run and have reached the time limit of their route.
	TimedOut
)

// String returns the outcome's name in logs and metrics.
func (o Outcome) String() string {
	return [...]string{"answered", "not run", "unknown", "timed out"}[o]
}

// Result is how a request ended.
type Result struct {
	Outcome Outcome
	// Answer is set for answered requests.
	Answer *backend.Answer
	// RetryAfter tells when a request that has not run may come again.
	RetryAfter time.Duration
	// Reason tells why there is no answer.
	Reason string
	// Server is the backend server of the last attempt, Sick the probability of being sick that it was chosen with.
	Server               string
	UnhealthyProbability float64
	// IsTrial tells that the last attempt went to its backend server to keep it in service, not for its cost.
	IsTrial  bool
	Attempts int
}

// Evidence is what a VM tells its peers after each start and end of a request at a backend server.
type Evidence struct {
	Service string
	Server  string
	// Open is how many requests of the sending VM the backend server holds.
	Open int
	// HasOutcome is set at the end of a request.
	HasOutcome bool
	Outcome    evidence.Outcome
	// Took is how long a successful request took.
	Took time.Duration
	// IsTrial tells that the backend server was chosen to keep it in service, not for its cost.
	IsTrial bool
	// IsHealthTransition tells that the outcome has turned the backend server from sound to sick or back, as this VM sees it.
	IsHealthTransition bool
}

// Protocol names the headers that are exchanged with backend servers.
type Protocol struct {
	RequestID, DeadlineMS, Signature, ExpectedInstance, NotExecuted string
}

// ConnectionPool carry requests to one backend server.
type ConnectionPool interface {
	// Do sends a request and returns the whole answer. backend.HasStarted tells of its errors whether it may have run.
	Do(ctx context.Context, r *backend.Request) (*backend.Answer, error)
	// HasIdle reports whether a request needs no new connection.
	HasIdle() bool
	Close()
}

// Options set up a Dispatcher.
type Options struct {
	Zone, Region string
	// Regions maps zones to regions.
	Regions  map[string]string
	Protocol Protocol
	// Connect returns the connections to a backend server. Without one they are opened over TCP.
	Connect func(to roster.Server, maxConnections int) ConnectionPool
	// ShareEvidence is told the evidence of this VM. It must not block.
	ShareEvidence func(Evidence)
	// ShareCrash is told of requests that broke the connection of their backend server. It must not block.
	ShareCrash func(f poison.Fingerprint, server string)
	// RetryRatio is the part of a service's requests that may be sent once more.
	RetryRatio float64
	// RetryWindow is the time over which retries are counted.
	RetryWindow time.Duration
	// RetryAllowance returns how many requests above the ratio this VM may send once more to a service in a window.
	RetryAllowance func(service string) float64
	Log            zerolog.Logger
}

// Dispatcher sends requests to backend servers.
type Dispatcher struct {
	options Options
	crashes *poison.Registry

	mu       sync.RWMutex
	services map[string]*service
}

// crashWindow is how long a request that breaks backend servers is remembered.
const crashWindow = 10 * time.Minute

// New returns a dispatcher without backend servers.
func New(o Options) *Dispatcher {
	if o.Connect == nil {
		o.Connect = o.connectTCP
	}
	return &Dispatcher{options: o, crashes: poison.NewRegistry(crashWindow), services: map[string]*service{}}
}

// Update takes the backend servers and connection limits that are in force.
func (d *Dispatcher) Update(servers map[string][]roster.Server, config *route.Config) {
	limits := map[string]int{}
	if config != nil {
		for _, s := range config.Services {
			limits[s.Name] = s.MaxConnections
		}
	}
	now := time.Now()
	d.mu.Lock()
	for name := range servers {
		if d.services[name] == nil {
			d.services[name] = newService(name, &d.options, now)
		}
	}
	current := make([]*service, 0, len(d.services))
	for _, s := range d.services {
		current = append(current, s)
	}
	d.mu.Unlock()
	for _, s := range current {
		s.update(servers[s.name], limits[s.name], now)
	}
}

func (d *Dispatcher) service(name string) *service {
	d.mu.RLock()
	defer d.mu.RUnlock()
	return d.services[name]
}

// ReceiveEvidence takes the evidence of a peer.
func (d *Dispatcher) ReceiveEvidence(peer string, e Evidence) {
	if s := d.service(e.Service); s != nil {
		s.receiveEvidence(peer, e, time.Now())
	}
}

// ReceiveHealthTransition takes an outcome from another region that has turned a backend server from sound to sick or back there. Other
// regions tell nothing else, so that the bytes between them do not grow with the requests.
func (d *Dispatcher) ReceiveHealthTransition(e Evidence) {
	if s := d.service(e.Service); s != nil {
		s.receiveHealthTransition(e, time.Now())
	}
}

// ReceiveCrash takes a peer's note of a request that broke the connection of its backend server.
func (d *Dispatcher) ReceiveCrash(f poison.Fingerprint, server string) {
	d.crashes.RecordCrash(f, server)
}

// ExpireCrashes forgets crashes that are older than their window.
func (d *Dispatcher) ExpireCrashes() { d.crashes.Expire() }

// Do carries out a request. ctx ends when the caller is gone.
func (d *Dispatcher) Do(ctx context.Context, r *Request) Result {
	s := d.service(r.Service)
	if s == nil {
		return Result{Outcome: NotRun, Reason: reasonNoServer, RetryAfter: retryAfterNoServer}
	}
	s.countRequest()
	run := &attemptLoop{dispatcher: d, service: s, request: r, deadline: r.Arrival.Add(r.Target.Timeout)}
	if !r.CallerDeadline.IsZero() && r.CallerDeadline.Before(run.deadline) {
		run.deadline = r.CallerDeadline
	}
	ctx, cancel := context.WithDeadline(ctx, run.deadline)
	defer cancel()
	return run.run(ctx)
}

const (
	// retryAfterNoServer is the advice where a service has no backend server: entries are renewed every 1.5 s.
	retryAfterNoServer = 500 * time.Millisecond
	// retryAfterBlocked is the advice for requests that are held back because they break backend servers.
	retryAfterBlocked = 10 * time.Second
)

// Reasons of requests without an answer.
const (
	reasonNoServer     = "no backend server"
	reasonAllBusy      = "all backend servers are busy past the deadline"
	reasonShed         = "backend servers refused to run it"
	reasonBlocked      = "it has broken the connections of backend servers before"
	reasonLost         = "the answer was lost"
	reasonGarbled      = "the answer was unusable"
	reasonTimeLimit    = "the time limit was reached"
	reasonCallerGone   = "the caller is gone"
	reasonServerFailed = "the backend server reported failure"
	reasonConnect      = "no connection to a backend server"
)
