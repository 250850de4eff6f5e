package soak

import (
	"fmt"
	"slices"
	"sync"
	"time"

	"github.com/primroseladder/primroseladder/internal/route"
)

// request is one attempt of a caller.
type request struct {
	id     string
	method string
	host   string
	uri    string
	body   string
	kind   route.Kind
	// vm is the VM that the caller sent it to.
	vm   *vm
	sent time.Time
	// limit is the earlier of the route's time limit and the caller's deadline, counted from sent.
	limit time.Duration
	// abandoned is when the caller gave it up early; zero where it did not.
	abandoned time.Time

	ended  time.Time
	status int
	// err tells why there was no whole answer.
	err error
}

// run is a request at a backend server that has begun to work on it.
type run struct {
	id      string
	service string
	server  *backendServer
	began   time.Time
	// ended is when the backend server stopped work; zero while it works.
	ended time.Time
	// status is what it answered; 0 where it answered nothing whole.
	status int
	// isCancelled tells that its work ended because its connection was closed.
	isCancelled bool
}

// disturbance is a time with a disturbance. Planned ones are stops and settings files that change.
type disturbance struct {
	from, to  time.Time
	isPlanned bool
}

// disturbances are the disturbances of one part of the deployment. They may be used by several goroutines.
type disturbances struct {
	mu   sync.Mutex
	list []*disturbance
}

// begin notes a disturbance that lasts until the returned function is called.
func (s *disturbances) begin(isPlanned bool) (end func()) {
	// A disturbance that has not ended reaches beyond any time.
	current := &disturbance{from: time.Now(), to: time.Now().Add(time.Hour), isPlanned: isPlanned}
	s.mu.Lock()
	s.list = append(s.list, current)
	s.mu.Unlock()
	return func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		current.to = time.Now()
	}
}

// isUndisturbed reports whether there was no disturbance between two times. Planned ones count only where withPlanned is set.
func (s *disturbances) isUndisturbed(from, to time.Time, withPlanned bool) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return !slices.ContainsFunc(s.list, func(d *disturbance) bool {
		return (withPlanned || !d.isPlanned) && d.from.Before(to) && d.to.After(from)
	})
}

// ledger holds what callers sent and what backend servers ran. It may be used by several goroutines.
type ledger struct {
	mu       sync.Mutex
	requests map[string]*request
	runs     map[string][]*run
	configs  []configVersion
	// violations are broken promises that showed while the soak ran.
	violations []string
}

// configVersion is a configuration with the time at which the store had taken it.
type configVersion struct {
	table  *route.Table
	stored time.Time
}

func newLedger() *ledger {
	return &ledger{requests: map[string]*request{}, runs: map[string][]*run{}}
}

// violation notes a broken promise.
func (l *ledger) violation(format string, args ...any) {
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

// recordEnd notes how a request ended for its caller.
func (l *ledger) recordEnd(r *request, status int, err error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	r.ended, r.status, r.err = time.Now(), status, err
}

// recordAbandoned notes that the caller has given a request up.
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

// hasAnswer reports whether a backend server answered the request with the status.
func (l *ledger) hasAnswer(id, signature string, status int) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return slices.ContainsFunc(l.runs[id], func(r *run) bool {
		return signatureOf(r.server.ID, id) == signature && r.status == status
	})
}

// recordConfig notes a version that the store has taken.
func (l *ledger) recordConfig(c *route.Config) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.configs = append(l.configs, configVersion{table: route.NewTable(c, nil), stored: time.Now()})
}

// allowedServices returns the services to which the versions allow a request that were in force at a time or came later. With a
// zero time these are all versions.
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
