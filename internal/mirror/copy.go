// Package mirror keeps a copy of the store in memory.
//
// In each region one VM, the store reader, follows the store with watches and notifies the relay of each other
// availability zone, which is one of the zone's VMs. The other VMs fetch the changes from a VM of their zone, whose
// heartbeats announce its revision. Each zone has a reader in reserve, which reads the store when the copies become
// old. A VM that starts reads only the registrations of its zone and fetches the rest from a VM that has it. A VM that
// receives nothing from a reader reads the store itself. While a VM can reach neither a reader nor the store, it keeps
// using its last copy, which counts as stale. If the store has discarded the history that a watch needs, the store is
// read in full again, and keys that no longer exist are reported as deleted.
//
// The store drops keys whose owners did not renew them, even while it is down itself. Deletions after an outage that was long
// enough for this are therefore tentative until a grace period after its end, in which a live owner writes its key again.
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
	// TentativeFor is how much longer the deletion is tentative, as of when the entry is passed on. It is 0 for a deletion
	// that is certain.
	TentativeFor time.Duration `json:",omitempty"`
}

// Changes holds the entries of a copy that changed after a revision, and the revision up to which the copy is complete.
type Changes struct {
	Entries  []Entry
	Revision uint64
}

// Copy holds the items of the store and the revision up to which it is complete. It is safe for concurrent use.
type Copy struct {
	// apply receives changes in the order of the store, one call at a time.
	apply func([]kv.Item)

	mu       sync.Mutex
	entries  map[string]Entry
	revision uint64
	// confirmed is the time at which the copy was last known to be complete.
	confirmed time.Time
	// outage is the last outage of the store, as far as this VM has noticed it.
	outage outage
	// tentativeUntil holds the keys with a tentative deletion and the time at which it is applied, unless the key is
	// written again.
	tentativeUntil map[string]time.Time
}

// NewCopy returns an empty Copy. apply receives its changes and must not call the Copy.
func NewCopy(apply func([]kv.Item)) *Copy {
	return &Copy{apply: apply, entries: map[string]Entry{}, tentativeUntil: map[string]time.Time{}}
}

// Revision returns the revision up to which the copy is complete, or 0 before the first full read.
func (c *Copy) Revision() uint64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.revision
}

// Age returns the time since the copy was last known to be complete.
func (c *Copy) Age(now time.Time) time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	return now.Sub(c.confirmed)
}

// Confirm records that the copy was complete at the given time.
func (c *Copy) Confirm(at time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if at.After(c.confirmed) {
		c.confirmed = at
	}
}

// RecordFailure records that a call to the store has failed.
func (c *Copy) RecordFailure(now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.outage.recordFailure(c.confirmed, now)
}

// Since returns the entries that changed after a revision, in the order of their revisions. It includes deleted keys.
func (c *Copy) Since(revision uint64, now time.Time) Changes {
	c.mu.Lock()
	defer c.mu.Unlock()
	out := Changes{Revision: c.revision}
	for key, e := range c.entries {
		if e.Revision <= revision {
			continue
		}
		if until, isTentative := c.tentativeUntil[key]; isTentative {
			e.TentativeFor = max(0, until.Sub(now))
		}
		out.Entries = append(out.Entries, e)
	}
	slices.SortFunc(out.Entries, byRevision)
	return out
}

func byRevision(a, b Entry) int { return cmp.Compare(a.Revision, b.Revision) }

// AdoptFromPeer applies changes fetched from another VM's copy.
func (c *Copy) AdoptFromPeer(changes Changes, now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.applyNewer(changes.Entries, now)
	c.revision = max(c.revision, changes.Revision)
}

// Adopt applies changes read from the store.
func (c *Copy) Adopt(changes kv.Changes, now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.outage.recordEnd(c.confirmed, now)
	c.applyNewer(c.toEntries(changes.Items, now), now)
	c.revision = max(c.revision, changes.Revision)
	c.confirmed = now
}

// Preload applies items read before the first full read. The copy itself stores them only with the full read.
func (c *Copy) Preload(items []kv.Item) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.entries) == 0 && len(items) > 0 {
		c.apply(items)
	}
}

// AdoptFull applies the result of a full read of the store whose first page was read at the given revision. Known items
// that the read does not contain are treated as deleted.
func (c *Copy) AdoptFull(read []kv.Item, revision uint64, now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.outage.recordEnd(c.confirmed, now)
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

// toEntries converts items and marks deletions as tentative while they may be due to an outage. The caller holds c.mu.
func (c *Copy) toEntries(items []kv.Item, now time.Time) []Entry {
	tentativeFor := max(0, c.outage.tentativeUntil().Sub(now))
	out := make([]Entry, 0, len(items))
	for _, i := range items {
		e := Entry{Item: i}
		if i.Deleted {
			e.TentativeFor = tentativeFor
		}
		out = append(out, e)
	}
	return out
}

// applyNewer applies the changes that are newer than the copy. The caller holds c.mu.
func (c *Copy) applyNewer(changes []Entry, now time.Time) {
	var fresh []kv.Item
	for _, e := range changes {
		old, known := c.entries[e.Key]
		isNewer := e.Revision > old.Revision || (e.Deleted && !old.Deleted && e.Revision == old.Revision)
		if known && !isNewer {
			continue
		}
		// A deleted key keeps its revision, so that an older write of it is not applied as a new one.
		c.entries[e.Key] = Entry{Item: e.Item}
		delete(c.tentativeUntil, e.Key)
		if e.TentativeFor > 0 && known && !old.Deleted {
			c.tentativeUntil[e.Key] = now.Add(e.TentativeFor)
			continue
		}
		fresh = append(fresh, e.Item)
	}
	if len(fresh) > 0 {
		c.apply(fresh)
	}
}

// ApplyDueDeletions applies the tentative deletions whose grace period has passed.
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
