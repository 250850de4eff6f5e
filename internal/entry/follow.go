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

// followPause is the wait before the keeper is called again.
const followPause = 200 * time.Millisecond

// Follower takes the fleet state from the keeper on the same VM. While the keeper is away the last state holds.
type Follower struct {
	settings *Settings
	keepers  *keeperpeer.Client
	holder   *snapshot.Holder
	runner   *run.Runner
	tenure   *once.HomeTracker
	stopper  *Stopper
	log      zerolog.Logger
	// list is the newest VM list of the keeper. The next one may be a step from it.
	list *fleet.View
}

// NewFollower returns a follower of the keeper on this VM.
func NewFollower(s *Settings, keepers *keeperpeer.Client, holder *snapshot.Holder, runner *run.Runner, tenure *once.HomeTracker, stopper *Stopper, log zerolog.Logger) *Follower {
	return &Follower{settings: s, keepers: keepers, holder: holder, runner: runner, tenure: tenure, stopper: stopper, log: log}
}

// Run follows until ctx ends.
func (f *Follower) Run(ctx context.Context) {
	for ctx.Err() == nil {
		if err := f.follow(ctx); err != nil && ctx.Err() == nil {
			logevent.KeeperLost.Log(f.log).Err(err).Send()
		}
		select {
		case <-ctx.Done():
		case <-time.After(followPause):
		}
	}
}

func (f *Follower) follow(ctx context.Context) error {
	keeper, err := f.keepers.Keeper(f.settings.KeeperAddress)
	if err != nil {
		return err
	}
	stream, err := keeper.Follow(ctx, &pb.FollowRequest{Vm: f.settings.VM})
	if err != nil {
		return peererr.Wrap(err, "follow", "keeper")
	}
	returned := false
	for {
		update, err := stream.Recv()
		if err != nil {
			return peererr.Wrap(err, "follow", "keeper")
		}
		if err := f.adopt(update); err != nil {
			return err
		}
		if !returned && f.holder.IsReady() {
			// A keeper that restarted has announced that this VM leaves.
			returned = true
			go f.stopper.Return(ctx)
		}
	}
}

func (f *Follower) adopt(u *pb.FleetUpdate) error {
	if u.GetVms() != nil {
		list, err := keeperpeer.UpdatedViewFromProto(f.list, u.GetVms())
		if err != nil {
			return peererr.Wrap(err, "adopt VM list", "keeper")
		}
		f.list = list
		f.holder.ApplyView(list)
	}
	if u.GetLeaving() != nil {
		f.holder.ApplyLeaving(u.GetLeaving().GetNames())
	}
	if at := u.GetListConfirmedUnixMs(); at > 0 {
		// Keeper and entry share the clock of their VM.
		f.tenure.ConfirmList(time.UnixMilli(at))
	}
	if c := u.GetCatalogue(); c != nil {
		f.adoptCatalogue(c)
	}
	hearOpinions(f.runner, u.GetOpinions())
	return nil
}

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
