// Package dispatch executes requests on the backend servers of their service: it picks a backend server by expected
// cost, sends the request, and decides whether another attempt is allowed.
//
// A request that is not idempotent is sent again only if the previous attempt provably did not run. Each service has
// its own lock. A VM that receives nothing from its peers decides on its own evidence alone.
package dispatch

import (
	"context"
	"maps"
	"math"
	"net/http"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"github.com/primroseladder/primroseladder/internal/backend"
	"github.com/primroseladder/primroseladder/internal/evidence"
	"github.com/primroseladder/primroseladder/internal/membudget"
	"github.com/primroseladder/primroseladder/internal/poison"
	"github.com/primroseladder/primroseladder/internal/roster"
	"github.com/primroseladder/primroseladder/internal/route"
	"github.com/primroseladder/primroseladder/internal/workload"
)

// Request is a caller's request and the route it takes.
type Request struct {
	ID     string
	Method string
	// URI is the request target: path and query.
	URI    string
	Host   string
	Header http.Header
	Body   []byte
	Target *route.Target
	// Service is the service, one of the target's, that the request goes to.
	Service string
	// Organisation is the name of the organisation whose key the request carried, empty if there is none.
	Organisation string
	// Priority is the rank of the request, that of its organisation or else of its route; 0 is the highest.
	Priority int
	// Arrival is when the VM read the request, less how late it ran then: all times count from when the caller sent it.
	Arrival time.Time
	// ConfigVersion is the version of the configuration that Target comes from.
	ConfigVersion uint64
	// CallerDeadline is when the caller stops waiting. Zero means no deadline.
	CallerDeadline time.Time
	// IsStillAllowed, if set, reports whether the configuration in force still lets the request go to Service. It is asked right
	// before the request is written.
	IsStillAllowed func() bool
}

// Outcome is the kind of result that a request has.
type Outcome int

// The outcomes of a request.
const (
	// Answered requests have an answer from a backend server.
	Answered Outcome = iota
	// NotRun requests have not run and never will.
	NotRun
	// Unknown requests may have run.
	Unknown
	// TimedOut requests may have run and reached their deadline.
	TimedOut
)

// String returns the outcome's name in logs and metrics.
func (o Outcome) String() string {
	return [...]string{"answered", "not run", "unknown", "timed out"}[o]
}

// Result is the result of a request.
type Result struct {
	Outcome Outcome
	// Answer is set for answered requests.
	Answer *backend.Answer
	// RetryAfter is the time after which a request that has not run may be sent again.
	RetryAfter time.Duration
	// IsSuperseded is set if the request has not run because the configuration in force no longer lets it go to its service. It may
	// have to go elsewhere.
	IsSuperseded bool
	// Reason is why there is no successful answer.
	Reason string
	// Server is the backend server of the last attempt. UnhealthyProbability is the unhealthy probability that this
	// backend server had when it was picked.
	Server               string
	UnhealthyProbability float64
	// ExpectedWait is how long the last attempt was expected to wait for a slot of its backend server.
	ExpectedWait time.Duration
	// IsTrial is set if the last attempt went to an idle backend server to keep it in service, not because of its cost.
	IsTrial  bool
	Attempts int
	// Timing is when the last attempt was decided on and written.
	Timing Timing
}

// Timing is when an attempt was decided on and written, and by what. It explains a request that is sent late.
type Timing struct {
	// ChosenAt is when the backend server was chosen, zero if none was.
	ChosenAt time.Time
	// EntryRevision is the store revision of the entry of the backend server by which it was chosen.
	EntryRevision uint64
	// WrittenAt is when the request was written, zero if it was not.
	WrittenAt time.Time
	// Lag is how late the process ran at the last of these.
	Lag time.Duration
}

// Evidence is what a VM sends to its peers whenever one of its requests starts or ends at a backend server.
type Evidence struct {
	Service string
	Server  string
	// Open is the number of requests that the sending VM has open at the backend server.
	Open int
	// IsStart is set if the request has just been sent.
	IsStart bool
	// HasOutcome is set if the request has ended.
	HasOutcome bool
	Outcome    evidence.Outcome
	// Work identifies the request and its class.
	Work Work
	// Took is the time from the start to the end of the request.
	Took time.Duration
	// IsTrial is set if the backend server was picked to keep it in service, not because of its cost.
	IsTrial bool
	// IsHealthTransition is set if the outcome has changed the state of the backend server, as this VM estimates it,
	// from healthy to unhealthy or back.
	IsHealthTransition bool
	// Statement is what the backend server says about itself in its answer. IsNews is set if this VM did not know it.
	Statement Statement
	IsNews    bool
	// IsRetry is set if the VM has taken a retry from the budget of the service. Nothing else but Service is set then.
	IsRetry bool
}

