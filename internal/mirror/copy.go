// Package mirror keeps a copy of the store in memory.
//
// In each region one VM reads the store by watches, and tells a VM in each other availability zone of it; the others take
// the changes from a VM of their zone, whose heartbeats tell its revision. Each zone has a VM in reserve, which reads when the
// copies grow old. A VM that starts reads only the registrations of its zone, and takes the rest
// from a VM that has it. A VM that hears no reader reads the store itself. While neither can be
// reached, the last copy stays in use and counts as behind. Where the store has discarded the history that a watch
// needs, the store is read whole again, and keys that are gone are reported as deleted.
//
// The store drops keys whose owners did not renew them, also while it is down itself. What vanishes around an outage is
// therefore kept for a grace time, in which an owner that lives writes it again.
package mirror

import (
	"cmp"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/primroseladder/primroseladder/internal/kv"
)

// Entry is an item of a copy.
type Entry struct {
	kv.Item
	// IsDoubted tells that the deletion may be due to an outage of the store.
	IsDoubted bool
}

// Changes are the entries of a copy that changed after a revision.
type Changes struct {
	Entries  []Entry
	Revision uint64
}

// deletionGrace is how long deletions around an outage are doubted. Owners that live have written their keys again within
// about 2 s of the store's return; a failed call may be repeated up to 0.6 s after that.
const deletionGrace = 2700 * time.Millisecond

// Copy holds the items of the store with the revision up to which it is complete. It may be used by several goroutines.
type Copy struct {
	// apply takes changes in the order of the store, one call at a time.
	apply func([]kv.Item)

	mu       sync.Mutex
	entries  map[string]Entry
	revision uint64
	// confirmed is when the copy was last known to be complete.
	confirmed time.Time
	// tentativeDeletionsUntil is until when deletions that the store reports are doubted.
	tentativeDeletionsUntil time.Time
	// tentativeUntil are the tentativeUntil deletions, with the time at which they are applied unless the key is written again.
	tentativeUntil map[string]time.Time
}

// NewCopy returns an empty copy. apply takes its changes and must not call the copy.
func NewCopy(apply func([]kv.Item)) *Copy {
	return &Copy{apply: apply, entries: map[string]Entry{}, tentativeUntil: map[string]time.Time{}}
}

// Revision returns the revision up to which the copy is complete; 0 before the first read.
func (c *Copy) Revision() uint64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.revision
}

// Age returns how long ago the copy was last known to be complete.
func (c *Copy) Age(now time.Time) time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	return now.Sub(c.confirmed)
}

// Confirm tells that the copy was complete at a moment.
func (c *Copy) Confirm(at time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if at.After(c.confirmed) {
		c.confirmed = at
	}
}

// RecordOutage tells that a call to the store has failed.
func (c *Copy) RecordOutage(now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.tentativeDeletionsUntil = now.Add(deletionGrace)
}

// Since returns what changed after a revision, deleted keys included.
func (c *Copy) Since(revision uint64) Changes {
	c.mu.Lock()
	defer c.mu.Unlock()
	out := Changes{Revision: c.revision}
	for _, e := range c.entries {
		if e.Revision > revision {
			out.Entries = append(out.Entries, e)
		}
	}
	slices.SortFunc(out.Entries, byRevision)
	return out
}

func byRevision(a, b Entry) int { return cmp.Compare(a.Revision, b.Revision) }

// AdoptFromPeer takes changes from another VM's copy.
func (c *Copy) AdoptFromPeer(changes Changes, now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.applyNewer(changes.Entries, now)
	c.revision = max(c.revision, changes.Revision)
}

// Adopt takes changes from the store.
func (c *Copy) Adopt(changes kv.Changes, now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.applyNewer(c.toEntries(changes.Items, now), now)
	c.revision = max(c.revision, changes.Revision)
	c.confirmed = now
}

// Preload applies items ahead of the first whole read. The copy holds them only from then on.
func (c *Copy) Preload(items []kv.Item) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.entries) == 0 && len(items) > 0 {
		c.apply(items)
	}
}

// AdoptFull takes all items of the store as they were read from a revision on. Known items that are missing are gone.
func (c *Copy) AdoptFull(read []kv.Item, revision uint64, now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	changes := slices.Clone(read)
	missing := maps.Clone(c.entries)
	for _, i := range read {
		delete(missing, i.Key)
	}
	for key, old := range missing {
		// An item that is newer than the read was written after its page was read.
		if !old.Deleted && old.Revision <= revision {
			changes = append(changes, kv.Item{Key: key, Revision: revision, Deleted: true})
		}
	}
	slices.SortStableFunc(changes, func(a, b kv.Item) int { return cmp.Compare(a.Revision, b.Revision) })
	c.applyNewer(c.toEntries(changes, now), now)
	c.revision = max(c.revision, revision)
	c.confirmed = now
}

// toEntries marks deletions as doubted while they may be due to an outage. The lock is held.
func (c *Copy) toEntries(items []kv.Item, now time.Time) []Entry {
	isGrace := now.Before(c.tentativeDeletionsUntil)
	out := make([]Entry, 0, len(items))
	for _, i := range items {
		out = append(out, Entry{Item: i, IsDoubted: i.Deleted && isGrace})
	}
	return out
}

// applyNewer takes the changes that are newer than the copy. The lock is held.
func (c *Copy) applyNewer(changes []Entry, now time.Time) {
	var fresh []kv.Item
	for _, e := range changes {
		old, known := c.entries[e.Key]
		isNewer := e.Revision > old.Revision || (e.Deleted && !old.Deleted && e.Revision == old.Revision)
		if known && !isNewer {
			continue
		}
		// A deleted key keeps its revision, so that an older write of it is not taken for a new one.
		c.entries[e.Key] = e
		delete(c.tentativeUntil, e.Key)
		if e.IsDoubted && known && !old.Deleted {
			c.tentativeUntil[e.Key] = now.Add(deletionGrace)
			continue
		}
		fresh = append(fresh, e.Item)
	}
	if len(fresh) > 0 {
		c.apply(fresh)
	}
}

// ApplyDueDeletions applies the deletions that have been doubted for long enough.
func (c *Copy) ApplyDueDeletions(now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	var due []kv.Item
	for key, at := range c.tentativeUntil {
		if now.Before(at) {
			continue
		}
		delete(c.tentativeUntil, key)
		due = append(due, c.entries[key].Item)
	}
	if len(due) > 0 {
		c.apply(due)
	}
}
