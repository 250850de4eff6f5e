package mirror_test

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"github.com/primroseladder/primroseladder/internal/kv"
	"github.com/primroseladder/primroseladder/internal/mirror"
)

// recorder records the state that a copy applies.
type recorder map[string]string

func (r recorder) apply(items []kv.Item) {
	for _, i := range items {
		if i.Deleted {
			delete(r, i.Key)
		} else {
			r[i.Key] = string(i.Value)
		}
	}
}

// numbered is a mirror.Owners whose owners write ascending numbers of one digit.
type numbered struct{}

func (numbered) IsNewer(a, b kv.Item) bool { return string(a.Value) > string(b.Value) }

func written(key, value string, revision uint64) kv.Item {
	return kv.Item{Key: key, Value: []byte(value), Revision: revision}
}

// longOutage is an outage in which the store may drop the keys of live owners.
const longOutage = 5 * time.Second

// TestDeletionAroundOutageIsTentative checks that a deletion read right after an outage of the store is applied only after
// a grace time: the store drops entries whose owners could not renew them while it was down.
func TestDeletionAroundOutageIsTentative(t *testing.T) {
	start := time.Unix(1000, 0)
	tests := []struct {
		name string
		// then is what happens after the deletion was read at start.
		then   func(c *mirror.Copy)
		at     time.Duration
		exists bool
	}{
		{"within the grace time", func(*mirror.Copy) {}, 2 * time.Second, true},
		{"written again", func(c *mirror.Copy) {
			c.Adopt(kv.Changes{Items: []kv.Item{written("a", "1", 9)}, Revision: 9}, start.Add(time.Second))
		}, 5 * time.Second, true},
		{"still missing after it", func(*mirror.Copy) {}, 3 * time.Second, false},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			seen := recorder{}
			c := mirror.NewCopy(seen.apply, numbered{})
			c.AdoptFull([]kv.Item{written("a", "1", 2)}, kv.Position{Revision: 2}, start.Add(-longOutage))
			c.RecordFailure(start)
			c.AdoptFull(nil, kv.Position{Revision: 5}, start)
			test.then(c)
			c.ApplyDue(start.Add(test.at))
			_, exists := seen["a"]
			qt.Check(t, exists, qt.Equals, test.exists)
		})
	}
}

// TestTentativeDeletionPropagates checks that a deletion stays tentative when another VM fetches it.
func TestTentativeDeletionPropagates(t *testing.T) {
	start := time.Unix(1000, 0)
	reader, follower := recorder{}, recorder{}
	from, to := mirror.NewCopy(reader.apply, numbered{}), mirror.NewCopy(follower.apply, numbered{})
	from.AdoptFull([]kv.Item{written("a", "1", 2)}, kv.Position{Revision: 2}, start.Add(-longOutage))
	to.AdoptFromPeer(from.Since(kv.Position{Revision: 0}, start), start)
	from.RecordFailure(start)
	from.AdoptFull(nil, kv.Position{Revision: 5}, start)
	to.AdoptFromPeer(from.Since(to.Position(), start), start)
	qt.Check(t, follower["a"], qt.Equals, "1")
	to.ApplyDue(start.Add(time.Minute))
	qt.Check(t, follower["a"], qt.Equals, "")
}

// TestDoubtOfAVMThatWasCutOffStaysThere guards against requests to backend servers that are gone (DRAIN): a VM that returns from a cut
// takes its own silence for an outage of the store, and passes deletions on as tentative to VMs that have followed the store all the
// time. They must apply them at once, also while they fetch everything, and hold them back if the store was silent for them too.
func TestDoubtOfAVMThatWasCutOffStaysThere(t *testing.T) {
	start := time.Unix(1000, 0)
	for _, test := range []struct {
		name string
		// confirmed is when the copy of the follower was last confirmed before the deletion reaches it, which ends the outage.
		confirmed time.Time
		isHeld    bool
	}{
		{"followed the store all the time", start.Add(-300 * time.Millisecond), false},
		{"nobody could read the store", start.Add(-longOutage), true},
	} {
		for _, isFull := range []bool{false, true} {
			t.Run(fmt.Sprintf("%s, full %t", test.name, isFull), func(t *testing.T) {
				follower := recorder{}
				from, to := mirror.NewCopy(recorder{}.apply, numbered{}), mirror.NewCopy(follower.apply, numbered{})
				for _, c := range []*mirror.Copy{from, to} {
					c.AdoptFull([]kv.Item{written("a", "1", 2)}, kv.Position{Revision: 2}, start.Add(-longOutage))
				}
				for at := start.Add(-longOutage); !at.After(test.confirmed); at = at.Add(time.Second) {
					to.Confirm(at)
				}
				to.Confirm(test.confirmed)
				from.RecordFailure(start)
				from.Adopt(kv.Changes{Items: []kv.Item{{Key: "a", Revision: 5, Deleted: true}}, Revision: 5}, start)
				after := kv.Position{Revision: 2}
				if isFull {
					after.Revision = 0
				}
				to.AdoptFromPeer(from.Since(after, start), start)
				_, exists := follower["a"]
				qt.Check(t, exists, qt.Equals, test.isHeld)
			})
		}
	}
}

