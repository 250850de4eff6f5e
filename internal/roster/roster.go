// Package roster keeps the backend servers of all services as they describe themselves in the store.
package roster

import (
	"sync"
	"time"
)

// Server is a backend server.
type Server struct {
	ID      string
	Service string
	Address string
	Zone    string
	// Slots is how many requests it runs at a time.
	Slots int
	// IsDraining tells that it takes no new work.
	IsDraining bool
	// Incarnation is the Unix millisecond of its start. A higher one under the same id knows nothing of the one before.
	Incarnation int64
	// WarmupRemaining is how long it stays slow, counted from when the entry was read.
	WarmupRemaining time.Duration
}

// Roster holds backend servers by id. It may be used by several goroutines.
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

// Remove takes a backend server away.
func (r *Roster) Remove(id string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.servers, id)
}

// ByService returns all backend servers by service.
func (r *Roster) ByService() map[string][]Server {
	r.mu.Lock()
	defer r.mu.Unlock()
	out := map[string][]Server{}
	for _, s := range r.servers {
		out[s.Service] = append(out[s.Service], s)
	}
	return out
}
