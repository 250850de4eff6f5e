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
// A copy does not know which keys were removed before it was first read. Where that matters, another VM gets the full copy instead
// of changes: see Span.
//
// The store drops keys whose owners did not renew them, even while it is down itself. Deletions after an outage that was long
// enough for this are therefore tentative until a grace period after its end, in which a live owner writes its key again. A VM that was
// cut off cannot tell its own silence from an outage. Its doubt is passed on with the deletions, and counts only for VMs that have heard
// nothing of the store for as long themselves.
//
// A store that comes back from an older copy of itself begins a new era, and may give out again the revisions that it had given
// out since. A copy of another era is therefore replaced as a whole. What owners had written in the lost time is kept until they
// write it again: a copy never goes back to a state that its owner has left.
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
	// Last is the value that a deleted key had.
	Last []byte `json:",omitempty"`
	// InStore is the value that the store still has for a key that was removed in an earlier era, and ReturnsIn how much longer
	// the key counts as removed.
	InStore   []byte        `json:",omitempty"`
	ReturnsIn time.Duration `json:",omitempty"`
}

// Changes holds the entries of a copy that changed after a position, or all of them, and the position up to which the copy is
// complete.
type Changes struct {
	Entries  []Entry
	Revision uint64
	Era      uint64 `json:",omitempty"`
	// IsFull is set if Entries holds the full copy: a key without an entry does not exist at Revision. Spans is then the history of
	// the copy.
	IsFull bool   `json:",omitempty"`
	Spans  []Span `json:",omitempty"`
	// TentativeFor is how much longer the deletions of an outage are tentative.
	TentativeFor time.Duration `json:",omitempty"`
}

func (c Changes) position() kv.Position { return kv.Position{Era: c.Era, Revision: c.Revision} }

// Owners knows the order in which the owners of keys write them.
type Owners interface {
	// IsNewer reports whether the owner of a key wrote the state a after the state b.
	IsNewer(a, b kv.Item) bool
}

// Copy holds the items of the store and the position up to which it is complete. It is safe for concurrent use.
type Copy struct {
	// apply receives changes in the order of the store, one call at a time.
	apply  func([]kv.Item)
	owners Owners
	// onNewEra, if set, is called when a copy of a new era is adopted, with the items that the store has.
	onNewEra func(era uint64, items map[string]kv.Item)

	mu      sync.Mutex
	entries map[string]Entry
	at      kv.Position
	// newest is the highest revision of an entry. It is above that of at after a full read that met later changes.
	newest uint64
	// history holds the revisions of the era since which the changes are known.
	history history
	// preloaded holds the items that were applied before the first full read.
	preloaded map[string]kv.Item
	// superseded holds the keys whose state in the store is older than that of the copy, with the state in the store.
	superseded map[string]supersededState
	// confirmed is the time at which the copy was last known to be complete.
	confirmed time.Time
	// outage is the last outage of the store, as far as this VM has noticed it.
	outage outage
	// tentativeUntil holds the keys with a tentative deletion and the time at which it is applied, unless the key is
	// written again.
	tentativeUntil map[string]time.Time
}

// NewCopy returns an empty Copy. apply receives its changes and must not call the Copy.
func NewCopy(apply func([]kv.Item), owners Owners) *Copy {
	return &Copy{
		apply: apply, owners: owners, entries: map[string]Entry{}, tentativeUntil: map[string]time.Time{},
		superseded: map[string]supersededState{}, preloaded: map[string]kv.Item{},
	}
}

// OnNewEra sets a function that is called when a copy of a new era is adopted, with the items that the store has. It must be
// set before the Copy is used, and must not call it.
func (c *Copy) OnNewEra(f func(era uint64, items map[string]kv.Item)) { c.onNewEra = f }

// Position returns the position up to which the copy is complete, which has revision 0 before the first full read.
func (c *Copy) Position() kv.Position {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.at
}

