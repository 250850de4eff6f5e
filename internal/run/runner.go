package run

import (
	"context"
	"sync"
	"time"

	"github.com/primroseladder/primroseladder/internal/admission"
	"github.com/primroseladder/primroseladder/internal/catalogue"
	"github.com/primroseladder/primroseladder/internal/fleet"
	"github.com/primroseladder/primroseladder/internal/membudget"
	"github.com/primroseladder/primroseladder/internal/outcome"
	"github.com/primroseladder/primroseladder/internal/poison"
	"github.com/primroseladder/primroseladder/internal/request"
	"github.com/primroseladder/primroseladder/internal/snapshot"
)

// CrashSharer reports to the other entries of a service's group that a request crashed a backend server, or that an
// answer cleared the request of suspicion.
type CrashSharer interface {
	ShareCrash(service string, f poison.Fingerprint, backend string)
	ShareCleared(service string, f poison.Fingerprint)
}

// answerMemoryBytes is the memory for the answers that an entry receives at the same time.
const answerMemoryBytes = 128 << 20

// Runner runs the requests of all services on their backend servers. It is safe for concurrent use.
type Runner struct {
	region      string
	health      *HealthOptions
	holder      *snapshot.Holder
	gate        *admission.Gate
	poison      *poison.Registry
	crashSharer CrashSharer
	// answerMemory limits the memory for the answers that are being received by all services.
	answerMemory *membudget.Budget

	mu       sync.RWMutex
	services map[string]*Service
}

// NewRunner returns a runner for an entry in the given region. The runner updates its services whenever the holder's
// snapshot changes.
func NewRunner(
	region string, options *HealthOptions, holder *snapshot.Holder, gate *admission.Gate, poisonRegistry *poison.Registry,
	crashSharer CrashSharer,
) *Runner {
	r := &Runner{
		region: region, health: options, holder: holder, gate: gate, poison: poisonRegistry, crashSharer: crashSharer,
		answerMemory: membudget.New(answerMemoryBytes), services: map[string]*Service{},
	}
	holder.OnChange(r.adopt)
	return r
}

// adopt updates the services that already have state, and drops those that are no longer in the catalogue.
func (r *Runner) adopt(s *snapshot.Snapshot) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for name, service := range r.services {
		e, found := s.Routes.Service(name)
		if !found {
			service.update(service.entry, &fleet.View{})
			delete(r.services, name)
			continue
		}
		service.update(e, s.View)
	}
}

// service returns the state of a service and creates it on first use.
func (r *Runner) service(e *catalogue.Entry) *Service {
	r.mu.RLock()
	found := r.services[e.Service]
	r.mu.RUnlock()
	if found != nil {
		return found
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if found = r.services[e.Service]; found != nil {
		return found
	}
	created := newService(r.region, e, r.health, r.answerMemory)
	created.update(e, r.holder.Get().View)
	r.services[e.Service] = created
	return created
}

// Run runs the request, with retries where they are safe, and returns the response for the caller. The response is never
// nil.
func (r *Runner) Run(ctx context.Context, req *request.Request) *request.Response {
	if !r.gate.Admit(req.Entry.Class) {
		return refuse(req, outcome.ReasonOverload, time.Second)
	}
	defer r.gate.Release()
	ctx, cancel := context.WithDeadline(ctx, req.Deadline)
	defer cancel()
	x := &execution{
		runner: r, service: r.service(req.Entry), req: req,
		waiter: &admission.Waiter{
			Organisation: req.Organisation, Arrival: req.Arrival, Deadline: req.Deadline, IsIdempotent: req.Idempotent,
		},
	}
	for x.response == nil {
		x.step(ctx)
	}
	return x.response
}
