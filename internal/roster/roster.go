// Package roster holds the backend servers of all services, as their entries in the store describe them.
package roster

import (
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

// Roster holds backend servers by ID. It is safe for concurrent use.
type Roster struct {
	mu      sync.Mutex
	servers map[string]Server
}

// New returns an empty roster.
func New() *Roster { return &Roster{servers: map[string]Server{}} }

// Put adds or replaces a backend server.
func (r *Roster) Put(s Server) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.servers[s.ID] = s
}

// Remove removes a backend server.
func (r *Roster) Remove(id string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.servers, id)
}

// ByService returns the backend servers of each service.
func (r *Roster) ByService() map[string][]Server {
	r.mu.Lock()
	defer r.mu.Unlock()
	out := map[string][]Server{}
	for _, s := range r.servers {
		out[s.Service] = append(out[s.Service], s)
	}
	return out
}
