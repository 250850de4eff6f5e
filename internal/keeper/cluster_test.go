package keeper

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/rs/zerolog"
	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"
	"google.golang.org/protobuf/proto"

	pb "github.com/primroseladder/primroseladder/api/primrosev1"
	"github.com/primroseladder/primroseladder/internal/catalogue"
	"github.com/primroseladder/primroseladder/internal/duration"
	"github.com/primroseladder/primroseladder/internal/fleet"
	"github.com/primroseladder/primroseladder/internal/periodic"
	"github.com/primroseladder/primroseladder/internal/settings"
	"github.com/primroseladder/primroseladder/internal/standin/memstore"
	"github.com/primroseladder/primroseladder/internal/store"
)

const (
	localLatency  = time.Millisecond
	remoteLatency = 12 * time.Millisecond
	// drainTime is longer than any call takes.
	drainTime = 15 * time.Second
)

// cluster is a fleet of keepers in one process, with a store and links between keepers that can be cut.
type cluster struct {
	kv   *memstore.Service
	view *fleet.View

	mu       sync.Mutex
	nodes    map[string]*node
	cut      map[link]bool
	storeCut map[string]bool
	writes   int
	seeds    []string
	// crossRegionChanges counts the changes that keepers sent over the link between the regions.
	crossRegionChanges int
}

type link struct{ from, to string }

// node is one keeper. A restart loses its state.
type node struct {
	vm     fleet.VM
	state  *State
	x      *Exchanger
	cancel context.CancelFunc
	isUp   bool
	// minRevision is the lowest revision among the other ready keepers when this one started.
	minRevision uint64
	// served is the highest revision passed to the entry.
	served uint64
}

// newCluster starts keepers in two regions with two availability zones each.
func newCluster(size int, seed uint64) *cluster {
	c := &cluster{
		kv: memstore.New(seed), nodes: map[string]*node{}, cut: map[link]bool{}, storeCut: map[string]bool{},
	}
	var vms []fleet.VM
	for i := range size {
		region := []string{"perth", "goldfields"}[i%2]
		vms = append(vms, fleet.VM{
			Name: fmt.Sprintf("entry-%02d", i), Role: fleet.RoleEntry, State: fleet.StateLive, Region: region,
			Zone: fmt.Sprintf("%s-%d", region, i/2%2), KeeperAddress: fmt.Sprintf("entry-%02d", i),
		})
	}
	c.view = fleet.NewView(1, vms)
	for _, vm := range vms {
		c.start(vm)
	}
	return c
}

// start replaces the keeper of a VM by a new one that knows only the VM list.
func (c *cluster) start(vm fleet.VM) {
	s := &Settings{
		Common: settings.Common{VM: vm.Name, Region: vm.Region, Zone: vm.Zone}, Seeds: c.seeds,
		ExchangeInterval: duration.Duration(time.Second),
	}
	state := NewState()
	state.SetList(c.view)
	roles := NewRoles(s, state)
	x := NewExchanger(s, state, &nodePeers{c, vm}, roles, zerolog.Nop())
	ctx, cancel := context.WithCancel(context.Background())
	kv := &nodeStore{c.kv, c, vm.Name}
	c.mu.Lock()
	c.nodes[vm.Name] = &node{vm: vm, state: state, x: x, cancel: cancel, isUp: true, minRevision: c.lowestServed(vm.Name)}
	c.mu.Unlock()
	go x.Run(ctx)
	go NewStoreFollower(state, kv, roles, zerolog.Nop()).Run(ctx)
	go NewMaintainer(s, state, kv, roles, zerolog.Nop()).Run(ctx)
}

func (c *cluster) stop(name string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.nodes[name].cancel()
	c.nodes[name].isUp = false
}

// stopAll stops all keepers and waits until the calls in flight have ended.
func (c *cluster) stopAll() {
	for _, vm := range c.view.Entries {
		c.stop(vm.Name)
	}
	time.Sleep(drainTime)
}

// lowestServed returns the lowest revision among the other ready keepers. The caller holds the lock.
func (c *cluster) lowestServed(except string) uint64 {
	var lowest uint64
	for name, n := range c.nodes {
		if name == except || !n.isUp || n.served == 0 {
			continue
		}
		if lowest == 0 || n.served < lowest {
			lowest = n.served
		}
	}
	return lowest
}

// audit checks that no keeper serves an older revision than it served before, or than all others had when it started.
func (c *cluster) audit() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	for name, n := range c.nodes {
		if !n.isUp || !n.state.Readiness.IsReady() {
			continue
		}
		revision := n.state.Catalogue.Revision()
		if revision < n.served {
			return fmt.Errorf("the revision of %s decreased from %d to %d", name, n.served, revision)
		}
		if revision < n.minRevision && !c.cannotCallPeers(name) {
			return fmt.Errorf("%s serves revision %d, all others had %d when it started", name, revision, n.minRevision)
		}
		n.served = revision
	}
	return nil
}

