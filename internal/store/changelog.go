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
	// revisionDigits is the zero-padded length of a revision in a key, so that keys sort by revision.
	revisionDigits = 20
	// revisionsPerList is the maximum number of changes that one list call returns: the prefix leaves out the last
	// decimal digit of the revision.
	revisionsPerList = 10
)

// Delays between the attempts of a write whose outcome is not known.
const (
	retryBaseDelay = 50 * time.Millisecond
	retryMaxDelay  = time.Second
)

// ChangeLog stores each accepted change under a separate key that is derived from its revision. A change is accepted
// by creating its key: of several writers of one revision exactly one succeeds.
type ChangeLog struct {
	store Store
}

// NewChangeLog returns the change log in a store.
func NewChangeLog(s Store) *ChangeLog { return &ChangeLog{store: s} }

func changeKey(revision uint64) string {
	return fmt.Sprintf("%s%0*d", changePrefix, revisionDigits, revision)
}

// Read returns the change of a revision, or nil if there is none.
func (l *ChangeLog) Read(ctx context.Context, revision uint64) (*catalogue.Change, error) {
	value, err := l.store.Get(ctx, changeKey(revision))
	if err != nil || value.Index == 0 {
		return nil, err
	}
	return catalogue.DecodeChange(value.Data)
}

// Await waits for the change of a revision and returns it, or nil after timeout, with the index for the next call.
func (l *ChangeLog) Await(ctx context.Context, revision, index uint64, timeout time.Duration) (*catalogue.Change, uint64, error) {
	value, next, err := l.store.Wait(ctx, changeKey(revision), index, timeout)
	if err != nil || value.Index == 0 {
		return nil, next, err
	}
	change, err := catalogue.DecodeChange(value.Data)
	return change, next, err
}

// ReadSince returns all changes after a revision in order. It reads them in batches of up to revisionsPerList.
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

// readBatch returns the changes from a revision on, up to the first gap or the next multiple of revisionsPerList.
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

// Append stores the change under the key of its revision; a stored change is accepted. It retries a write that got no
// response until ctx ends; this is safe because the operation id makes the write idempotent. It returns ErrConflict if
// another change has the revision (this result is final), ErrUnreachable if nothing was sent, and ErrOutcomeUnknown if
// the change may still be accepted.
func (l *ChangeLog) Append(ctx context.Context, change *catalogue.Change) error {
	data, err := change.Encode()
	if err != nil {
		return err
	}
	if len(data) > maxValueBytes {
		return fmt.Errorf("the change has %d bytes, the store accepts at most %d", len(data), maxValueBytes)
	}
	backoff := Backoff{Base: retryBaseDelay, Max: retryMaxDelay}
	var unknown error
	for {
		done, err := l.tryAppend(ctx, change, data)
		if done && (err == nil || errors.Is(err, ErrConflict)) {
			return err
		}
		if errors.Is(err, ErrOutcomeUnknown) {
			unknown = err
		}
		if done || !periodic.Pause(ctx, backoff.Next()) {
			return outcomeUnknownOr(unknown, err)
		}
	}
}

// outcomeUnknownOr returns unknown if it is set, else last. A write whose outcome is unknown may still take effect, so
// the result of a later attempt does not replace that error.
func outcomeUnknownOr(unknown, last error) error {
	if unknown != nil {
		return unknown
	}
	return last
}

// tryAppend tries once to create the key. If that does not succeed, it reads the key to find out the outcome. It
// returns false if the attempt should be repeated.
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
		return false, peererr.Wrap(errors.Join(ErrOutcomeUnknown, err), "read back change", "store")
	}
	if stored == nil {
		// A write without a response may still take effect.
		return false, peererr.Wrap(ErrOutcomeUnknown, "read back change", "store")
	}
	if stored.OperationID != change.OperationID {
		return true, ErrConflict
	}
	return true, nil
}
