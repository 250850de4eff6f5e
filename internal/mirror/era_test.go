package mirror_test

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/primroseladder/primroseladder/internal/kv"
	"github.com/primroseladder/primroseladder/internal/kv/kvtest"
	"github.com/primroseladder/primroseladder/internal/mirror"
)

// TestRestoredStoreIsFollowed guards against VMs that ignore what a store accepts after it has come back from an older copy of
// itself, since its revisions have gone back, and against states that come back though their owners had left them.
func TestRestoredStoreIsFollowed(t *testing.T) {
	tests := []struct {
		// lost is the number of writes that the restored store lacks, and again the number of writes between its return and
		// the change that has to spread.
		lost, again int
		zones       int
	}{{3, 0, 1}, {3, 0, 3}, {20, 1, 3}, {20, 19, 1}, {20, 20, 3}, {20, 21, 1}, {5, 60, 3}}
	for _, test := range tests {
		t.Run(fmt.Sprintf("%d lost, %d again, %d zones", test.lost, test.again, test.zones), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := qt.New(t)
				ctx, cancel := context.WithCancel(context.Background())
				defer cancel()
				store := kvtest.New()
				store.Put("config", "1")
				store.Put("draining", "1")
				store.Put("removed", "1")
				fleet := &cluster{store: store, zones: test.zones}
				fleet.start(ctx, 12)
				time.Sleep(3 * time.Second)
				backup := store.Backup()
				store.Put("config", "3")
				store.Put("draining", "2")
				store.Delete("removed")
				store.Put("joined", "1")
				for n := range test.lost {
					store.Put(fmt.Sprintf("other-%d", n), "1")
				}
				time.Sleep(propagationLimit)
				setDown := func(isDown bool) {
					for _, v := range fleet.vms {
						v.client.SetDown(isDown)
					}
				}
				setDown(true)
				time.Sleep(2 * time.Second)
				store.Restore(backup)
				setDown(false)
				began := time.Now()
				inForce := func(config string) {
					c.Assert(fleet.withoutValue("config", config), qt.HasLen, 0, qt.Commentf("config after %v", time.Since(began)))
					c.Assert(fleet.withoutValue("draining", "2"), qt.HasLen, 0, qt.Commentf("draining after %v", time.Since(began)))
					c.Assert(fleet.withoutValue("removed", ""), qt.HasLen, 0, qt.Commentf("removed after %v", time.Since(began)))
					c.Assert(fleet.withoutValue("joined", "1"), qt.HasLen, 0, qt.Commentf("joined after %v", time.Since(began)))
				}
				for range 15 {
					time.Sleep(100 * time.Millisecond)
					inForce("3")
				}
				store.Put("config", "3")
				store.Put("draining", "2")
				store.Put("joined", "1")
				store.Delete("removed")
				for n := range test.again {
					store.Put(fmt.Sprintf("again-%d", n), "1")
				}
				store.Put("config", "4")
				time.Sleep(propagationLimit)
				inForce("4")
				time.Sleep(20 * time.Second)
				inForce("4")
				before := store.Calls()
				time.Sleep(10 * time.Second)
				c.Check(store.Calls()-before <= 12, qt.IsTrue, qt.Commentf("%d calls in 10 s", store.Calls()-before))
				cancel()
				time.Sleep(5 * time.Second)
			})
		})
	}
}

// TestCopyOfANewEra checks what becomes of each key when the store comes back from an older copy of itself.
func TestCopyOfANewEra(t *testing.T) {
	start := time.Unix(1000, 0)
	alive := func(value string) []kv.Item { return []kv.Item{written("a", value, 3)} }
	tests := []struct {
		name string
		// earlier is the state of the key in the copy, empty for none, and isRemoved whether it was then removed.
		earlier   string
		isRemoved bool
		// restored is what the store has after its return.
		restored []kv.Item
		// soon and later are the values at once and after 20 s.
		soon, later string
	}{
		{"unchanged", "1", false, alive("1"), "1", "1"},
		{"older in the store", "2", false, alive("1"), "2", "2"},
		{"newer in the store", "1", false, alive("2"), "2", "2"},
		{"missing in the store", "1", false, nil, "1", ""},
		{"new in the store", "", false, alive("1"), "1", "1"},
		{"removed before, still in the store", "1", true, alive("1"), "", "1"},
		{"removed before, written again", "1", true, alive("2"), "2", "2"},
		{"removed before and missing", "1", true, nil, "", ""},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			reader, follower, late := recorder{}, recorder{}, recorder{}
			from, to, behind := mirror.NewCopy(reader.apply, numbered{}), mirror.NewCopy(follower.apply, numbered{}), mirror.NewCopy(late.apply, numbered{})
			for _, c := range []*mirror.Copy{from, to} {
				read := []kv.Item{written("b", "1", 1)}
				if test.earlier != "" {
					read = append(read, written("a", test.earlier, 7))
				}
				c.AdoptFull(read, kv.Position{Era: 1, Revision: 8}, start)
				if test.isRemoved {
					c.Adopt(kv.Changes{Items: []kv.Item{{Key: "a", Revision: 9, Deleted: true}}, Revision: 9, Era: 1}, start)
				}
			}
			from.AdoptFull(append(test.restored, written("b", "1", 1)), kv.Position{Era: 2, Revision: 4}, start)
			now := start.Add(200 * time.Millisecond)
			to.AdoptFromPeer(from.Since(to.Position(), now), now)
			behind.AdoptFromPeer(from.Since(behind.Position(), now), now)
			// A response of the era before arrives late.
			from.AdoptFull([]kv.Item{written("a", "0", 7)}, kv.Position{Era: 1, Revision: 8}, now)
			from.Adopt(kv.Changes{Items: []kv.Item{written("a", "0", 9)}, Revision: 9, Era: 1}, now)
			qt.Check(t, reader["a"], qt.Equals, test.soon)
			qt.Check(t, follower["a"], qt.Equals, test.soon)
			qt.Check(t, to.Position(), qt.Equals, kv.Position{Era: 2, Revision: 4})
			if test.restored != nil || test.soon == "" {
				qt.Check(t, late["a"], qt.Equals, test.soon)
			}
			for _, c := range []*mirror.Copy{from, to} {
				c.ApplyDue(start.Add(20 * time.Second))
			}
			qt.Check(t, reader["a"], qt.Equals, test.later)
			qt.Check(t, follower["a"], qt.Equals, test.later)
			qt.Check(t, reader["b"], qt.Equals, "1")
		})
	}
}
