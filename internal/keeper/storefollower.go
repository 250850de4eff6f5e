package keeper

import (
	"context"
	"errors"
	"math/rand/v2"
	"time"

	"github.com/rs/zerolog"

	"github.com/primroseladder/primroseladder/internal/catalogue"
	"github.com/primroseladder/primroseladder/internal/logevent"
	"github.com/primroseladder/primroseladder/internal/periodic"
	"github.com/primroseladder/primroseladder/internal/store"
)

const (
	// watchTimeout is how long one blocking query lasts. If it ends without a change, there is no newer revision.
	watchTimeout = time.Second
	// storeBackoffBase and storeBackoffMax bound the wait after a failed call.
	storeBackoffBase = 250 * time.Millisecond
	storeBackoffMax  = 2 * time.Second
	// substituteInterval is the mean time after which a keeper that is no watcher checks again whether the watchers are
	// lost.
	substituteInterval = 250 * time.Millisecond
	// substituteDuration is how long a keeper that is no watcher waits at the store in place of lost watchers.
	substituteDuration = 5 * time.Second
	// forkLogInterval is the time between two log lines of a lasting fork.
	forkLogInterval = time.Minute
	// maxConsecutiveReads is how many changes in a row are read one by one before the rest is read in batches.
	maxConsecutiveReads = 4
)

// StoreFollower reads accepted changes from the store. Only the watchers of a region wait there. If they are lost,
// random keepers take their place, so that the region starts about four calls per second.
type StoreFollower struct {
	state     *State
	store     store.Store
	changeLog *store.ChangeLog
	roles     *Roles
	log       zerolog.Logger

	lastForkLog time.Time
}

// NewStoreFollower returns a follower of the change log in the store.
func NewStoreFollower(state *State, s store.Store, roles *Roles, log zerolog.Logger) *StoreFollower {
	return &StoreFollower{state: state, store: s, changeLog: store.NewChangeLog(s), roles: roles, log: log}
}

// Run follows the store until ctx ends.
func (f *StoreFollower) Run(ctx context.Context) {
	backoff := store.Backoff{Base: storeBackoffBase, Max: storeBackoffMax}
	for ctx.Err() == nil {
		if !f.roles.IsWatcher() {
			f.substitute(ctx)
			continue
		}
		err := f.watch(ctx, f.roles.IsWatcher)
		if err == nil || ctx.Err() != nil {
			backoff.Reset()
			continue
		}
		f.logFailure(err)
		periodic.Pause(ctx, backoff.Next())
	}
}

func (f *StoreFollower) logFailure(err error) {
	if errors.Is(err, catalogue.ErrFork) && time.Since(f.lastForkLog) < forkLogInterval {
		return
	}
	if errors.Is(err, catalogue.ErrFork) {
		f.lastForkLog = time.Now()
		logevent.CatalogueForked.Log(f.log).Uint64("revision", f.state.ForkRevision()).Err(err).Send()
		return
	}
	logevent.StoreUnreachable.Log(f.log).Err(err).Send()
}

// substitute watches the store for substituteDuration if the region's watchers are lost. A random choice limits how
// many keepers of the region do so at a time.
func (f *StoreFollower) substitute(ctx context.Context) {
	periodic.Pause(ctx, substituteInterval/2+rand.N(substituteInterval))
	watchersLost := f.state.Freshness.IsOlderThan(f.roles.WatcherLossTimeout())
	if ctx.Err() != nil || !watchersLost || rand.IntN(f.roles.SubstituteCandidates()) > 0 {
		return
	}
	deadline := time.Now().Add(substituteDuration)
	if err := f.watch(ctx, func() bool { return time.Now().Before(deadline) }); err != nil && ctx.Err() == nil {
		f.logFailure(err)
	}
}

// watch reads what the store has and then waits for changes until shouldContinue returns false, a call fails, or so
// many changes follow each other that they are better read in batches.
func (f *StoreFollower) watch(ctx context.Context, shouldContinue func() bool) error {
	if err := f.catchUp(ctx); err != nil {
		return err
	}
	var index uint64
	consecutive := 0
	for ctx.Err() == nil && shouldContinue() {
		found, next, err := f.awaitChange(ctx, index)
		if err != nil {
			return err
		}
		index = next
		consecutive++
		if !found {
			consecutive = 0
		}
		if consecutive > maxConsecutiveReads {
			return nil
		}
	}
	return nil
}

// awaitChange waits for the next change. It returns whether there was one, and the index for the next call.
func (f *StoreFollower) awaitChange(ctx context.Context, index uint64) (bool, uint64, error) {
	begin := time.Now()
	revision := f.state.Catalogue.Revision()
	change, next, err := f.changeLog.Await(ctx, revision+1, index, watchTimeout)
	if err != nil {
		return false, 0, err
	}
	f.state.Freshness.RecordContact()
	if change == nil {
		f.recordConfirmation(revision, begin, index > 0)
		return false, next, nil
	}
	_, err = f.state.ApplyChanges([]*catalogue.Change{change})
	if errors.Is(err, catalogue.ErrGap) {
		// Another keeper has delivered newer changes meanwhile.
		err = nil
	}
	// Index 0 makes the next call return at once, which confirms the revision.
	return true, 0, err
}

// recordConfirmation records that the store had nothing above revision: at the end of a full blocking query, else at
// begin.
func (f *StoreFollower) recordConfirmation(revision uint64, begin time.Time, waited bool) {
	if f.state.Catalogue.Revision() < revision {
		return
	}
	at := begin
	if end := begin.Add(watchTimeout); waited && !time.Now().Before(end) {
		at = end
	}
	f.state.Freshness.Confirm(at)
	f.state.Readiness.RecordStoreConfirmation()
}

// catchUp reads all changes that the store has beyond this keeper's revision.
func (f *StoreFollower) catchUp(ctx context.Context) error {
	begin := time.Now()
	before := f.state.Catalogue.Revision()
	err := store.Load(ctx, f.store, f.state.Catalogue)
	if f.state.Catalogue.Revision() > before {
		f.state.NotifyChanged()
	}
	if errors.Is(err, catalogue.ErrFork) {
		f.state.SetForkRevision(f.state.Catalogue.Revision() + 1)
	}
	if err != nil && !errors.Is(err, catalogue.ErrGap) {
		return err
	}
	f.state.Freshness.RecordContact()
	f.recordConfirmation(before, begin, false)
	return nil
}
