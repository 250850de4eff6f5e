package mirror_test

import (
	"fmt"
	"maps"
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"github.com/primroseladder/primroseladder/internal/kv"
	"github.com/primroseladder/primroseladder/internal/mirror"
)

// TestRemovalReachesACopyThatMissedIt guards against requests to a backend server that was removed while a VM was frozen and the
// other VMs of its region started anew: they had never seen the entry, and the VM took over their position.
func TestRemovalReachesACopyThatMissedIt(t *testing.T) {
	start := time.Unix(1000, 0)
	entries := []kv.Item{written("a", "1", 2), written("b", "1", 3)}
	tests := []struct {
		name string
		// fetch makes the copy that has missed the removal of "a" at revision 4 fetch from others.
		fetch func(missed *mirror.Copy)
	}{
		{"all others started after it", func(missed *mirror.Copy) {
			missed.AdoptFromPeer(startedAfterRemoval(start).Since(missed.Position(), start), start)
		}},
		{"the other one was started from such a copy", func(missed *mirror.Copy) {
			other := mirror.NewCopy(func([]kv.Item) {}, numbered{})
			other.AdoptFromPeer(startedAfterRemoval(start).Since(kv.Position{}, start), start)
			missed.AdoptFromPeer(other.Since(missed.Position(), start), start)
		}},
		{"the other one had read the store before, but not the entry", func(missed *mirror.Copy) {
			other := mirror.NewCopy(func([]kv.Item) {}, numbered{})
			other.AdoptFull(nil, kv.Position{Revision: 1}, start)
			other.Adopt(kv.Changes{Revision: 1}, start)
			other.AdoptFull([]kv.Item{written("b", "1", 3)}, kv.Position{Revision: 5}, start)
			other.Adopt(kv.Changes{Items: []kv.Item{written("c", "1", 6)}, Revision: 6}, start)
			missed.AdoptFromPeer(other.Since(missed.Position(), start), start)
		}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			seen := recorder{}
			missed := mirror.NewCopy(seen.apply, numbered{})
			missed.AdoptFull(entries, kv.Position{Revision: 3}, start)
			missed.Adopt(kv.Changes{Revision: 3}, start)
			test.fetch(missed)
			qt.Check(t, seen, qt.DeepEquals, recorder{"b": "1", "c": "1"})
			qt.Check(t, missed.Position(), qt.Equals, kv.Position{Revision: 6})
		})
	}
}

// startedAfterRemoval returns the copy of a VM that has read the store at revision 5, after the removal of "a", and has followed it
// to revision 6.
func startedAfterRemoval(now time.Time) *mirror.Copy {
	c := mirror.NewCopy(func([]kv.Item) {}, numbered{})
	c.AdoptFull([]kv.Item{written("b", "1", 3)}, kv.Position{Revision: 5}, now)
	c.Adopt(kv.Changes{Items: []kv.Item{written("c", "1", 6)}, Revision: 6}, now)
	return c
}

// TestFewFullCopiesAfterAStart checks that a copy which has received a full copy serves changes alone to those that were as old as
// it was, so that the start of one VM does not make a whole zone fetch full copies.
func TestFewFullCopiesAfterAStart(t *testing.T) {
	start := time.Unix(1000, 0)
	first := mirror.NewCopy(func([]kv.Item) {}, numbered{})
	first.AdoptFull([]kv.Item{written("a", "1", 2), written("b", "1", 3)}, kv.Position{Revision: 3}, start)
	first.Adopt(kv.Changes{Revision: 3}, start)
	behind := first.Position()
	first.AdoptFromPeer(startedAfterRemoval(start).Since(behind, start), start)
	changes := first.Since(behind, start)
	qt.Check(t, changes.IsFull, qt.IsFalse)
	qt.Check(t, changes.Entries, qt.HasLen, 2)
}

