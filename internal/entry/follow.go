package entry

import (
	"context"
	"time"

	"github.com/rs/zerolog"

	pb "github.com/primroseladder/primroseladder/api/primrosev1"
	"github.com/primroseladder/primroseladder/internal/catalogue"
	"github.com/primroseladder/primroseladder/internal/fleet"
	"github.com/primroseladder/primroseladder/internal/keeperpeer"
	"github.com/primroseladder/primroseladder/internal/logevent"
	"github.com/primroseladder/primroseladder/internal/once"
	"github.com/primroseladder/primroseladder/internal/peererr"
	"github.com/primroseladder/primroseladder/internal/run"
	"github.com/primroseladder/primroseladder/internal/snapshot"
)

// reconnectDelay is the wait after a stream from the keeper ends, before the next call.
const reconnectDelay = 200 * time.Millisecond

// Follower receives the VM list, leave notices, the catalogue and opinions from the keeper on the same VM. While the keeper is
// unavailable, the entry continues with the last state received.
type Follower struct {
	settings    *Settings
	keepers     *keeperpeer.Client
	holder      *snapshot.Holder
	runner      *run.Runner
	homeTracker *once.HomeTracker
	stopper     *Stopper
	log         zerolog.Logger
	// vmList is the newest VM list from the keeper. The next update may be a delta to it.
	vmList *fleet.View
}

// NewFollower returns a follower of the keeper on this VM.
func NewFollower(
	s *Settings, keepers *keeperpeer.Client, holder *snapshot.Holder, runner *run.Runner, homeTracker *once.HomeTracker,
	stopper *Stopper, log zerolog.Logger,
) *Follower {
	return &Follower{
		settings: s, keepers: keepers, holder: holder, runner: runner, homeTracker: homeTracker, stopper: stopper, log: log,
	}
}

// Run receives updates until ctx ends, and reconnects whenever the stream fails.
func (f *Follower) Run(ctx context.Context) {
	for ctx.Err() == nil {
		if err := f.follow(ctx); err != nil && ctx.Err() == nil {
			logevent.KeeperLost.Log(f.log).Err(err).Send()
		}
		select {
		case <-ctx.Done():
		case <-time.After(reconnectDelay):
		}
	}
}

// follow opens one stream of updates and applies them until it fails. It always returns an error.
func (f *Follower) follow(ctx context.Context) error {
	keeper, err := f.keepers.Keeper(f.settings.KeeperAddress)
	if err != nil {
		return err
	}
	stream, err := keeper.Follow(ctx, &pb.FollowRequest{Vm: f.settings.VM})
	if err != nil {
		return peererr.Wrap(err, "follow", "keeper")
	}
	returnAnnounced := false
	for {
		update, err := stream.Recv()
		if err != nil {
			return peererr.Wrap(err, "follow", "keeper")
		}
		if err := f.adopt(update); err != nil {
			return err
		}
		if !returnAnnounced && f.holder.IsReady() {
			// A keeper announces in its own planned stop that this VM is leaving. Revoke that after its restart.
			returnAnnounced = true
			go f.stopper.AnnounceReturn(ctx)
		}
	}
}

// adopt applies the parts that are present in an update.
func (f *Follower) adopt(u *pb.FleetUpdate) error {
	if u.GetVms() != nil {
		list, err := keeperpeer.UpdatedViewFromProto(f.vmList, u.GetVms())
		if err != nil {
			return peererr.Wrap(err, "adopt VM list", "keeper")
		}
		f.vmList = list
		f.holder.ApplyView(list)
	}
	if u.GetLeaving() != nil {
		f.holder.ApplyLeaving(u.GetLeaving().GetNames())
	}
	if at := u.GetListConfirmedUnixMs(); at > 0 {
		// The timestamp is comparable with this process's clock: the keeper runs on the same VM.
		f.homeTracker.ConfirmList(time.UnixMilli(at))
	}
	if c := u.GetCatalogue(); c != nil {
		f.adoptCatalogue(c)
	}
	receiveOpinions(f.runner, u.GetOpinions())
	return nil
}

// adoptCatalogue applies a catalogue update. Entries that cannot be decoded are logged and skipped.
func (f *Follower) adoptCatalogue(c *pb.CatalogueUpdate) {
	update := snapshot.CatalogueUpdate{Revision: c.GetRevision(), Complete: c.GetComplete(), Removed: c.GetRemoved()}
	for _, encoded := range c.GetEntries() {
		e, err := catalogue.DecodeEntry(encoded.GetContent())
		if err != nil {
			logevent.EntryUnreadable.Log(f.log).Str("service", encoded.GetService()).Err(err).Send()
			continue
		}
		update.Entries = append(update.Entries, e)
	}
	if f.holder.ApplyCatalogue(update) {
		logevent.CatalogueAdopted.Log(f.log).Uint64("revision", update.Revision).Send()
	}
}
