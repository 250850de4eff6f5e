package soak

import (
	"fmt"
	"slices"
	"sync"
	"time"

	"github.com/primroseladder/primroseladder/internal/route"
)

// request is one request of a caller.
type request struct {
	id     string
	method string
	host   string
	uri    string
	body   string
	kind   route.Kind
	// vm is the VM that the caller sent it to.
	vm *vm
	// isDirect is set if it does not pass the relay, so that the VM sees the caller's address.
	isDirect bool
	sent     time.Time
	// limit is the earlier of the route's time limit and the caller's deadline, counted from sent.
	limit time.Duration
	// abandoned is when the caller stopped waiting before the limit; zero if it did not.
	abandoned time.Time

	ended  time.Time
	status int
	// err is why there was no complete answer.
	err error
}

// run is the execution of a request by a backend server.
type run struct {
	id      string
	service string
	server  *backendServer
	began   time.Time
	// ended is when the backend server stopped working; zero while it works.
	ended time.Time
	// status is the status of the answer; 0 if the server sent no complete answer.
	status int
	// isCancelled is set if the work ended because the connection was closed.
	isCancelled bool
}

// disturbance is the time span of a fault or of planned work. Planned work is a graceful stop or a change of the settings
// file.
type disturbance struct {
	from, to  time.Time
	isPlanned bool
}

// disturbances holds the disturbances of one part of the deployment. It is safe for concurrent use.
type disturbances struct {
	mu   sync.Mutex
	list []*disturbance
}

// begin records a disturbance that lasts until the returned function is called.
func (ds *disturbances) begin(isPlanned bool) (end func()) {
	// The end of a disturbance in progress is after the end of any soak.
	current := &disturbance{from: time.Now(), to: time.Now().Add(time.Hour), isPlanned: isPlanned}
	ds.mu.Lock()
	ds.list = append(ds.list, current)
	ds.mu.Unlock()
	return func() {
		ds.mu.Lock()
		defer ds.mu.Unlock()
		current.to = time.Now()
	}
}

// isUndisturbed reports whether there was no disturbance between two times. Planned ones count only if withPlanned is set.
func (ds *disturbances) isUndisturbed(from, to time.Time, withPlanned bool) bool {
	ds.mu.Lock()
	defer ds.mu.Unlock()
	return !slices.ContainsFunc(ds.list, func(d *disturbance) bool {
		return (withPlanned || !d.isPlanned) && d.from.Before(to) && d.to.After(from)
	})
}

// ledger records the requests that callers sent and their runs on backend servers. It is safe for concurrent use.
type ledger struct {
	mu       sync.Mutex
	requests map[string]*request
	runs     map[string][]*run
	crashes  []crash
	configs  []configVersion
	// violations describes the broken promises found so far.
	violations []string
}

// configVersion is a configuration with the time at which the store accepted it.
type configVersion struct {
	table  *route.Table
	stored time.Time
}

func newLedger() *ledger {
	return &ledger{requests: map[string]*request{}, runs: map[string][]*run{}}
}

// recordViolation records a broken promise.
func (l *ledger) recordViolation(format string, args ...any) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.violations = append(l.violations, fmt.Sprintf(format, args...))
}

func (l *ledger) recordRequest(r *request) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.requests[r.id] = r
}

func (l *ledger) request(id string) *request {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.requests[id]
}

// recordEnd records how a request ended for its caller.
func (l *ledger) recordEnd(r *request, status int, err error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	r.ended, r.status, r.err = time.Now(), status, err
}

// recordAbandoned records that the caller has abandoned a request.
func (l *ledger) recordAbandoned(r *request) {
	l.mu.Lock()
	defer l.mu.Unlock()
	r.abandoned = time.Now()
}

func (l *ledger) recordRun(r *run) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.runs[r.id] = append(l.runs[r.id], r)
}

func (l *ledger) recordRunEnd(r *run, status int, isCancelled bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	r.ended, r.status, r.isCancelled = time.Now(), status, isCancelled
}

func (l *ledger) recordCrash(c crash) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.crashes = append(l.crashes, c)
}

// crashesByURI returns the crashes by the requests that caused them, in their order.
func (l *ledger) crashesByURI() map[string][]crash {
	l.mu.Lock()
	defer l.mu.Unlock()
	out := map[string][]crash{}
	for _, c := range l.crashes {
		out[c.request.uri] = append(out[c.request.uri], c)
	}
	return out
}

// hasAnswer reports whether the backend server that made the signature answered the request with the status.
func (l *ledger) hasAnswer(id, signature string, status int) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return slices.ContainsFunc(l.runs[id], func(r *run) bool {
		return signatureOf(r.server.ID, id) == signature && r.status == status
	})
}

// serverOf returns the backend server that made the signature of an answer to the request, or nil.
func (l *ledger) serverOf(id, signature string) *backendServer {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, r := range l.runs[id] {
		if signatureOf(r.server.ID, id) == signature {
			return r.server
		}
	}
	return nil
}

// recordConfig records a configuration that the store has accepted.
func (l *ledger) recordConfig(c *route.Config) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.configs = append(l.configs, configVersion{table: route.NewTable(c, nil), stored: time.Now()})
}

// allowedServices returns the services that may receive a request according to the configuration in force at a time and
// all later ones. A zero time selects all configurations.
func (l *ledger) allowedServices(host, path string, since time.Time) map[string]bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	out := map[string]bool{}
	for i, v := range l.configs {
		isReplaced := i+1 < len(l.configs) && l.configs[i+1].stored.Before(since)
		if isReplaced {
			continue
		}
		if target := v.table.Find(host, path); target != nil {
			for _, s := range target.Shares {
				out[s.Service] = true
			}
		}
	}
	return out
}