// TestPreloadedItemsAreRemoved guards against registrations that a VM read at its start, seconds old, and kept though the store no
// longer had them.
func TestPreloadedItemsAreRemoved(t *testing.T) {
	start := time.Unix(1000, 0)
	fromStore, fromPeer := recorder{}, recorder{}
	reads, fetches := mirror.NewCopy(fromStore.apply, numbered{}), mirror.NewCopy(fromPeer.apply, numbered{})
	for _, c := range []*mirror.Copy{reads, fetches} {
		c.Preload([]kv.Item{written("a", "1", 2), written("b", "1", 3)})
	}
	reads.AdoptFull([]kv.Item{written("b", "1", 3)}, kv.Position{Revision: 5}, start)
	fetches.AdoptFromPeer(reads.Since(kv.Position{}, start), start)
	qt.Check(t, fromStore, qt.DeepEquals, recorder{"b": "1"})
	qt.Check(t, fromPeer, qt.DeepEquals, recorder{"b": "1"})
}

// modelStore is a store whose history can be discarded.
type modelStore struct {
	items     map[string]kv.Item
	events    []kv.Item
	revision  uint64
	discarded uint64
}

func (s *modelStore) put(key string) {
	s.revision++
	s.items[key] = written(key, fmt.Sprint(s.revision), s.revision)
	s.events = append(s.events, s.items[key])
}

func (s *modelStore) remove(key string) {
	if _, found := s.items[key]; !found {
		return
	}
	s.revision++
	delete(s.items, key)
	s.events = append(s.events, kv.Item{Key: key, Revision: s.revision, Deleted: true})
}

// follow makes a copy read what is new, with a full read if the history that it needs is discarded. between runs between the two
// pages of a full read.
func (s *modelStore) follow(c *mirror.Copy, between func()) {
	if at := c.Position().Revision; at > 0 && at >= s.discarded {
		first := slices.IndexFunc(s.events, func(i kv.Item) bool { return i.Revision > at })
		if first < 0 {
			first = len(s.events)
		}
		c.Adopt(kv.Changes{Items: slices.Clone(s.events[first:]), Revision: s.revision}, time.Unix(1, 0))
		return
	}
	at := kv.Position{Revision: s.revision}
	read := s.page("a", "c")
	between()
	c.AdoptFull(append(read, s.page("c", "f")...), at, time.Unix(1, 0))
}

// page returns the items from one key up to another.
func (s *modelStore) page(from, to string) (out []kv.Item) {
	for _, key := range slices.Sorted(maps.Keys(s.items)) {
		if from <= key && key < to {
			out = append(out, s.items[key])
		}
	}
	return out
}

// TestCopiesHaveTheItemsOfTheStore checks that every copy ends with just the items of the store, however its VM and the others have
// started, been cut off, followed the store, which discards its history, or fetched from each other.
func TestCopiesHaveTheItemsOfTheStore(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		store := &modelStore{items: map[string]kv.Item{}, revision: 1}
		const vms = 3
		copies, seen := make([]*mirror.Copy, vms), make([]recorder, vms)
		restart := func(n int) {
			seen[n] = recorder{}
			copies[n] = mirror.NewCopy(seen[n].apply, numbered{})
		}
		for n := range vms {
			restart(n)
		}
		drawVM := func() int { return rapid.IntRange(0, vms-1).Draw(rt, "vm") }
		change := func() {
			key := rapid.SampledFrom([]string{"a", "b", "c", "d"}).Draw(rt, "key")
			if rapid.Bool().Draw(rt, "removed") {
				store.remove(key)
			} else {
				store.put(key)
			}
		}
		fetch := func(to, from int) {
			if at := copies[to].Position(); copies[from].Position().After(at) {
				copies[to].AdoptFromPeer(copies[from].Since(copies[to].FetchPosition(), time.Unix(1, 0)), time.Unix(1, 0))
			}
		}
		for range rapid.IntRange(0, 40).Draw(rt, "steps") {
			switch rapid.IntRange(0, 5).Draw(rt, "step") {
			case 0, 1:
				change()
			case 2:
				store.follow(copies[drawVM()], change)
			case 3:
				fetch(drawVM(), drawVM())
			case 4:
				restart(drawVM())
			case 5:
				store.discarded = store.revision
			}
		}
		last := drawVM()
		for range 2 {
			store.follow(copies[last], func() {})
		}
		want := recorder{}
		for key, i := range store.items {
			want[key] = string(i.Value)
		}
		for n := range vms {
			fetch(n, last)
			if !maps.Equal(seen[n], want) {
				rt.Fatalf("copy %d at %v has %v, the store %v", n, copies[n].Position(), seen[n], want)
			}
		}
	})
}
