// Package roster holds the backend servers of all services, as their entries in the store describe them.
package roster

import (
	"maps"
	"slices"
	"sync"
	"time"
)

// Server is the entry of a backend server.
type Server struct {
	ID      string
	Service string
	Address string
	Zone    string
	// Slots is how many requests the backend server runs concurrently.
	Slots int
	// IsDraining is set if the backend server accepts no new requests.
	IsDraining bool
	// Incarnation is the start time of the backend server in Unix milliseconds. A backend server with the same ID and a
	// higher incarnation has no memory of the previous incarnation.
	Incarnation int64
	// Revision is the revision of the store in which the entry was written.
	Revision uint64
	// WarmupRemaining is how long the backend server still stays slow after its start, counted from when the entry was read.
	WarmupRemaining time.Duration
}

// Roster holds backend servers by service. It is safe for concurrent use.
type Roster struct {
	mu sync.Mutex
	// services holds the backend servers of each service by ID, and serviceOf the service of each ID.
	services  map[string]map[string]Server
	serviceOf map[string]string
	// changed holds the services that have changed since the last TakeChanged.
	changed map[string]bool
}

// New returns an empty roster.
func New() *Roster {
	return &Roster{services: map[string]map[string]Server{}, serviceOf: map[string]string{}, changed: map[string]bool{}}
}

// Put adds or replaces a backend server.
func (r *Roster) Put(s Server) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.serviceOf[s.ID] != s.Service {
		r.remove(s.ID)
	}
	if r.services[s.Service] == nil {
		r.services[s.Service] = map[string]Server{}
	}
	r.services[s.Service][s.ID], r.serviceOf[s.ID], r.changed[s.Service] = s, s.Service, true
}

// Remove removes a backend server.
func (r *Roster) Remove(id string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.remove(id)
}

func (r *Roster) remove(id string) {
	service, isKnown := r.serviceOf[id]
	if !isKnown {
		return
	}
	delete(r.services[service], id)
	delete(r.serviceOf, id)
	r.changed[service] = true
}

// TakeChanged returns the backend servers of the services that have changed since the last call. The list of a service that has none
// left is empty.
func (r *Roster) TakeChanged() map[string][]Server {
	r.mu.Lock()
	defer r.mu.Unlock()
	out := make(map[string][]Server, len(r.changed))
	for service := range r.changed {
		out[service] = slices.Collect(maps.Values(r.services[service]))
	}
	clear(r.changed)
	return out
}
