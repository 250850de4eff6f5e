package entry

import (
	"context"
	"sync"
	"time"

	"github.com/rs/zerolog"

	pb "github.com/primroseladder/primroseladder/api/primrosev1"
	"github.com/primroseladder/primroseladder/internal/health"
	"github.com/primroseladder/primroseladder/internal/keeperpeer"
	"github.com/primroseladder/primroseladder/internal/run"
)

// reportTimeout bounds one Report call to the keeper on this VM.
const reportTimeout = time.Second

// opinionKey identifies a backend server of a service.
type opinionKey struct{ service, backend string }

// OpinionSender sends the opinions of this entry to the keeper on the same VM. While a report is in flight, only the newest
// opinion on each backend server is queued. Opinions that the keeper does not accept are dropped; the health boards send
// them again.
type OpinionSender struct {
	settings *Settings
	keepers  *keeperpeer.Client
	// wake has a value while there may be pending opinions.
	wake chan struct{}

	mu      sync.Mutex
	pending map[opinionKey]*pb.Opinion
}

// NewOpinionSender returns a sender to the keeper on this VM.
func NewOpinionSender(s *Settings, keepers *keeperpeer.Client) *OpinionSender {
	return &OpinionSender{
		settings: s, keepers: keepers, wake: make(chan struct{}, 1), pending: map[opinionKey]*pb.Opinion{},
	}
}

// Send queues an opinion. It does not block.
func (s *OpinionSender) Send(service string, o health.Opinion) {
	s.mu.Lock()
	s.pending[opinionKey{service, o.Backend}] = keeperpeer.OpinionToProto(service, o)
	s.mu.Unlock()
	select {
	case s.wake <- struct{}{}:
	default:
	}
}

// Run sends queued opinions until ctx ends.
func (s *OpinionSender) Run(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-s.wake:
			s.sendBatch(ctx, s.takePending())
		}
	}
}

// takePending removes and returns all queued opinions.
func (s *OpinionSender) takePending() *pb.OpinionBatch {
	s.mu.Lock()
	defer s.mu.Unlock()
	batch := &pb.OpinionBatch{}
	for key, o := range s.pending {
		batch.Opinions = append(batch.Opinions, o)
		delete(s.pending, key)
	}
	return batch
}

// sendBatch sends a batch to the keeper, without a retry.
func (s *OpinionSender) sendBatch(ctx context.Context, batch *pb.OpinionBatch) {
	ctx, cancel := context.WithTimeout(ctx, reportTimeout)
	defer cancel()
	keeper, err := s.keepers.Keeper(s.settings.KeeperAddress)
	if err != nil {
		return
	}
	_, _ = keeper.Report(ctx, batch)
}

// healthOptions returns the options by which the health boards of this VM share opinions and announce draining backend
// servers through its keeper.
func healthOptions(s *Settings, sender *OpinionSender, announcer *Announcer, log zerolog.Logger) *run.HealthOptions {
	return &run.HealthOptions{
		Self: health.Observer{VM: s.VM, Zone: s.Zone}, ShareOpinion: sender.Send,
		AnnounceDraining: announcer.AnnounceDraining, Log: log,
	}
}

// receiveOpinions passes the opinions of other VMs to the health boards.
func receiveOpinions(runner *run.Runner, batch *pb.OpinionBatch) {
	for _, o := range batch.GetOpinions() {
		runner.ReceiveOpinion(o.GetService(), keeperpeer.OpinionFromProto(o))
	}
}
