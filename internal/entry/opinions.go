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

// reportTimeout bounds the wait for the keeper on this VM.
const reportTimeout = time.Second

// opinionKey names a backend server of a service.
type opinionKey struct{ service, backend string }

// OpinionSender passes the opinions of this entry to the keeper on the same VM. While a report is on its way, only the
// newest opinion on each backend server waits. Opinions that the keeper does not take are lost; the boards repeat
// them.
type OpinionSender struct {
	settings *Settings
	keepers  *keeperpeer.Client
	wake     chan struct{}

	mu      sync.Mutex
	waiting map[opinionKey]*pb.Opinion
}

// NewOpinionSender returns a sender to the keeper on this VM.
func NewOpinionSender(s *Settings, keepers *keeperpeer.Client) *OpinionSender {
	return &OpinionSender{
		settings: s, keepers: keepers, wake: make(chan struct{}, 1), waiting: map[opinionKey]*pb.Opinion{},
	}
}

// Send queues an opinion. It does not block.
func (s *OpinionSender) Send(service string, o health.Opinion) {
	s.mu.Lock()
	s.waiting[opinionKey{service, o.Backend}] = keeperpeer.OpinionToProto(service, o)
	s.mu.Unlock()
	select {
	case s.wake <- struct{}{}:
	default:
	}
}

// Run sends until ctx ends.
func (s *OpinionSender) Run(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-s.wake:
			s.report(ctx, s.take())
		}
	}
}

func (s *OpinionSender) take() *pb.OpinionBatch {
	s.mu.Lock()
	defer s.mu.Unlock()
	batch := &pb.OpinionBatch{}
	for key, o := range s.waiting {
		batch.Opinions = append(batch.Opinions, o)
		delete(s.waiting, key)
	}
	return batch
}

func (s *OpinionSender) report(ctx context.Context, batch *pb.OpinionBatch) {
	ctx, cancel := context.WithTimeout(ctx, reportTimeout)
	defer cancel()
	keeper, err := s.keepers.Keeper(s.settings.KeeperAddress)
	if err != nil {
		return
	}
	_, _ = keeper.Report(ctx, batch)
}

// healthLinks connects the boards of this VM with its keeper.
func healthLinks(s *Settings, sender *OpinionSender, announcer *Announcer, log zerolog.Logger) *run.HealthOptions {
	return &run.HealthOptions{
		Self: health.Observer{VM: s.VM, Zone: s.Zone}, ShareOpinion: sender.Send, AnnounceDraining: announcer.Drained, Log: log,
	}
}

// hearOpinions passes the opinions of other VMs to the boards.
func hearOpinions(runner *run.Runner, batch *pb.OpinionBatch) {
	for _, o := range batch.GetOpinions() {
		runner.ReceiveOpinion(o.GetService(), keeperpeer.OpinionFromProto(o))
	}
}
