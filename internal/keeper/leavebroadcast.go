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
	// maxDirectPeers is up to how many keepers hear an announcement directly. In a larger fleet it is relayed.
	maxDirectPeers = 64
	// leaveTimeout bounds the telling of one keeper.
	leaveTimeout = time.Second
	// leaveLifetime is how long an announcement holds.
	leaveLifetime = 10 * time.Minute
	// expireNoticesInterval is the time between two sweeps of announcements.
	expireNoticesInterval = time.Second
)

// Leave implements the gRPC service. What the entry on this VM announces is passed on before the answer.
func (s *Server) Leave(ctx context.Context, r *pb.LeaveNotices) (*pb.LeaveAck, error) {
	fresh := s.state.AdoptLeaveNotices(r.GetNotices())
	if !r.GetRelayed() {
		return &pb.LeaveAck{Everyone: s.exchanger.BroadcastLeaving(ctx, r.GetNotices())}, nil
	}
	if len(fresh) > 0 {
		go s.exchanger.relayLeaving(fresh)
	}
	return &pb.LeaveAck{}, nil
}

// otherKeepers returns the entry VMs but for this one.
func (x *Exchanger) otherKeepers() []fleet.VM {
	return slices.DeleteFunc(slices.Clone(x.state.List().Entries), func(vm fleet.VM) bool { return vm.Name == x.settings.VM })
}

// BroadcastLeaving tells other keepers of leaving VMs. It reports whether all of them have taken the announcement.
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

// expireNotices drops old announcements until ctx ends.
func (x *Exchanger) expireNotices(ctx context.Context) {
	periodic.Run(ctx, expireNoticesInterval, func() {
		x.state.ExpireLeaveNotices()
	})
}

// announceLeave says that this VM leaves. The entry on it takes that back when it follows a keeper again.
func (x *Exchanger) announceLeave(ctx context.Context) bool {
	notice := &pb.LeaveNotice{
		Vm: x.settings.VM, Sequence: uint64(time.Now().UnixMicro()), LifetimeMs: uint64(leaveLifetime.Milliseconds()),
	}
	x.state.AdoptLeaveNotices([]*pb.LeaveNotice{notice})
	return x.BroadcastLeaving(ctx, []*pb.LeaveNotice{notice})
}

// drainCallers begins the planned stop of a keeper: no keeper names this VM any more, and this keeper answers on until
// the answers that name it have run out.
func (x *Exchanger) drainCallers(ctx context.Context) error {
	wait := x.settings.AnswerLifetime.Std()
	if !x.announceLeave(ctx) {
		wait += leaveRelayTime
	}
	select {
	case <-ctx.Done():
	case <-time.After(wait):
	}
	return nil
}

// leaveRelayTime is within what time an announcement reaches all keepers.
const leaveRelayTime = 3 * time.Second