// FetchPosition returns the position after which the copy needs the changes of another VM's copy. It has revision 0, for the full
// copy, while this copy has entries newer than its position: the other copy may not know of their removal.
func (c *Copy) FetchPosition() kv.Position {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.newest > c.at.Revision {
		return kv.Position{Era: c.at.Era}
	}
	return c.at
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
		c.outage.recordConfirmation(c.confirmed, at, time.Now())
		c.confirmed = at
	}
}

// RecordFailure records that a call to the store has failed.
func (c *Copy) RecordFailure(now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.outage.recordFailure(c.confirmed, now)
}

// Since returns the entries that changed after a position, in the order of their revisions. It includes deleted keys. It returns
// all entries after a position of another era, and after one since which it may not know all deletions.
func (c *Copy) Since(after kv.Position, now time.Time) Changes {
	c.mu.Lock()
	defer c.mu.Unlock()
	out := Changes{Revision: c.at.Revision, Era: c.at.Era, TentativeFor: max(0, c.outage.tentativeUntil().Sub(now))}
	out.IsFull = after.Era != c.at.Era || after.Revision == 0 || c.at.After(after) && !c.history.covers(after.Revision)
	if out.IsFull {
		out.Spans = slices.Clone(c.history)
	}
	for key, e := range c.entries {
		if !out.IsFull && e.Revision <= after.Revision {
			continue
		}
		if until, isTentative := c.tentativeUntil[key]; isTentative {
			e.TentativeFor = max(0, until.Sub(now))
		}
		if s, isSuperseded := c.superseded[key]; isSuperseded && !s.removedUntil.IsZero() {
			e.InStore, e.ReturnsIn = s.item.Value, max(time.Millisecond, s.removedUntil.Sub(now))
		}
		out.Entries = append(out.Entries, e)
	}
	slices.SortFunc(out.Entries, byRevision)
	return out
}

func byRevision(a, b Entry) int { return cmp.Compare(a.Revision, b.Revision) }

// AdoptFromPeer applies changes fetched from another VM's copy. Those of an earlier era are ignored, and those of a later one
// must be the full copy. Items that a full copy does not contain are treated as deleted.
func (c *Copy) AdoptFromPeer(changes Changes, now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch {
	case changes.Era < c.at.Era:
		return
	case changes.Era > c.at.Era && c.at.Revision > 0:
		c.adoptEra(changes, now)
		return
	}
	doubt := c.outage.doubtFor(c.confirmed, now)
	entries := withinDoubt(changes.Entries, doubt)
	if changes.IsFull {
		missing := c.missingIn(entries, changes.Revision)
		tentativeFor := max(min(changes.TentativeFor, doubt), c.outage.tentativeUntil().Sub(now))
		for _, i := range missing {
			entries = append(entries, Entry{Item: i, TentativeFor: tentativeFor})
		}
		slices.SortStableFunc(entries, byRevision)
		c.history.add(changes.Spans...)
	} else if c.at.Revision > 0 && changes.Revision > c.at.Revision {
		c.history.add(Span{From: c.at.Revision, To: changes.Revision})
	}
	c.applyNewer(entries, now)
	c.advance(changes.position())
}

// withinDoubt returns the entries of another copy with deletions that are tentative for no longer than this VM doubts the store.
func withinDoubt(entries []Entry, doubt time.Duration) []Entry {
	out := slices.Clone(entries)
	for i := range out {
		out[i].TentativeFor = min(out[i].TentativeFor, doubt)
	}
	return out
}

// missingIn returns the items that the copy has and a full copy or a full read at the given revision has not, as deleted at this
// revision. The caller holds c.mu.
func (c *Copy) missingIn(full []Entry, revision uint64) []kv.Item {
	missing := maps.Clone(c.preloaded)
	for key, e := range c.entries {
		missing[key] = e.Item
	}
	clear(c.preloaded)
	for _, e := range full {
		// A deletion that is older than the item was followed by a write and another deletion.
		if !e.Deleted || e.Revision >= missing[e.Key].Revision {
			delete(missing, e.Key)
		}
	}
	var out []kv.Item
	for key, old := range missing {
		// An item that is newer was written after its page was read.
		if !old.Deleted && old.Revision <= revision {
			out = append(out, kv.Item{Key: key, Revision: revision, Deleted: true})
		}
	}
	return out
}

