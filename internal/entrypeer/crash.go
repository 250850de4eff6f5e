package entrypeer

import (
	"context"
	"sync"
	"time"

	pb "github.com/primroseladder/primroseladder/api/primrosev1"
	"github.com/primroseladder/primroseladder/internal/blocklist"
	"github.com/primroseladder/primroseladder/internal/placement"
	"github.com/primroseladder/primroseladder/internal/poison"
	"github.com/primroseladder/primroseladder/internal/snapshot"
)

// crashNoteTimeout is the timeout for sending a note to all entries.
const crashNoteTimeout = 200 * time.Millisecond

// CrashNotifier sends notes on crashes of backend servers to the entries of a service's groups in all regions. It waits for
// their acknowledgements, so that the caller cannot repeat its request before the note has arrived. Notes that do not arrive
// in time are lost; an entry that missed them learns of the block by its next questions to other entries (BlockAsker).
type CrashNotifier struct {
	self   string
	holder *snapshot.Holder
	peers  *Client
}

// NewCrashNotifier returns the notifier of the entry VM self.
func NewCrashNotifier(self string, holder *snapshot.Holder, peers *Client) *CrashNotifier {
	return &CrashNotifier{self: self, holder: holder, peers: peers}
}

// ShareCrash implements run.CrashSharer.
func (n *CrashNotifier) ShareCrash(service string, f poison.Fingerprint, backend string) {
	n.broadcast(service, &pb.CrashNote{Fingerprint: uint64(f), Backend: backend})
}

// ShareCleared implements run.CrashSharer.
func (n *CrashNotifier) ShareCleared(service string, f poison.Fingerprint) {
	n.broadcast(service, &pb.CrashNote{Fingerprint: uint64(f)})
}

// broadcast sends a note to all other entries of the service's groups in parallel, and waits for them.
func (n *CrashNotifier) broadcast(service string, note *pb.CrashNote) {
	ctx, cancel := context.WithTimeout(context.Background(), crashNoteTimeout)
	defer cancel()
	var wg sync.WaitGroup
	view := n.holder.Get().View
	for _, region := range view.Regions() {
		for _, vm := range placement.Group(service, region, view, placement.DefaultGroupSize) {
			if vm.Name != n.self {
				wg.Go(func() { n.sendNote(ctx, vm.EntryAddress, note) })
			}
		}
	}
	wg.Wait()
}

// sendNote sends a note to one entry and ignores errors.
func (n *CrashNotifier) sendNote(ctx context.Context, address string, note *pb.CrashNote) {
	conn, err := n.peers.conn(address)
	if err != nil {
		return
	}
	_, _ = pb.NewPoisonClient(conn).NoteCrash(ctx, note)
}

// CrashServer receives the notes of other entries.
type CrashServer struct {
	pb.UnimplementedPoisonServer
	registry *poison.Registry
	blocks   *blocklist.List
}

// NewCrashServer returns the gRPC service that records the notes in r and passes on the blocks of l.
func NewCrashServer(r *poison.Registry, l *blocklist.List) *CrashServer {
	return &CrashServer{registry: r, blocks: l}
}

// NoteCrash implements the gRPC service. A note without a backend server reports that the request was answered.
func (s *CrashServer) NoteCrash(_ context.Context, note *pb.CrashNote) (*pb.CrashAck, error) {
	f := poison.Fingerprint(note.GetFingerprint())
	if note.GetBackend() == "" {
		s.registry.RecordAnswer(f)
		return &pb.CrashAck{}, nil
	}
	s.registry.ReceiveCrash(poison.Crash{Fingerprint: f, Server: note.GetBackend()})
	return &pb.CrashAck{}, nil
}
