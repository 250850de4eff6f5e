package store_test

import (
	"context"
	"encoding/json"
	"fmt"
	"strings"
	"sync"
	"testing"
	"testing/synctest"

	qt "github.com/frankban/quicktest"

	"github.com/primroseladder/primroseladder/internal/catalogue"
	"github.com/primroseladder/primroseladder/internal/standin/memstore"
	"github.com/primroseladder/primroseladder/internal/store"
)

func entriesOf(n, bytes int) []catalogue.EncodedEntry {
	var out []catalogue.EncodedEntry
	for i := range n {
		content, _ := json.Marshal(strings.Repeat("x", bytes))
		out = append(out, catalogue.EncodedEntry{Service: fmt.Sprintf("service-%05d", i), Content: content})
	}
	return out
}

// TestSnapshotOfConcurrentWriters checks that the manifest only moves to higher revisions under concurrent writers, that a
// snapshot larger than one value is read completely, and that trimming keeps the newest one.
func TestSnapshotOfConcurrentWriters(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx := context.Background()
		service := memstore.New(1)
		snapshots := store.NewSnapshotStore(service)
		var wg sync.WaitGroup
		for revision := uint64(1); revision <= 6; revision++ {
			wg.Go(func() {
				_, err := snapshots.Write(ctx, &store.Snapshot{Revision: revision, OperationID: fmt.Sprint(revision), Entries: entriesOf(300, 10_000)})
				qt.Check(t, err, qt.IsNil)
			})
		}
		wg.Wait()
		_, err := snapshots.Write(ctx, &store.Snapshot{Revision: 9, OperationID: "9", Entries: entriesOf(300, 10_000)})
		qt.Assert(t, err, qt.IsNil)
		wrote, err := snapshots.Write(ctx, &store.Snapshot{Revision: 8, OperationID: "8"})
		qt.Assert(t, err, qt.IsNil)
		qt.Assert(t, wrote, qt.IsFalse)
		removed, err := snapshots.Trim(ctx)
		qt.Assert(t, err, qt.IsNil)
		qt.Check(t, removed > 0, qt.IsTrue)

		state := catalogue.NewState()
		qt.Assert(t, store.Load(ctx, service, state), qt.IsNil)
		revision, operation, entries := state.Snapshot()
		qt.Check(t, revision, qt.Equals, uint64(9))
		qt.Check(t, operation, qt.Equals, "9")
		qt.Check(t, entries, qt.HasLen, 300)
		keys, err := service.Keys(ctx, "primrose/snapshots/")
		qt.Assert(t, err, qt.IsNil)
		qt.Check(t, keys, qt.HasLen, 4)
	})
}
