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
	// leaveLifetime is how long an announcement holds. It outlasts the lag of the VM list.
	leaveLifetime = 10 * time.Minute
	// leaveTimeout bounds one call of the keeper.
	leaveTimeout = 2 * time.Second
	// announcePause is the wait between two tries.
	announcePause = 500 * time.Millisecond
	// drainTries bounds the tries to announce a backend server that drains.
	drainTries = 6
	// drainLookInterval is the time between two connection attempts to a draining backend server.
	// It is shorter than a restart.
	drainLookInterval = 200 * time.Millisecond
)

// Announcer tells all VMs, through the keeper on this VM, that a VM takes no new work, ahead of the VM list.
type Announcer struct {
	settings *Settings
	keepers  *keeperpeer.Client
}

// NewAnnouncer returns an announcer.
func NewAnnouncer(s *Settings, keepers *keeperpeer.Client) *Announcer {
	return &Announcer{settings: s, keepers: keepers}
}

// announce tells the keeper on this VM. No lifetime says that the VM takes work again. It reports whether the keepers
// of all VMs have heard it.
func (a *Announcer) announce(ctx context.Context, vm string, lifetime time.Duration) (bool, error) {
	ctx, cancel := context.WithTimeout(ctx, leaveTimeout)
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

// Drained announces in the background that a backend server said it takes no new work, and that it is back after it was
// gone.
func (a *Announcer) Drained(backend fleet.VM) {
	go func() {
		a.announceBackend(backend.Name, leaveLifetime)
		if isBackAfterGone(backend.Address, leaveLifetime) {
			a.announceBackend(backend.Name, 0)
		}
	}()
}

func (a *Announcer) announceBackend(name string, lifetime time.Duration) {
	for range drainTries {
		if _, err := a.announce(context.Background(), name, lifetime); err == nil {
			return
		}
		time.Sleep(announcePause)
	}
}

// isBackAfterGone waits until an address refuses connections and then takes them again. It gives up after bound.
func isBackAfterGone(address string, bound time.Duration) bool {
	gone := false
	for end := time.Now().Add(bound); time.Now().Before(end); time.Sleep(drainLookInterval) {
		result := probe.TryConnect(address)
		if result == probe.ConnectOpen && gone {
			return true
		}
		gone = gone || result == probe.ConnectRefused
	}
	return false
}
