// Package run carries out requests on the backend servers of their service: it waits for a slot, picks a backend
// server, sends the request, and decides whether another attempt is allowed.
//
// A request that is not idempotent gets another attempt only where the one before provably did not start.
package run

import (
	"slices"
	"sync"
	"time"

	"github.com/primroseladder/primroseladder/internal/admission"
	"github.com/primroseladder/primroseladder/internal/backend"
	"github.com/primroseladder/primroseladder/internal/catalogue"
	"github.com/primroseladder/primroseladder/internal/fleet"
	"github.com/primroseladder/primroseladder/internal/health"
	"github.com/primroseladder/primroseladder/internal/placement"
)

// Service is the state of one service in this entry.
type Service struct {
	region string
	board  *health.Board
	// drained tells all VMs that a backend server takes no new work. It may be nil.
	drained func(backend fleet.VM)

	mu       sync.Mutex
	entry    *catalogue.Entry
	servers  []*server
	queue    *admission.Queue[*ticket]
	estimate *admission.Estimator
	retries  *admission.RetryBudget
	spill    admission.SpillBudget
	inFlight int
	// maxPerServer is how many requests this entry runs on a backend server at a time at most.
	maxPerServer int
	// share is how many slots of the own region each entry of the group gets where all take the same.
	share int
}

// server is one backend server of the service.
type server struct {
	vm       fleet.VM
	pool     *backend.Pool
	inFlight int
	// limit is how many requests this entry runs on it at a time. It shrinks when the backend server sheds, since
	// other entries use its slots too.
	limit float64
	// heldUntil is when work is sent again after it shed.
	heldUntil   time.Time
	shedsInARow int
}

func newService(region string, e *catalogue.Entry, links *HealthLinks) *Service {
	s := &Service{
		region: region, entry: e,
		queue:    admission.NewQueue[*ticket](e.Limits.QueueLength),
		estimate: admission.NewEstimator(),
		retries:  admission.NewRetryBudget(e.Limits.RetryPercent),
	}
	s.board = s.newBoard(links)
	s.drained = links.Drained
	return s
}

// update adopts a catalogue entry and the backend servers of a VM list.
func (s *Service) update(e *catalogue.Entry, view *fleet.View) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.entry = e
	s.queue.SetLimit(e.Limits.QueueLength)
	s.retries.SetPercent(e.Limits.RetryPercent)
	s.spill.SetRate(e.Spill.BytesPerSecond)
	connections := s.connectionsPerEntry(view)
	s.maxPerServer = min(e.Limits.SlotsPerBackend, connections)
	var kept []*server
	var live []fleet.VM
	for _, vm := range view.Backends[e.Service] {
		if !vm.IsLive() {
			continue
		}
		live = append(live, vm)
		kept = append(kept, s.keepOrAdd(vm, connections))
	}
	for _, old := range s.servers {
		if !slices.Contains(kept, old) {
			old.pool.Close()
		}
	}
	s.servers = kept
	s.share = s.slotShare(view)
	s.updateBoard(live, view)
	s.serveWaiting()
}

// keepOrAdd returns the server of a VM. The vm of a server never changes, because requests read it without the lock.
func (s *Service) keepOrAdd(vm fleet.VM, connections int) *server {
	for _, old := range s.servers {
		if old.vm.Name == vm.Name && old.vm.Address == vm.Address && old.vm.Region == vm.Region {
			old.limit = min(old.limit, float64(s.maxPerServer))
			return old
		}
	}
	return &server{vm: vm, limit: float64(s.maxPerServer), pool: backend.NewPool(vm.Address, connections)}
}

func (s *Service) slotShare(view *fleet.View) int {
	slots := 0
	for _, server := range s.servers {
		if server.vm.Region == s.region {
			slots += s.entry.Limits.SlotsPerBackend
		}
	}
	group := min(placement.DefaultGroupSize, len(view.LiveEntries(s.region)))
	return max(1, slots/max(1, group))
}

// concurrency is how many requests this entry has served at a time, as far as it can count on it.
func (s *Service) concurrency() int { return min(s.inFlight, s.share) }

// connectionsPerEntry is this entry's share of the connections that a backend server takes from all entries. Half of
// them is left for entries that are in the group by another VM list.
func (s *Service) connectionsPerEntry(view *fleet.View) int {
	regions := 1
	if s.entry.Spill.BytesPerSecond > 0 {
		regions = max(1, len(view.Regions()))
	}
	return max(1, s.entry.Limits.ConnectionsPerBackend/(2*regions*placement.DefaultGroupSize))
}
