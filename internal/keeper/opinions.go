package keeper

import (
	"cmp"
	"context"
	"expvar"
	"maps"
	"slices"
	"sync"
	"time"

	"google.golang.org/protobuf/proto"

	pb "github.com/primroseladder/primroseladder/api/primrosev1"
	"github.com/primroseladder/primroseladder/internal/fleet"
	"github.com/primroseladder/primroseladder/internal/keeperpeer"
	"github.com/primroseladder/primroseladder/internal/placement"
)

const (
	// maxFeedOpinions is how many opinions of other VMs are kept for the entry on this VM.
	maxFeedOpinions = 1024
	// shareTimeout bounds sending one batch of opinions to a keeper.
	shareTimeout = time.Second
	// shareBytesPerSecond and shareBurstBytes bound the opinions that this keeper sends to all others.
	shareBytesPerSecond = 2048
	shareBurstBytes     = 8192
	// maxBatch is how many opinions one message carries. Those with the highest scores go first.
	maxBatch = 16
	// messageOverheadBytes is the cost of a message besides its content: HTTP/2 frames, compressed headers, TCP and
	// IP.
	messageOverheadBytes = 150
)

// Counters of the opinions sent to other keepers.
var (
	sharedOpinions = expvar.NewInt("shared_opinions")
	sharedBytes    = expvar.NewInt("shared_bytes")
)

// Opinions exchanges opinions on backend servers between the entry on this VM and the keepers of each service's
// group. While an opinion waits for the byte budget, a newer one on the same backend server replaces it, so that a
// burst of opinions delays them but does not queue them up. An opinion to an unreachable keeper is lost.
type Opinions struct {
	settings *Settings
	state    *State
	keepers  *keeperpeer.Client

	mu sync.Mutex
	// feed holds the latest opinions of other VMs, numbered in the order of receipt up to lastNumber.
	feed       []receivedOpinion
	lastNumber uint64
	// outbox holds the opinions to send, by the address of the keeper.
	outbox map[string]*peerOutbox
	budget tokenBucket
	// draining holds the backend servers that the entry on this VM reported as draining.
	draining map[opinionKey]bool
	// ctx is the context of Run, or nil before Run is called.
	ctx context.Context
}

type receivedOpinion struct {
	number     uint64
	receivedAt time.Time
	opinion    *pb.Opinion
}

// NewOpinions returns an exchange of opinions that sends nothing until Run is called.
func NewOpinions(s *Settings, state *State, keepers *keeperpeer.Client) *Opinions {
	return &Opinions{
		settings: s, state: state, keepers: keepers, outbox: map[string]*peerOutbox{},
		draining: map[opinionKey]bool{},
	}
}

// Run enables sending until ctx ends.
func (o *Opinions) Run(ctx context.Context) {
	o.mu.Lock()
	o.ctx = ctx
	o.mu.Unlock()
	<-ctx.Done()
}

// Receive adds opinions of another keeper to the feed of the entry on this VM.
func (o *Opinions) Receive(batch *pb.OpinionBatch) {
	o.mu.Lock()
	now := time.Now()
	for _, opinion := range batch.GetOpinions() {
		o.lastNumber++
		o.feed = append(o.feed, receivedOpinion{o.lastNumber, now, opinion})
	}
	if surplus := len(o.feed) - maxFeedOpinions; surplus > 0 {
		o.feed = append(o.feed[:0:0], o.feed[surplus:]...)
	}
	o.mu.Unlock()
	o.state.NotifyChanged()
}

// Since returns the opinions after the given number that are still valid, newest first, and the newest number. The
// batch is nil if there are none.
func (o *Opinions) Since(number uint64) (*pb.OpinionBatch, uint64) {
	o.mu.Lock()
	defer o.mu.Unlock()
	var batch *pb.OpinionBatch
	now := time.Now()
	for i := len(o.feed) - 1; i >= 0 && o.feed[i].number > number; i-- {
		received := o.feed[i]
		if now.Sub(received.receivedAt) > time.Duration(received.opinion.GetLifetimeMs())*time.Millisecond {
			break
		}
		if batch == nil {
			batch = &pb.OpinionBatch{}
		}
		batch.Opinions = append(batch.Opinions, received.opinion)
	}
	return batch, o.lastNumber
}

// Distribute queues the opinions of the entry on this VM for the keepers of each service's group. Evidence stays in
// the region. A report that a backend server is draining goes to all regions, because VMs of any region may send
// requests to that server.
func (o *Opinions) Distribute(batch *pb.OpinionBatch) {
	view := o.state.View()
	o.mu.Lock()
	defer o.mu.Unlock()
	for _, opinion := range batch.GetOpinions() {
		for _, region := range o.targetRegions(opinion, view) {
			for _, vm := range placement.Group(opinion.GetService(), region, view, placement.DefaultGroupSize) {
				if vm.Name != o.settings.VM {
					o.enqueue(vm.KeeperAddress, opinion)
				}
			}
		}
	}
}