// Adopt applies changes read from the store. Those of another era than that of the copy are ignored, and it returns false.
func (c *Copy) Adopt(changes kv.Changes, now time.Time) (isAdopted bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if changes.Era != c.at.Era {
		return false
	}
	c.outage.recordEnd(c.confirmed, now)
	c.outage.recordConfirmation(c.confirmed, now, now)
	c.applyNewer(c.toEntries(changes.Items, now), now)
	if changes.Revision >= c.at.Revision {
		c.history.add(Span{From: c.at.Revision, To: changes.Revision})
	}
	c.advance(kv.Position{Era: c.at.Era, Revision: changes.Revision})
	c.confirmed = now
	return true
}

// advance records the position up to which the copy is complete. The caller holds c.mu.
func (c *Copy) advance(to kv.Position) {
	if to.After(c.at) {
		c.at = to
	}
}

// Preload applies items read before the first full read. The copy itself stores them only with the full read, which also shows
// those that have been deleted since.
func (c *Copy) Preload(items []kv.Item) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.entries) > 0 || len(items) == 0 {
		return
	}
	for _, i := range items {
		c.preloaded[i.Key] = i
	}
	c.apply(items)
}

// AdoptFull applies the result of a full read of the store whose first page was read at the given position. Known items
// that the read does not contain are treated as deleted. A read of an earlier era is ignored, and it returns false.
func (c *Copy) AdoptFull(read []kv.Item, at kv.Position, now time.Time) (isAdopted bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if at.Era < c.at.Era {
		return false
	}
	c.outage.recordEnd(c.confirmed, now)
	entries := make([]Entry, 0, len(read))
	for _, i := range read {
		entries = append(entries, Entry{Item: i})
	}
	if at.Era > c.at.Era && c.at.Revision > 0 {
		c.outage.endedAt = now
		c.adoptEra(Changes{Entries: entries, Revision: at.Revision, Era: at.Era, TentativeFor: deletionGrace}, now)
		c.confirmed = now
		return true
	}
	changes := append(slices.Clone(read), c.missingIn(entries, at.Revision)...)
	slices.SortStableFunc(changes, func(a, b kv.Item) int { return cmp.Compare(a.Revision, b.Revision) })
	c.applyNewer(c.toEntries(changes, now), now)
	c.advance(at)
	c.confirmed = now
	return true
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
		c.newest = max(c.newest, e.Revision)
		old, known := c.entries[e.Key]
		isNewer := e.Revision > old.Revision || (e.Deleted && !old.Deleted && e.Revision == old.Revision)
		if known && !isNewer {
			continue
		}
		if _, isSuperseded := c.superseded[e.Key]; isSuperseded {
			if !e.Deleted && !old.Deleted && c.owners.IsNewer(old.Item, e.Item) {
				old.Revision = e.Revision
				c.entries[e.Key] = old
				continue
			}
			delete(c.superseded, e.Key)
		}
		// A deleted key keeps its revision, so that an older write of it is not applied as a new one.
		c.entries[e.Key] = e.withLast(old)
		c.holdRemoved(e, now)
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

// ApplyDue applies the tentative deletions whose grace period has passed, and the entries that the store still has though they
// had been deleted in an earlier era.
func (c *Copy) ApplyDue(now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	due := c.dueReturns(now)
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

// withLast returns the entry as a copy keeps it: a deletion with the value that the key had.
func (e Entry) withLast(old Entry) Entry {
	out := Entry{Item: e.Item, Last: e.Last}
	if e.Deleted && len(out.Last) == 0 {
		out.Last = old.Value
		if old.Deleted {
			out.Last = old.Last
		}
	}
	return out
}
