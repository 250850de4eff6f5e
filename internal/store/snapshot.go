package store

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"errors"
	"fmt"
	"time"

	"github.com/primroseladder/primroseladder/internal/catalogue"
	"github.com/primroseladder/primroseladder/internal/peererr"
	"github.com/primroseladder/primroseladder/internal/periodic"
)

const (
	manifestKey    = "primrose/snapshot"
	snapshotPrefix = "primrose/snapshots/"
	// maxPartBytes limits the size of a part of a snapshot. The store accepts values up to maxValueBytes.
	maxPartBytes = 900 << 10
	// maxReadAttempts limits the attempts to read a snapshot that is replaced meanwhile.
	maxReadAttempts = 3
	// maxWriteAttempts limits the attempts to write a part.
	maxWriteAttempts = 4
	// hashDigits is the number of hex digits of the content hash in the key of a part.
	hashDigits = 16
)

// errPartMissing means that a snapshot was replaced, and its parts trimmed, while it was read.
var errPartMissing = errors.New("a part of the snapshot is missing")

// Snapshot is the whole catalogue at one revision.
type Snapshot struct {
	Revision uint64
	// OperationID is the operation id of the change that produced the revision.
	OperationID string
	Entries     []catalogue.EncodedEntry
}

// manifest lists the keys of the parts of the newest snapshot.
type manifest struct {
	Revision    uint64    `json:"revision"`
	OperationID string    `json:"operation_id"`
	Time        time.Time `json:"time"`
	Parts       []string  `json:"parts"`
}

// SnapshotStore stores the whole catalogue in immutable parts, with a manifest of the newest snapshot, so that a reader
// does not have to read the whole change log. Concurrent writers are safe: the manifest only moves to higher revisions.
type SnapshotStore struct {
	store Store
}

// NewSnapshotStore returns access to the snapshots in a store.
func NewSnapshotStore(s Store) *SnapshotStore { return &SnapshotStore{store: s} }

func (s *SnapshotStore) readManifest(ctx context.Context) (manifest, uint64, error) {
	value, err := s.store.Get(ctx, manifestKey)
	if err != nil || value.Index == 0 {
		return manifest{}, 0, err
	}
	var m manifest
	if err := json.Unmarshal(value.Data, &m); err != nil {
		return manifest{}, 0, peererr.Wrap(err, "read snapshot manifest", "store")
	}
	return m, value.Index, nil
}

// Revision returns the revision of the newest snapshot, or 0 if there is none.
func (s *SnapshotStore) Revision(ctx context.Context) (uint64, error) {
	m, _, err := s.readManifest(ctx)
	return m.Revision, err
}

// Read returns the newest snapshot, or nil if there is none.
func (s *SnapshotStore) Read(ctx context.Context) (*Snapshot, error) {
	var err error
	for range maxReadAttempts {
		var snapshot *Snapshot
		snapshot, err = s.readOnce(ctx)
		if !errors.Is(err, errPartMissing) {
			return snapshot, err
		}
	}
	return nil, err
}

func (s *SnapshotStore) readOnce(ctx context.Context) (*Snapshot, error) {
	m, index, err := s.readManifest(ctx)
	if err != nil || index == 0 {
		return nil, err
	}
	snapshot := &Snapshot{Revision: m.Revision, OperationID: m.OperationID}
	for _, key := range m.Parts {
		value, err := s.store.Get(ctx, key)
		if err != nil {
			return nil, err
		}
		if value.Index == 0 {
			return nil, peererr.Wrap(errPartMissing, "read snapshot", "store")
		}
		var entries []catalogue.EncodedEntry
		if err := json.Unmarshal(value.Data, &entries); err != nil {
			return nil, peererr.Wrap(err, "read snapshot", "store")
		}
		snapshot.Entries = append(snapshot.Entries, entries...)
	}
	return snapshot, nil
}

// Write stores a snapshot if its revision is above that of the stored one. It returns whether it has stored the snapshot.
func (s *SnapshotStore) Write(ctx context.Context, snapshot *Snapshot) (bool, error) {
	old, index, err := s.readManifest(ctx)
	if err != nil || old.Revision >= snapshot.Revision {
		return false, err
	}
	next := manifest{Revision: snapshot.Revision, OperationID: snapshot.OperationID, Time: time.Now().UTC()}
	parts, err := encodeParts(snapshot.Entries)
	if err != nil {
		return false, err
	}
	for i, part := range parts {
		key := partKey(snapshot.Revision, i, part)
		if err := s.createPart(ctx, key, part); err != nil {
			return false, err
		}
		next.Parts = append(next.Parts, key)
	}
	data, err := json.Marshal(next)
	if err != nil {
		return false, err
	}
	return s.store.CompareAndSwap(ctx, manifestKey, data, index)
}

// createPart writes a part and retries after an error. The key contains the hash of the content, so a part that already
// exists under the key is identical.
func (s *SnapshotStore) createPart(ctx context.Context, key string, part []byte) error {
	backoff := Backoff{Base: retryBaseDelay, Max: retryMaxDelay}
	var err error
	for range maxWriteAttempts {
		_, err = s.store.CompareAndSwap(ctx, key, part, 0)
		if err == nil || !periodic.Pause(ctx, backoff.Next()) {
			return err
		}
	}
	return err
}

func partKey(revision uint64, number int, part []byte) string {
	hash := sha256.Sum256(part)
	return fmt.Sprintf("%s%0*d/%04d-%s", snapshotPrefix, revisionDigits, revision, number, hex.EncodeToString(hash[:])[:hashDigits])
}

// encodeParts encodes entries as JSON arrays of up to maxPartBytes each. A larger entry is a part of its own.
func encodeParts(entries []catalogue.EncodedEntry) ([][]byte, error) {
	var parts [][]byte
	var current []byte
	for _, e := range entries {
		encoded, err := json.Marshal(e)
		if err != nil {
			return nil, err
		}
		if len(current) > 0 && len(current)+len(encoded)+2 > maxPartBytes {
			parts = append(parts, append(current, ']'))
			current = nil
		}
		separator := byte(',')
		if len(current) == 0 {
			separator = '['
		}
		current = append(append(current, separator), encoded...)
	}
	if len(current) > 0 {
		parts = append(parts, append(current, ']'))
	}
	return parts, nil
}