// TestDeletionBecomesCertainInTime guards against requests to backend servers that are gone, for seconds after their entries
// were removed: because of a single failed call, since a deletion was read late after an outage, or since it was passed on.
func TestDeletionBecomesCertainInTime(t *testing.T) {
	const after = deletionGraceForTest
	start := time.Unix(1000, 0)
	tests := []struct {
		name string
		// outage is the length of the outage that ends at start, and readAt when the deletion is read after it.
		outage, readAt time.Duration
		gone           time.Duration
	}{
		{"one failed call", 1500 * time.Millisecond, 100 * time.Millisecond, 100 * time.Millisecond},
		{"read late", longOutage, 2500 * time.Millisecond, after},
		{"read after the grace time", longOutage, after, after},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			reader, follower := recorder{}, recorder{}
			from, to := mirror.NewCopy(reader.apply, numbered{}), mirror.NewCopy(follower.apply, numbered{})
			from.AdoptFull([]kv.Item{written("a", "1", 2)}, kv.Position{Revision: 2}, start.Add(-test.outage))
			to.AdoptFromPeer(from.Since(kv.Position{Revision: 0}, start), start)
			from.RecordFailure(start)
			from.Adopt(kv.Changes{Revision: 3}, start)
			readAt := start.Add(test.readAt)
			from.Adopt(kv.Changes{Items: []kv.Item{{Key: "a", Revision: 5, Deleted: true}}, Revision: 5}, readAt)
			passedOnAt := readAt.Add(50 * time.Millisecond)
			to.AdoptFromPeer(from.Since(kv.Position{Revision: 3}, passedOnAt), passedOnAt)
			for _, c := range []*mirror.Copy{from, to} {
				c.ApplyDue(start.Add(test.gone))
			}
			qt.Check(t, reader, qt.HasLen, 0)
			qt.Check(t, follower, qt.HasLen, 0)
		})
	}
}

// deletionGraceForTest is the time after an outage at which all deletions are certain: the users' 2 s and a repeated call.
const deletionGraceForTest = 2700 * time.Millisecond

// TestCopyConvergesOnNewestRevision checks that each key ends in its newest state, whatever mixture of old and new
// views the copy adopts.
func TestCopyConvergesOnNewestRevision(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		history := []kv.Item{}
		for revision := uint64(2); revision < 30; revision++ {
			i := written(rapid.SampledFrom([]string{"a", "b", "c"}).Draw(rt, "key"), "", revision)
			i.Value = []byte{byte(revision)}
			if rapid.Bool().Draw(rt, "deleted") {
				i.Value, i.Deleted = nil, true
			}
			history = append(history, i)
		}
		want := recorder{}
		want.apply(history)
		seen := recorder{}
		c := mirror.NewCopy(seen.apply, numbered{})
		for range rapid.IntRange(0, 10).Draw(rt, "views") {
			from := rapid.IntRange(0, len(history)-1).Draw(rt, "from")
			to := rapid.IntRange(from, len(history)-1).Draw(rt, "to")
			c.Adopt(kv.Changes{Items: history[from:to], Revision: history[to].Revision - 1}, time.Unix(1, 0))
		}
		c.Adopt(kv.Changes{Items: history, Revision: 29}, time.Unix(1, 0))
		if len(seen) != len(want) {
			rt.Fatalf("copy has %v, want %v", seen, want)
		}
		for key, value := range want {
			if seen[key] != value {
				rt.Fatalf("key %s is %v, want %v", key, seen[key], value)
			}
		}
	})
}
