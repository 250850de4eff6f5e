package store

import (
	"context"
	"errors"
	"fmt"
	"strings"
	"time"

	"github.com/primroseladder/primroseladder/internal/catalogue"
	"github.com/primroseladder/primroseladder/internal/peererr"
	"github.com/primroseladder/primroseladder/internal/periodic"
)

const (
	changePrefix = "primrose/changes/"
	// revisionDigits is the length of a revision in a key, so that keys sort by revision.
	revisionDigits = 20
	// revisionsPerList is how many changes one list call returns at most.
	revisionsPerList = 10
)

const (
	retryBaseDelay = 50 * time.Millisecond
	retryMaxDelay  = time.Second
)

// ChangeLog keeps each accepted change under a key of its own, named by its revision. Creating the key is what
// accepts the change: of two writers of one revision exactly one creates it.
type ChangeLog struct {
	store Store
}

// NewChangeLog returns the change log in a store.
func NewChangeLog(s Store) *ChangeLog { return &ChangeLog{store: s} }

func changeKey(revision uint64) string {
	return fmt.Sprintf("%s%0*d", changePrefix, revisionDigits, revision)
}

// Read returns the change of a revision, or nil where there is none.
func (l *ChangeLog) Read(ctx context.Context, revision uint64) (*catalogue.Change, error) {
	value, err := l.store.Get(ctx, changeKey(revision))
	if err != nil || value.Index == 0 {
		return nil, err
	}
	return catalogue.DecodeChange(value.Data)
}

// Await waits for the change of a revision. It returns nil after timeout, with the index for the next call.
func (l *ChangeLog) Await(ctx context.Context, revision, index uint64, timeout time.Duration) (*catalogue.Change, uint64, error) {
	value, next, err := l.store.Wait(ctx, changeKey(revision), index, timeout)
	if err != nil || value.Index == 0 {
		return nil, next, err
	}
	change, err := catalogue.DecodeChange(value.Data)
	return change, next, err
}

// ReadSince returns all changes after a revision in order. One call returns several changes.
func (l *ChangeLog) ReadSince(ctx context.Context, revision uint64) ([]*catalogue.Change, error) {
	var changes []*catalogue.Change
	for {
		batch, err := l.readBatch(ctx, revision+1)
		if err != nil {
			return changes, err
		}
		changes = append(changes, batch...)
		revision += uint64(len(batch))
		if len(batch) == 0 || (revision+1)%revisionsPerList != 0 {
			return changes, nil
		}
	}
}

// readBatch returns the changes from a revision on, without gaps, up to the next multiple of revisionsPerList.
func (l *ChangeLog) readBatch(ctx context.Context, revision uint64) ([]*catalogue.Change, error) {
	first := changeKey(revision)
	pairs, err := l.store.List(ctx, first[:len(first)-1])
	if err != nil {
		return nil, err
	}
	var changes []*catalogue.Change
	for _, p := range pairs {
		if p.Key != changeKey(revision+uint64(len(changes))) {
			continue
		}
		change, err := catalogue.DecodeChange(p.Data)
		if err != nil {
			return changes, peererr.Wrap(err, "read change "+strings.TrimPrefix(p.Key, changePrefix), "store")
		}
		changes = append(changes, change)
	}
	return changes, nil
}

// Append makes the change accepted as its revision. It repeats a write that got no answer until ctx ends: the write
// is idempotent by the change's operation id. It returns ErrConflict where another change has the revision, which is
// final; ErrUnreachable where nothing was sent; and ErrUnsettled where the outcome is unknown.
func (l *ChangeLog) Append(ctx context.Context, change *catalogue.Change) error {
	data, err := change.Encode()
	if err != nil {
		return err
	}
	if len(data) > maxValueBytes {
		return fmt.Errorf("the change has %d bytes, the store takes %d", len(data), maxValueBytes)
	}
	backoff := Backoff{Base: retryBaseDelay, Max: retryMaxDelay}
	var unsettled error
	for {
		done, err := l.tryAppend(ctx, change, data)
		if done && (err == nil || errors.Is(err, ErrConflict)) {
			return err
		}
		if errors.Is(err, ErrOutcomeUnknown) {
			unsettled = err
		}
		if done || !periodic.Pause(ctx, backoff.Next()) {
			return outcomeUnknownOr(unsettled, err)
		}
	}
}

// outcomeUnknownOr returns the first error that is set. An unsettled write may land later, whatever came after it.
func outcomeUnknownOr(unsettled, last error) error {
	if unsettled != nil {
		return unsettled
	}
	return last
}

// tryAppend creates the key once and settles the outcome by reading back. It returns false where it must be repeated.
func (l *ChangeLog) tryAppend(ctx context.Context, change *catalogue.Change, data []byte) (bool, error) {
	created, err := l.store.CompareAndSwap(ctx, changeKey(change.Revision), data, 0)
	if created && err == nil {
		return true, nil
	}
	if errors.Is(err, ErrUnreachable) {
		return false, err
	}
	if err != nil && !errors.Is(err, ErrOutcomeUnknown) {
		return true, err
	}
	stored, err := l.Read(ctx, change.Revision)
	if err != nil {
		return false, peererr.Wrap(errors.Join(ErrOutcomeUnknown, err), "settle change", "store")
	}
	if stored == nil {
		// A write without an answer may still land.
		return false, peererr.Wrap(ErrOutcomeUnknown, "settle change", "store")
	}
	if stored.OperationID != change.OperationID {
		return true, ErrConflict
	}
	return true, nil
}
