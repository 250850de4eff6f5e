package keeper

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	pb "github.com/primroseladder/primroseladder/api/primrosev1"
	"github.com/primroseladder/primroseladder/internal/fleet"
	"github.com/primroseladder/primroseladder/internal/periodic"
)

const (
	// maxDirectPeers is the largest number of other keepers with which a leave notice is sent directly to each of them.
	// In a larger fleet the notice is relayed.
	maxDirectPeers = 64
	// leaveTimeout bounds sending a leave notice to a set of keepers.
	leaveTimeout = time.Second
	// leaveNoticeLifetime is how long this keeper's leave notice is valid.
	leaveNoticeLifetime = 10 * time.Minute
	// expireNoticesInterval is the time between two removals of expired leave notices.
	expireNoticesInterval = time.Second
)

// Leave implements the gRPC service. A notice of the entry on this VM is sent on before the answer; a relayed one is
// relayed further in the background if it is new.
func (s *Server) Leave(ctx context.Context, r *pb.LeaveNotices) (*pb.LeaveAck, error) {
	adopted := s.state.AdoptLeaveNotices(r.GetNotices())
	if !r.GetRelayed() {
		return &pb.LeaveAck{Everyone: s.exchanger.BroadcastLeaving(ctx, r.GetNotices())}, nil
	}
	if len(adopted) > 0 {
		go s.exchanger.relayLeaving(adopted)
	}
	return &pb.LeaveAck{}, nil
}

// otherKeepers returns all entry VMs except this one. Each runs a keeper.
func (x *Exchanger) otherKeepers() []fleet.VM {
	return slices.DeleteFunc(slices.Clone(x.state.List().Entries), func(vm fleet.VM) bool { return vm.Name == x.settings.VM })
}

// BroadcastLeaving sends leave notices to other keepers. It returns true only if all of them have received the
// notices.
func (x *Exchanger) BroadcastLeaving(ctx context.Context, notices []*pb.LeaveNotice) bool {
	peers := x.otherKeepers()
	if x.state.List().Index == 0 {
		return false
	}
	if len(peers) > maxDirectPeers {
		x.sendLeaving(ctx, shuffled(peers)[:announceFanOut], notices)
		return false
	}
	return x.sendLeaving(ctx, peers, notices)
}

func (x *Exchanger) relayLeaving(notices []*pb.LeaveNotice) {
	peers := shuffled(x.otherKeepers())
	x.sendLeaving(context.Background(), peers[:min(announceFanOut, len(peers))], notices)
}

func shuffled(vms []fleet.VM) []fleet.VM {
	rand.Shuffle(len(vms), func(i, j int) { vms[i], vms[j] = vms[j], vms[i] })
	return vms
}

func (x *Exchanger) sendLeaving(ctx context.Context, peers []fleet.VM, notices []*pb.LeaveNotice) bool {
	ctx, cancel := context.WithTimeout(ctx, leaveTimeout)
	defer cancel()
	var anyFailed atomic.Bool
	var wg sync.WaitGroup
	for _, vm := range peers {
		wg.Go(func() {
			keeper, err := x.peers.Keeper(vm.KeeperAddress)
			if err == nil {
				_, err = keeper.Leave(ctx, &pb.LeaveNotices{Notices: notices, Relayed: true})
			}
			if err != nil {
				anyFailed.Store(true)
			}
		})
	}
	wg.Wait()
	return !anyFailed.Load()
}

// expireNotices removes expired leave notices until ctx ends.
func (x *Exchanger) expireNotices(ctx context.Context) {
	periodic.Run(ctx, expireNoticesInterval, func() {
		x.state.ExpireLeaveNotices()
	})
}

// announceLeave announces that this VM is leaving, and returns whether all keepers received it. The entry on this VM
// revokes the notice when it follows a keeper again.
func (x *Exchanger) announceLeave(ctx context.Context) bool {
	notice := &pb.LeaveNotice{
		Vm: x.settings.VM, Sequence: uint64(time.Now().UnixMicro()), LifetimeMs: uint64(leaveNoticeLifetime.Milliseconds()),
	}
	x.state.AdoptLeaveNotices([]*pb.LeaveNotice{notice})
	return x.BroadcastLeaving(ctx, []*pb.LeaveNotice{notice})
}

// drainCallers begins the planned stop of a keeper. It announces that this VM is leaving, so that no keeper names it
// to callers any more, and keeps answering until the answers that name it have expired.
func (x *Exchanger) drainCallers(ctx context.Context) error {
	wait := x.settings.AnswerLifetime.Std()
	if !x.announceLeave(ctx) {
		wait += leavePropagationTime
	}
	select {
	case <-ctx.Done():
	case <-time.After(wait):
	}
	return nil
}

// leavePropagationTime is the time within which a relayed leave notice reaches all keepers.
const leavePropagationTime = 3 * time.Second