// Work identifies a request that a VM sends to a backend server. The zero value is that of a VM that sends only the number of
// its open requests.
type Work struct {
	Class workload.Class
	// Number is unique among the requests that the VM has open at the backend server.
	Number uint16
}

// Protocol holds the names of the headers that are exchanged with backend servers.
type Protocol struct {
	RequestID, DeadlineMS, Signature, ExpectedInstance, NotExecuted, Leaving, Limit string
}

// ConnectionPool holds this VM's connections to one backend server.
type ConnectionPool interface {
	// Do sends a request, after BeforeWrite of the request has agreed, and returns the complete answer. After an error,
	// backend.MayHaveStarted reports whether the request may have run.
	Do(ctx context.Context, r *backend.Request) (*backend.Answer, error)
	// HasIdle reports whether a request can be sent without opening a connection.
	HasIdle() bool
	Close()
}

// Options configure a Dispatcher.
type Options struct {
	Zone, Region string
	// Regions maps each zone to its region.
	Regions  map[string]string
	Protocol Protocol
	// Memory limits the answers that are being received. If it is nil, they have a limit of their own.
	Memory *membudget.Budget
	// Connect returns the connection pool of a backend server. If it is nil, pools open TCP connections.
	Connect func(to roster.Server, maxConnections int) ConnectionPool
	// ShareEvidence is called with each evidence of this VM. It must not block.
	ShareEvidence func(Evidence)
	// Crashes holds the crashes of requests, if it is not nil.
	Crashes *poison.Registry
	// ShareCrash is called when a request has broken the connection of its backend server. It must not block.
	ShareCrash func(poison.Crash)
	// Serves reports whether this VM is one of those that serve a service and tell each other of their requests.
	Serves func(service string) bool
	// AskHealth asks other VMs which backend servers of a service are healthy; they answer with ReceiveHealth. It reports
	// whether there was a VM to ask, and must not block.
	AskHealth func(service string) bool
	// RetryRatio is the share of a service's requests that may be retried.
	RetryRatio float64
	// RetryWindow is the time over which retries are counted.
	RetryWindow time.Duration
	// RetryAllowance returns how many retries in a window this VM may send to a service in addition to RetryRatio.
	RetryAllowance func(service string) float64
	// RegionRetryAllowance returns the same for all VMs of the region that share evidence on the service, which is the most that
	// they have together. If it is nil, it is that of this VM for each VM that it hears of.
	RegionRetryAllowance func(service string) float64
	// RecordRetry is called with each request that asks for a retry. isSent is set if it gets one.
	RecordRetry func(service string, priority int, isSent bool)
	// Lag returns how late the process runs, for the log.
	Lag func() time.Duration
	// ReportWait is called with the time that each request has waited for others until its backend server was chosen.
	ReportWait func(time.Duration)
	Log        zerolog.Logger
}

// Dispatcher sends requests to backend servers.
type Dispatcher struct {
	options Options
	crashes *poison.Registry

	mu       sync.RWMutex
	services map[string]*service
}

// answerMemoryBytes limits the answers that are being received where Options.Memory sets no limit.
const answerMemoryBytes = 32 << 20

// New returns a dispatcher without backend servers.
func New(o Options) *Dispatcher {
	if o.Serves == nil {
		o.Serves = func(string) bool { return true }
	}
	if o.AskHealth == nil {
		o.AskHealth = func(string) bool { return false }
	}
	if o.Memory == nil {
		o.Memory = membudget.New(answerMemoryBytes)
	}
	if o.RegionRetryAllowance == nil {
		o.RegionRetryAllowance = func(string) float64 { return math.Inf(1) }
	}
	if o.RecordRetry == nil {
		o.RecordRetry = func(string, int, bool) {}
	}
	if o.Lag == nil {
		o.Lag = func() time.Duration { return 0 }
	}
	if o.ReportWait == nil {
		o.ReportWait = func(time.Duration) {}
	}
	if o.Connect == nil {
		o.Connect = o.connectTCP()
	}
	if o.Crashes == nil {
		o.Crashes = poison.NewRegistry(poison.DefaultWindow)
	}
	return &Dispatcher{options: o, crashes: o.Crashes, services: map[string]*service{}}
}

