package keeper

import (
	"context"
	"errors"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/rs/zerolog"

	"github.com/primroseladder/primroseladder/internal/catalogue"
	"github.com/primroseladder/primroseladder/internal/fleet"
	"github.com/primroseladder/primroseladder/internal/logevent"
	"github.com/primroseladder/primroseladder/internal/periodic"
	"github.com/primroseladder/primroseladder/internal/placement"
	"github.com/primroseladder/primroseladder/internal/store"
)

const (
	// maintainInterval is the mean time between two checks of the store.
	maintainInterval = 5 * time.Second
	// appendTimeout bounds writing one missing change.
	appendTimeout = 5 * time.Second
	// minSnapshotChanges is the minimum number of changes between two snapshots.
	minSnapshotChanges = 200
	// snapshotWriters is how many keepers may write a snapshot. Each waits for more changes than the one ranked
	// before it.
	snapshotWriters = 3
)

// Maintainer keeps the store complete: it rewrites changes that the store lost when a backup was restored, writes
// snapshots, and removes old keys. It never changes an existing key, except the manifest of the newest snapshot.
type Maintainer struct {
	settings  *Settings
	state     *State
	changeLog *store.ChangeLog
	snapshots *store.SnapshotStore
	roles     *Roles
	log       zerolog.Logger
}

// NewMaintainer returns the maintainer of the store.
func NewMaintainer(s *Settings, state *State, kv store.Store, roles *Roles, log zerolog.Logger) *Maintainer {
	return &Maintainer{
		settings: s, state: state, changeLog: store.NewChangeLog(kv), snapshots: store.NewSnapshotStore(kv), roles: roles,
		log: log,
	}
}

// Run maintains the store until ctx ends.
func (m *Maintainer) Run(ctx context.Context) {
	for periodic.Pause(ctx, maintainInterval*3/4+rand.N(maintainInterval/2)) {
		if m.state.Catalogue.Revision() == 0 || !m.state.Readiness.IsReady() {
			continue
		}
		if m.roles.IsWatcher() {
			m.check(ctx)
		}
		if rank := m.snapshotRank(); rank >= 0 {
			m.snapshot(ctx, rank)
		}
	}
}

// check compares the store with this keeper's newest change and writes the changes that the store lacks.
func (m *Maintainer) check(ctx context.Context) {
	revision, operation := m.state.Catalogue.Position()
	stored, err := m.changeLog.Read(ctx, revision)
	if err != nil {
		return
	}
	if stored == nil {
		m.repair(ctx, revision)
		return
	}
	m.state.SetStoreBehind(0)
	if stored.OperationID != operation {
		m.recordFork(revision)
		return
	}
	m.state.SetForkRevision(0)
}

func (m *Maintainer) recordFork(revision uint64) {
	if m.state.SetForkRevision(revision) {
		logevent.CatalogueForked.Log(m.log).Uint64("revision", revision).Str("peer", "store").Send()
	}
}

// repair writes the changes that the store lacks, in ascending order of revision.
func (m *Maintainer) repair(ctx context.Context, newest uint64) {
	missing, err := m.missingChanges(ctx, newest)
	if errors.Is(err, catalogue.ErrFork) {
		m.recordFork(newest)
	}
	if err != nil || len(missing) == 0 {
		return
	}
	m.state.SetStoreBehind(uint64(len(missing)))
	logevent.StoreBehind.Log(m.log).Uint64("revision", newest).Int("missing", len(missing)).Send()
	for _, c := range missing {
		if err := m.rewrite(ctx, c); err != nil {
			return
		}
	}
	m.state.SetStoreBehind(0)
	logevent.StoreRepaired.Log(m.log).Uint64("revision", newest).Int("written", len(missing)).Send()
}

func (m *Maintainer) rewrite(ctx context.Context, c *catalogue.Change) error {
	ctx, cancel := context.WithTimeout(ctx, appendTimeout)
	defer cancel()
	err := m.changeLog.Append(ctx, c)
	if errors.Is(err, store.ErrConflict) {
		m.recordFork(c.Revision)
	}
	return err
}

// missingChanges returns the changes up to newest that the store lacks, in order. If the history does not reach back
// to what the store holds, it writes a snapshot that covers the rest.
func (m *Maintainer) missingChanges(ctx context.Context, newest uint64) ([]*catalogue.Change, error) {
	covered, err := m.snapshots.Revision(ctx)
	if err != nil || covered >= newest {
		return nil, err
	}
	history, _ := m.state.Catalogue.ChangesSince(covered)
	if history == nil {
		history = m.historyAbove(covered)
	}
	for i, c := range slices.Backward(history) {
		stored, err := m.changeLog.Read(ctx, c.Revision)
		if err != nil {
			return nil, err
		}
		if stored == nil {
			continue
		}
		if stored.OperationID != c.OperationID {
			return nil, catalogue.ErrFork
		}
		return history[i+1:], nil
	}
	if len(history) > 0 && history[0].Revision == covered+1 {
		return history, nil
	}
	_, err = m.snapshots.Write(ctx, m.currentSnapshot())
	return history, err
}

// historyAbove returns the changes in the history above the given revision.
func (m *Maintainer) historyAbove(above uint64) []*catalogue.Change {
	changes := m.state.Catalogue.History()
	return slices.DeleteFunc(changes, func(c *catalogue.Change) bool { return c.Revision <= above })
}

// snapshotRank returns the rank of this keeper among the snapshot writers, or -1 if it is none of them.
func (m *Maintainer) snapshotRank() int {
	ranked := placement.Rank("store-snapshot", m.state.View().LiveEntries(""))
	return slices.IndexFunc(ranked[:min(snapshotWriters, len(ranked))], func(vm fleet.VM) bool { return vm.Name == m.settings.VM })
}

// snapshot writes a snapshot if enough changes were made since the stored one: at least as many as the catalogue has
// entries, so that the bytes written stay proportional to the bytes of the changes.
func (m *Maintainer) snapshot(ctx context.Context, rank int) {
	covered, err := m.snapshots.Revision(ctx)
	if err != nil {
		return
	}
	current := m.currentSnapshot()
	minChanges := uint64(max(minSnapshotChanges, len(current.Entries)))
	if current.Revision < covered+minChanges*uint64(rank+1) || m.state.ForkRevision() > 0 {
		return
	}
	written, err := m.snapshots.Write(ctx, current)
	if err != nil {
		logevent.SnapshotFailed.Log(m.log).Err(err).Send()
		return
	}
	if !written {
		return
	}
	removed, err := m.snapshots.Trim(ctx)
	logevent.SnapshotWritten.Log(m.log).Uint64("revision", current.Revision).Int("removed", removed).Err(err).Send()
}

func (m *Maintainer) currentSnapshot() *store.Snapshot {
	revision, operation, entries := m.state.Catalogue.Snapshot()
	return &store.Snapshot{Revision: revision, OperationID: operation, Entries: entries}
}