// cannotCallPeers reports whether the VM can call no other keeper. The caller holds the lock.
func (c *cluster) cannotCallPeers(name string) bool {
	for other, n := range c.nodes {
		if other != name && n.isUp && !c.cut[link{name, other}] {
			return false
		}
	}
	return true
}

func (c *cluster) setCut(from, to string, isCut bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.cut[link{from, to}] = isCut
}

func (c *cluster) cutStore(name string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.storeCut[name] = true
}

func (c *cluster) heal() {
	c.mu.Lock()
	c.cut = map[link]bool{}
	c.storeCut = map[string]bool{}
	c.mu.Unlock()
	c.kv.SetFault(memstore.Fault{})
	for _, vm := range c.view.Entries {
		if !c.nodes[vm.Name].isUp {
			c.start(vm)
		}
	}
}

// highest returns the highest revision of any running keeper.
func (c *cluster) highest() uint64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	var highest uint64
	for _, n := range c.nodes {
		if n.isUp {
			highest = max(highest, n.state.Catalogue.Revision())
		}
	}
	return highest
}

// areAllAt reports whether all running keepers are ready and have the given revision.
func (c *cluster) areAllAt(revision uint64) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, n := range c.nodes {
		if n.isUp && (!n.state.Readiness.IsReady() || n.state.Catalogue.Revision() != revision) {
			return false
		}
	}
	return true
}

// write makes one change as an operator's tool does: it reads the store, fails if the store is behind the fleet, and
// appends. It returns the name of the service that it added.
func (c *cluster) write(ctx context.Context, author string) (string, error) {
	c.mu.Lock()
	c.writes++
	service := fmt.Sprintf("%s-%d", author, c.writes)
	c.mu.Unlock()
	current := catalogue.NewState()
	if err := store.Load(ctx, c.kv, current); err != nil {
		return service, err
	}
	revision, operation := current.Position()
	if revision < c.highest() {
		return service, fmt.Errorf("the store is behind the fleet")
	}
	change := &catalogue.Change{
		Revision: revision + 1, OperationID: service, PreviousOperationID: operation,
		Entries: []catalogue.EncodedEntry{{Service: service, Content: []byte(`{}`)}},
	}
	return service, store.NewChangeLog(c.kv).Append(ctx, change)
}

// nodeStore is the store as reached by one keeper.
type nodeStore struct {
	*memstore.Service
	cluster *cluster
	name    string
}

func (s *nodeStore) isCut() bool {
	s.cluster.mu.Lock()
	defer s.cluster.mu.Unlock()
	return s.cluster.storeCut[s.name]
}

func (s *nodeStore) Get(ctx context.Context, key string) (store.Value, error) {
	if s.isCut() {
		return store.Value{}, store.ErrUnreachable
	}
	return s.Service.Get(ctx, key)
}

func (s *nodeStore) Wait(ctx context.Context, key string, index uint64, timeout time.Duration) (store.Value, uint64, error) {
	if s.isCut() {
		return store.Value{}, 0, store.ErrUnreachable
	}
	return s.Service.Wait(ctx, key, index, timeout)
}

// nodePeers gives one keeper access to the others.
type nodePeers struct {
	cluster *cluster
	from    fleet.VM
}

func (p *nodePeers) Keeper(address string) (pb.KeeperClient, error) {
	return &nodeStub{cluster: p.cluster, from: p.from, to: address}, nil
}

func (p *nodePeers) Retain(map[string]bool) {}

type nodeStub struct {
	pb.KeeperClient
	cluster *cluster
	from    fleet.VM
	to      string
}

// Exchange calls the other keeper unless the link to it is cut. The answer to a call that got through is not cut.
func (s *nodeStub) Exchange(ctx context.Context, r *pb.ExchangeRequest, _ ...grpc.CallOption) (*pb.ExchangeResponse, error) {
	s.cluster.mu.Lock()
	to := s.cluster.nodes[s.to]
	isCut := s.cluster.cut[link{s.from.Name, s.to}] || to == nil || !to.isUp
	s.cluster.mu.Unlock()
	if isCut {
		<-ctx.Done()
		return nil, status.FromContextError(ctx.Err()).Err()
	}
	latency := localLatency
	isRemote := to.vm.Region != s.from.Region
	if isRemote {
		latency = remoteLatency
	}
	if !periodic.Pause(ctx, latency) {
		return nil, status.Error(codes.DeadlineExceeded, "no answer")
	}
	answer := to.x.HandleExchange(proto.CloneOf(r))
	if isRemote {
		s.cluster.mu.Lock()
		s.cluster.crossRegionChanges += len(r.GetChanges()) + len(answer.GetChanges())
		s.cluster.mu.Unlock()
	}
	if !periodic.Pause(ctx, latency) {
		return nil, status.Error(codes.DeadlineExceeded, "no answer")
	}
	return proto.CloneOf(answer), nil
}
