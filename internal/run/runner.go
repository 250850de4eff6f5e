package run

import (
	"context"
	"sync"
	"time"

	"github.com/primroseladder/primroseladder/internal/admission"
	"github.com/primroseladder/primroseladder/internal/catalogue"
	"github.com/primroseladder/primroseladder/internal/fleet"
	"github.com/primroseladder/primroseladder/internal/outcome"
	"github.com/primroseladder/primroseladder/internal/poison"
	"github.com/primroseladder/primroseladder/internal/request"
	"github.com/primroseladder/primroseladder/internal/snapshot"
)

// CrashSharer tells the other entries of a service's group of a crash or of an answer that clears a request.
type CrashSharer interface {
	ShareCrash(service string, f poison.Fingerprint, backend string)
	ShareCleared(service string, f poison.Fingerprint)
}

// Runner carries out requests of all services.
type Runner struct {
	region string
	health *HealthLinks
	holder *snapshot.Holder
	gate   *admission.Gate
	poison *poison.Registry
	crash  CrashSharer

	mu       sync.RWMutex
	services map[string]*Service
}

// NewRunner returns a runner for the entries of a region that follows the holder's snapshots.
func NewRunner(region string, links *HealthLinks, holder *snapshot.Holder, gate *admission.Gate, p *poison.Registry, crash CrashSharer) *Runner {
	r := &Runner{region: region, health: links, holder: holder, gate: gate, poison: p, crash: crash, services: map[string]*Service{}}
	holder.OnChange(r.adopt)
	return r
}

// adopt updates the services that this entry already holds, and drops those that the catalogue no longer has.
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

// service returns the state of a service and builds it at its first request.
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
	created := newService(r.region, e, r.health)
	created.update(e, r.holder.Get().View)
	r.services[e.Service] = created
	return created
}

// Run carries out the request and returns what the caller is told.
func (r *Runner) Run(ctx context.Context, req *request.Request) *request.Response {
	if !r.gate.Enter(req.Entry.Class) {
		return refuse(req, outcome.ReasonOverload, time.Second)
	}
	defer r.gate.Leave()
	ctx, cancel := context.WithDeadline(ctx, req.Deadline)
	defer cancel()
	t := &try{
		runner: r, service: r.service(req.Entry), req: req,
		waiter: &admission.Waiter{Organisation: req.Organisation, Arrival: req.Arrival, Deadline: req.Deadline, IsIdempotent: req.Idempotent},
	}
	for t.response == nil {
		t.step(ctx)
	}
	return t.response
}
