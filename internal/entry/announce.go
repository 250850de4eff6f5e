package entry

import (
	"context"
	"time"

	pb "github.com/primroseladder/primroseladder/api/primrosev1"
	"github.com/primroseladder/primroseladder/internal/fleet"
	"github.com/primroseladder/primroseladder/internal/keeperpeer"
	"github.com/primroseladder/primroseladder/internal/peererr"
	"github.com/primroseladder/primroseladder/internal/probe"
)

const (
	// leaveNoticeLifetime is how long a leave notice is in force. It is longer than the delay of the VM list.
	leaveNoticeLifetime = 10 * time.Minute
	// leaveCallTimeout bounds one Leave call to the keeper.
	leaveCallTimeout = 2 * time.Second
	// announceRetryDelay is the wait after a failed announcement.
	announceRetryDelay = 500 * time.Millisecond
	// maxDrainAnnouncements bounds the attempts to announce that a backend server is draining or has restarted.
	maxDrainAnnouncements = 6
	// drainCheckInterval is the time between two connection attempts to a draining backend server.
	// It is shorter than a restart, so that the time in which connections are refused is observed.
	drainCheckInterval = 200 * time.Millisecond
)

// Announcer sends leave notices through the keeper on this VM: they inform all VMs, ahead of the VM list, that a VM accepts
// no new work.
type Announcer struct {
	settings *Settings
	keepers  *keeperpeer.Client
}

// NewAnnouncer returns an announcer that calls the keeper at s.KeeperAddress.
func NewAnnouncer(s *Settings, keepers *keeperpeer.Client) *Announcer {
	return &Announcer{settings: s, keepers: keepers}
}

// announce sends a leave notice for a VM to the keeper on this VM. A lifetime of 0 announces that the VM accepts work
// again. It returns whether the keepers of all entry VMs have received the notice.
func (a *Announcer) announce(ctx context.Context, vm string, lifetime time.Duration) (bool, error) {
	ctx, cancel := context.WithTimeout(ctx, leaveCallTimeout)
	defer cancel()
	keeper, err := a.keepers.Keeper(a.settings.KeeperAddress)
	if err != nil {
		return false, err
	}
	ack, err := keeper.Leave(ctx, &pb.LeaveNotices{Notices: []*pb.LeaveNotice{{
		Vm: vm, Sequence: uint64(time.Now().UnixMicro()), LifetimeMs: uint64(lifetime.Milliseconds()),
	}}})
	if err != nil {
		return false, peererr.Wrap(err, "announce leaving", "keeper")
	}
	return ack.GetEveryone(), nil
}

// AnnounceDraining announces in the background that a backend server accepts no new work, as it has itself reported. Once
// the server has restarted at the same address, AnnounceDraining announces that it accepts work again.
func (a *Announcer) AnnounceDraining(backend fleet.VM) {
	go func() {
		a.announceBackend(backend.Name, leaveNoticeLifetime)
		if waitForRestart(backend.Address, leaveNoticeLifetime) {
			a.announceBackend(backend.Name, 0)
		}
	}()
}

// announceBackend announces a backend server until the keeper answers, at most maxDrainAnnouncements times.
func (a *Announcer) announceBackend(name string, lifetime time.Duration) {
	for range maxDrainAnnouncements {
		if _, err := a.announce(context.Background(), name, lifetime); err == nil {
			return
		}
		time.Sleep(announceRetryDelay)
	}
}

// waitForRestart waits until an address refuses connections and then accepts them again. It returns false if that has not
// happened within the timeout.
func waitForRestart(address string, timeout time.Duration) bool {
	wasRefused := false
	for end := time.Now().Add(timeout); time.Now().Before(end); time.Sleep(drainCheckInterval) {
		result := probe.TryConnect(address)
		if result == probe.ConnectOpen && wasRefused {
			return true
		}
		wasRefused = wasRefused || result == probe.ConnectRefused
	}
	return false
}
