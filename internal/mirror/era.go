package mirror

import (
	"cmp"
	"slices"
	"time"

	"github.com/primroseladder/primroseladder/internal/kv"
)

// removalHold is how long after the beginning of an era a key that was removed in the era before stays removed though the store
// has it. The store drops the key within this time unless its owner is alive.
const removalHold = 10 * time.Second

// supersededState is the state of a key in a restored store that is older than that in the copy.
type supersededState struct {
	item kv.Item
	// removedUntil is how long the key counts as removed; zero if it was not removed.
	removedUntil time.Time
}

// adoptEra replaces the copy by one of a later era. An owner's state that the restored store lacks is kept until the owner has
// written it again, at the latest until the deletions of the outage become certain. The caller holds c.mu.
func (c *Copy) adoptEra(later Changes, now time.Time) {
	earlier := c.entries
	c.entries, c.at = make(map[string]Entry, len(later.Entries)), later.position()
	c.history, c.newest = slices.Clone(later.Spans), c.at.Revision
	clear(c.superseded)
	inStore := make(map[string]kv.Item, len(later.Entries))
	var changed []kv.Item
	for _, e := range later.Entries {
		c.newest = max(c.newest, e.Revision)
		if !e.Deleted {
			inStore[e.Key] = e.Item
		}
		old, known := earlier[e.Key]
		delete(earlier, e.Key)
		if known && c.keepsEarlier(old, e, now) {
			continue
		}
		c.entries[e.Key] = e.withLast(old)
		c.holdRemoved(e, now)
		_, wasTentative := c.tentativeUntil[e.Key]
		delete(c.tentativeUntil, e.Key)
		switch {
		case e.Deleted && e.TentativeFor > 0 && known && (!old.Deleted || wasTentative):
			c.tentativeUntil[e.Key] = now.Add(e.TentativeFor)
		case e.Deleted && wasTentative, e.Deleted != old.Deleted, !known, !slices.Equal(e.Value, old.Value):
			changed = append(changed, e.Item)
		}
	}
	for key, old := range earlier {
		if old.Deleted {
			old.Revision = c.at.Revision
			c.entries[key] = old
			continue
		}
		removed := Entry{Item: kv.Item{Key: key, Revision: c.at.Revision, Deleted: true}}.withLast(old)
		c.entries[key] = removed
		if later.TentativeFor > 0 {
			c.tentativeUntil[key] = now.Add(later.TentativeFor)
		} else {
			changed = append(changed, removed.Item)
		}
	}
	slices.SortStableFunc(changed, func(a, b kv.Item) int { return cmp.Compare(a.Revision, b.Revision) })
	if len(changed) > 0 {
		c.apply(changed)
	}
	if c.onNewEra != nil {
		c.onNewEra(c.at.Era, inStore)
	}
}

// keepsEarlier reports whether a key keeps its state from an earlier era, since the owner wrote the state in the restored store
// before it. The caller holds c.mu.
func (c *Copy) keepsEarlier(old, restored Entry, now time.Time) bool {
	if restored.Deleted {
		return false
	}
	last := old.Item
	if old.Deleted {
		last.Value = old.Last
	}
	_, isTentative := c.tentativeUntil[old.Key]
	isRemoved := old.Deleted && !isTentative
	switch {
	case isRemoved && !c.owners.IsNewer(restored.Item, last):
		c.superseded[old.Key] = supersededState{item: restored.Item, removedUntil: now.Add(removalHold)}
	case !old.Deleted && c.owners.IsNewer(last, restored.Item):
		c.superseded[old.Key] = supersededState{item: restored.Item}
	default:
		return false
	}
	old.Revision = c.at.Revision
	c.entries[old.Key] = old
	return true
}

// holdRemoved records the state in the store of a key that another VM holds as removed. The caller holds c.mu.
func (c *Copy) holdRemoved(e Entry, now time.Time) {
	if e.Deleted && e.ReturnsIn > 0 {
		item := kv.Item{Key: e.Key, Value: e.InStore, Revision: e.Revision}
		c.superseded[e.Key] = supersededState{item: item, removedUntil: now.Add(e.ReturnsIn)}
	}
}

// dueReturns puts back the removed keys that the store still has at the end of removalHold, and returns their items. The caller
// holds c.mu.
func (c *Copy) dueReturns(now time.Time) []kv.Item {
	var due []kv.Item
	for key, s := range c.superseded {
		if s.removedUntil.IsZero() || now.Before(s.removedUntil) {
			continue
		}
		delete(c.superseded, key)
		s.item.Revision = c.entries[key].Revision
		c.entries[key] = Entry{Item: s.item}
		due = append(due, s.item)
	}
	return due
}