// targetRegions returns the regions whose groups receive the opinion: all regions if draining begins, continues or
// ends, else the local one.
func (o *Opinions) targetRegions(opinion *pb.Opinion, view *fleet.View) []string {
	key := opinionKey{opinion.GetService(), opinion.GetBackend()}
	if !opinion.GetDraining() && !o.draining[key] {
		return []string{o.settings.Region}
	}
	o.draining[key] = true
	if !opinion.GetDraining() {
		delete(o.draining, key)
	}
	return view.Regions()
}

// peerOutbox holds the opinions waiting for one keeper. A sender goroutine runs as long as the outbox is not empty.
type peerOutbox struct {
	waiting map[opinionKey]*pb.Opinion
	sending bool
}

// strongest returns up to limit opinions with the highest scores.
func (p *peerOutbox) strongest(limit int) []*pb.Opinion {
	sorted := slices.SortedFunc(maps.Values(p.waiting), func(x, y *pb.Opinion) int {
		return cmp.Or(cmp.Compare(higherScore(y), higherScore(x)), cmp.Compare(x.GetBackend(), y.GetBackend()))
	})
	return sorted[:min(limit, len(sorted))]
}

func higherScore(o *pb.Opinion) int32 { return max(o.GetFailingMilli(), o.GetSlowMilli()) }

type opinionKey struct{ service, backend string }

func (o *Opinions) enqueue(address string, opinion *pb.Opinion) {
	if o.ctx == nil || o.ctx.Err() != nil {
		return
	}
	pending := o.outbox[address]
	if pending == nil {
		pending = &peerOutbox{waiting: map[opinionKey]*pb.Opinion{}}
		o.outbox[address] = pending
	}
	pending.waiting[opinionKey{opinion.GetService(), opinion.GetBackend()}] = opinion
	if !pending.sending {
		pending.sending = true
		go o.runSender(o.ctx, address)
	}
}

// runSender sends the waiting opinions to one keeper as fast as the budget allows, and returns when none are left.
func (o *Opinions) runSender(ctx context.Context, address string) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-time.After(o.delay()):
		}
		batch := o.nextBatch(address)
		if batch == nil {
			return
		}
		o.sendBatch(ctx, address, batch)
	}
}

func (o *Opinions) delay() time.Duration {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.budget.delay(time.Now())
}

// nextBatch removes the next batch from the outbox and charges it to the budget. It returns nil if nothing waits.
func (o *Opinions) nextBatch(address string) *pb.OpinionBatch {
	o.mu.Lock()
	defer o.mu.Unlock()
	pending := o.outbox[address]
	if len(pending.waiting) == 0 {
		delete(o.outbox, address)
		return nil
	}
	batch := &pb.OpinionBatch{Opinions: pending.strongest(maxBatch)}
	for _, opinion := range batch.GetOpinions() {
		delete(pending.waiting, opinionKey{opinion.GetService(), opinion.GetBackend()})
	}
	size := proto.Size(batch) + messageOverheadBytes
	sharedOpinions.Add(int64(len(batch.GetOpinions())))
	sharedBytes.Add(int64(size))
	o.budget.tokens -= float64(size)
	return batch
}

func (o *Opinions) sendBatch(ctx context.Context, address string, batch *pb.OpinionBatch) {
	ctx, cancel := context.WithTimeout(ctx, shareTimeout)
	defer cancel()
	keeper, err := o.keepers.Keeper(address)
	if err != nil {
		return
	}
	_, _ = keeper.Share(ctx, batch)
}

// tokenBucket limits bytes per second. It may be overdrawn by one message to each peer.
type tokenBucket struct {
	tokens     float64
	lastRefill time.Time
}

// delay refills the bucket and returns how long to wait before the next message may be sent.
func (b *tokenBucket) delay(now time.Time) time.Duration {
	if b.lastRefill.IsZero() {
		b.tokens = shareBurstBytes
	} else {
		b.tokens = min(shareBurstBytes, b.tokens+now.Sub(b.lastRefill).Seconds()*shareBytesPerSecond)
	}
	b.lastRefill = now
	if b.tokens >= 0 {
		return 0
	}
	return time.Duration(-b.tokens / shareBytesPerSecond * float64(time.Second))
}

// Report implements the gRPC service: it receives opinions from the entry on this VM.
func (s *Server) Report(_ context.Context, batch *pb.OpinionBatch) (*pb.OpinionAck, error) {
	s.opinions.Distribute(batch)
	return &pb.OpinionAck{}, nil
}

// Share implements the gRPC service: it receives opinions from another keeper.
func (s *Server) Share(_ context.Context, batch *pb.OpinionBatch) (*pb.OpinionAck, error) {
	s.opinions.Receive(batch)
	return &pb.OpinionAck{}, nil
}