// Update applies the current backend servers of all services and connection limits.
func (d *Dispatcher) Update(servers map[string][]roster.Server, config *route.Config) {
	all := map[string][]roster.Server{}
	d.mu.RLock()
	for name := range d.services {
		all[name] = nil
	}
	d.mu.RUnlock()
	maps.Copy(all, servers)
	d.UpdateChanged(all, config)
}

// UpdateChanged applies the current backend servers of some services, and connection limits. Others stay as they are.
func (d *Dispatcher) UpdateChanged(servers map[string][]roster.Server, config *route.Config) {
	limits := map[string]int{}
	if config != nil {
		for _, s := range config.Services {
			limits[s.Name] = s.MaxConnections
		}
	}
	now := time.Now()
	current := make([]*service, 0, len(servers))
	d.mu.Lock()
	for name := range servers {
		if d.services[name] == nil {
			d.services[name] = newService(name, &d.options, now)
		}
		current = append(current, d.services[name])
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

// ReceiveEvidence applies the evidence of a peer in this region. Like Update and the other methods that receive something, it does
// not wait for requests that wait for their choice.
func (d *Dispatcher) ReceiveEvidence(peer string, e Evidence) {
	if s := d.service(e.Service); s != nil {
		s.news.addReport(report{evidence: &e, peer: peer, at: time.Now()})
		s.applyPending()
	}
}

// ReceiveHealthTransition applies an outcome from another region that has changed the health of a backend server there, or
// what a backend server has newly said about itself to any VM. Other regions send nothing else, so that the traffic between
// regions does not grow with the requests.
func (d *Dispatcher) ReceiveHealthTransition(e Evidence) {
	if s := d.service(e.Service); s != nil {
		s.news.addReport(report{evidence: &e, at: time.Now()})
		s.applyPending()
	}
}

// ReceiveCrash records a request that broke the connection of its backend server on a peer.
func (d *Dispatcher) ReceiveCrash(c poison.Crash) {
	d.crashes.ReceiveCrash(c)
}

// ExpireCrashes removes crashes whose window has ended.
func (d *Dispatcher) ExpireCrashes() { d.crashes.Expire() }

// Do executes a request. ctx must be cancelled when the caller disconnects.
func (d *Dispatcher) Do(ctx context.Context, r *Request) Result {
	s := d.service(r.Service)
	if s == nil {
		return Result{Outcome: NotRun, Reason: reasonNoServer, RetryAfter: retryAfterNoServer}
	}
	s.countRequest()
	loop := &attemptLoop{dispatcher: d, service: s, request: r, deadline: r.Arrival.Add(r.Target.Timeout)}
	if !r.CallerDeadline.IsZero() && r.CallerDeadline.Before(loop.deadline) {
		loop.deadline = r.CallerDeadline
	}
	ctx, cancel := context.WithDeadline(ctx, loop.deadline)
	defer cancel()
	s.ensureEvidence(ctx, time.Now())
	return loop.run(ctx)
}

const (
	// retryAfterNoServer is the Retry-After of a service without backend servers. Backend
	// servers renew their entries every 1.5 s.
	retryAfterNoServer = 500 * time.Millisecond
	// retryAfterBlocked is the Retry-After of requests that are blocked because they crash backend servers.
	retryAfterBlocked = 10 * time.Second
)

// Reasons of requests without a successful answer.
const (
	reasonNoServer           = "no backend server"
	reasonAllBusy            = "all backend servers are busy past the deadline"
	reasonAdvised            = "backend servers have reached the limits that they name, or want no requests for a time"
	reasonShed               = "backend servers refused to run it"
	reasonBlocked            = "it has broken the connections of backend servers before"
	reasonLost               = "the answer was lost"
	reasonGarbled            = "the answer was unusable"
	reasonTimeLimit          = "the time limit was reached"
	reasonCallerDisconnected = "the caller is gone"
	reasonServerFailed       = "the backend server reported failure"
	reasonConnect            = "no connection to a backend server"
	reasonSuperseded         = "the configuration has changed before the request was sent"
	reasonServerLeft         = "the backend server left before the request was sent"
)
