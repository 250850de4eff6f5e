package store

import (
	"context"
	"strconv"
	"strings"
)

const (
	// RetainedRevisions is the number of revisions before the newest snapshot whose changes stay readable.
	RetainedRevisions = 10_000
	// maxTrimmedKeys limits the keys that one call of Trim removes: this many of snapshots, and this many of changes.
	maxTrimmedKeys = 500
)

// Trim removes the parts of snapshots older than the newest one, and changes that are more than RetainedRevisions
// revisions older than the newest snapshot. It keeps all changes after the newest snapshot. It returns the number of
// removed keys.
func (s *SnapshotStore) Trim(ctx context.Context) (int, error) {
	m, index, err := s.readManifest(ctx)
	if err != nil || index == 0 {
		return 0, err
	}
	removed, err := s.trimPrefix(ctx, snapshotPrefix, m.Revision)
	if err != nil || m.Revision <= RetainedRevisions {
		return removed, err
	}
	removedChanges, err := s.trimPrefix(ctx, changePrefix, m.Revision-RetainedRevisions)
	return removed + removedChanges, err
}

// trimPrefix removes up to maxTrimmedKeys keys whose revision is lower than below.
func (s *SnapshotStore) trimPrefix(ctx context.Context, prefix string, below uint64) (int, error) {
	keys, err := s.store.Keys(ctx, prefix)
	if err != nil {
		return 0, err
	}
	removed := 0
	for _, key := range keys {
		revision, ok := keyRevision(key, prefix)
		if !ok || revision >= below || removed == maxTrimmedKeys {
			break
		}
		if err := s.store.Delete(ctx, key); err != nil {
			return removed, err
		}
		removed++
	}
	return removed, nil
}

// keyRevision returns the revision in a key that begins with prefix.
func keyRevision(key, prefix string) (uint64, bool) {
	digits := strings.TrimPrefix(key, prefix)
	if len(digits) < revisionDigits {
		return 0, false
	}
	revision, err := strconv.ParseUint(digits[:revisionDigits], 10, 64)
	return revision, err == nil
}
