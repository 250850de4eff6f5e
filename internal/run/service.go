// Package run runs requests on the backend servers of their service: it waits for a free slot, picks a backend server,
// sends the request, and decides whether it can be retried.
//
// A request that is not idempotent is retried only if the previous attempt provably did not start.
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
	"github.com/primroseladder/primroseladder/internal/membudget"
	"github.com/primroseladder/primroseladder/internal/placement"
)

// Service is the state of one service on this entry VM: its backend servers, their slots and the queue for them.
type Service struct {
	region string
	board  *health.Board
	// announceDraining reports to all VMs that a backend server accepts no new work. It may be nil.
	announceDraining func(backend fleet.VM)
	// answerMemory limits the memory for the answers that are being received. All services share it.
	answerMemory *membudget.Budget

	mu       sync.Mutex
	entry    *catalogue.Entry
	servers  []*server
	queue    *admission.Queue[*ticket]
	estimate *admission.Estimator
	retries  *admission.RetryBudget
	spill    admission.SpillBudget
	inFlight int
	// maxInFlightPerServer is the maximum number of concurrent requests of this entry on one backend server.
	maxInFlightPerServer int
	// fairShare is the number of slots in the local region divided by the number of entries in the group.
	fairShare int
}

// server is one backend server of the service.
type server struct {
	vm       fleet.VM
	pool     *backend.Pool
	inFlight int
	// concurrencyLimit is the number of requests that this entry runs on the server at a time. It is halved when the
	// server sheds a request, because other entries use its slots too, and grows again with each success.
	concurrencyLimit float64
	// pausedUntil is the end of the pause after a shed request.
	pausedUntil      time.Time
	consecutiveSheds int
}

func newService(region string, e *catalogue.Entry, options *HealthOptions, answerMemory *membudget.Budget) *Service {
	s := &Service{
		region: region, entry: e, answerMemory: answerMemory,
		queue:    admission.NewQueue[*ticket](e.Limits.QueueLength),
		estimate: admission.NewEstimator(),
		retries:  admission.NewRetryBudget(e.Limits.RetryPercent),
	}
	s.board = s.newBoard(options)
	s.announceDraining = options.AnnounceDraining
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
	s.maxInFlightPerServer = min(e.Limits.SlotsPerBackend, connections)
	var kept []*server
	var live []fleet.VM
	for _, vm := range view.Backends[e.Service] {
		if !vm.IsLive() {
			continue
		}
		live = append(live, vm)
		kept = append(kept, s.reuseOrCreate(vm, connections))
	}
	for _, old := range s.servers {
		if !slices.Contains(kept, old) {
			old.pool.Close()
		}
	}
	s.servers = kept
	s.fairShare = s.computeFairShare(view)
	s.updateBoard(live, view)
	s.grantWaiting()
}

// reuseOrCreate returns the server of a VM. A VM whose address or region has changed gets a new server: the vm field never
// changes, because requests read it without the lock.
func (s *Service) reuseOrCreate(vm fleet.VM, connections int) *server {
	for _, old := range s.servers {
		if old.vm.Name == vm.Name && old.vm.Address == vm.Address && old.vm.Region == vm.Region {
			old.concurrencyLimit = min(old.concurrencyLimit, float64(s.maxInFlightPerServer))
			return old
		}
	}
	options := backend.DefaultOptions(connections)
	options.Memory = s.answerMemory
	return &server{vm: vm, concurrencyLimit: float64(s.maxInFlightPerServer), pool: backend.NewPoolWithOptions(vm.Address, options)}
}

// computeFairShare returns the value of fairShare, at least 1.
func (s *Service) computeFairShare(view *fleet.View) int {
	slots := 0
	for _, server := range s.servers {
		if server.vm.Region == s.region {
			slots += s.entry.Limits.SlotsPerBackend
		}
	}
	group := min(placement.DefaultGroupSize, len(view.LiveEntries(s.region)))
	return max(1, slots/max(1, group))
}

// expectedConcurrency returns the number of requests that this entry can expect to run at a time: those in flight, but no
// more than its fair share of the slots.
func (s *Service) expectedConcurrency() int { return min(s.inFlight, s.fairShare) }

// connectionsPerEntry returns this entry's share of the connections that a backend server accepts from all entries. Half
// of the connections stay reserved for entries that belong to the group according to another version of the VM list.
func (s *Service) connectionsPerEntry(view *fleet.View) int {
	regions := 1
	if s.entry.Spill.BytesPerSecond > 0 {
		regions = max(1, len(view.Regions()))
	}
	return max(1, s.entry.Limits.ConnectionsPerBackend/(2*regions*placement.DefaultGroupSize))
}
