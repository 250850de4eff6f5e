package store

import (
	"context"

	"github.com/primroseladder/primroseladder/internal/catalogue"
)

// Load brings state up to the newest accepted revision: it adopts the newest snapshot if that is ahead, then applies the
// changes after it. It returns catalogue.ErrFork if the store's changes do not continue the history of state.
func Load(ctx context.Context, s Store, state *catalogue.State) error {
	snapshot, err := NewSnapshotStore(s).Read(ctx)
	if err != nil {
		return err
	}
	if snapshot != nil {
		state.Replace(snapshot.Revision, snapshot.OperationID, snapshot.Entries)
	}
	changes, err := NewChangeLog(s).ReadSince(ctx, state.Revision())
	for _, c := range changes {
		if _, applyErr := state.Apply(c); applyErr != nil {
			return applyErr
		}
	}
	return err
}
