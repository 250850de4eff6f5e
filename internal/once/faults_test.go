package once_test

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
)

const manyKeys = 60

// sendMany sends each of manyKeys keys once through one VM and waits until all sends have ended.
func (c *cluster) sendMany(via string, isNumbered bool) {
	for i := range manyKeys {
		c.send(fmt.Sprintf("key-%d", i), via, isNumbered, false, false)
		synctest.Wait()
	}
	c.advance(sendTimeout + time.Second)
}

// runs returns the number of runs of all keys.
func (c *cluster) runs() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	total := 0
	for _, k := range c.keys {
		total += len(k.runs)
	}
	return total
}

// lose kills the process of a VM and removes the VM from the list.
func (c *cluster) lose(name string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	m := model{cluster: c}
	m.kill(c.nodes[name])
	delete(c.nodes, name)
	c.remove(name)
	c.syncAll()
}

// join adds a VM to the list, starts its process and applies the list to all nodes.
func (c *cluster) join(name, region string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.add(name, region)
	c.syncAll()
}

// settle waits until every listed VM can be authoritative for the keys of which it is the home.
func (c *cluster) settle() { c.advance(window + staleAfter + 2*syncPeriod) }

// TestAtMostOnceUnderFaults guards against second runs of a key. There is a case for each way to a second run: without the
// mechanism that prevents it, the events of the case would make a key run twice.
func TestAtMostOnceUnderFaults(t *testing.T) {
	const numberedSends, unnumberedSends = true, false
	for _, test := range []struct {
		name string
		run  func(c *cluster)
		// least and most bound the number of runs after all events.
		least, most int
	}{
		{"no faults, unnumbered", func(c *cluster) {
			c.sendMany("perth-0", unnumberedSends)
			c.sendMany("goldfields-1", unnumberedSends)
		}, manyKeys, manyKeys},
		{"a new VM becomes home", func(c *cluster) {
			c.sendMany("perth-0", unnumberedSends)
			c.join("perth-new", "perth")
			c.sendMany("perth-1", unnumberedSends)
		}, manyKeys, manyKeys},
		{"a home is lost", func(c *cluster) {
			c.sendMany("perth-0", unnumberedSends)
			c.lose("perth-1")
			c.sendMany("perth-2", unnumberedSends)
		}, manyKeys, manyKeys},
		{"a home restarts in place", func(c *cluster) {
			c.sendMany("perth-0", unnumberedSends)
			c.mu.Lock()
			(&model{cluster: c}).kill(c.nodes["perth-1"])
			c.start(c.nodes["perth-1"].vm)
			c.syncAll()
			c.mu.Unlock()
			c.sendMany("perth-2", unnumberedSends)
		}, manyKeys, manyKeys},
		{"a VM with a stale list", func(c *cluster) {
			c.mu.Lock()
			c.nodes["perth-1"].isListCut = true
			c.remove("perth-1")
			c.mu.Unlock()
			c.settle()
			c.sendMany("perth-0", unnumberedSends)
			c.sendMany("perth-1", unnumberedSends)
		}, manyKeys, manyKeys},
		{"a VM with a stale list that reaches no other", func(c *cluster) {
			c.mu.Lock()
			c.nodes["perth-1"].isListCut = true
			c.nodes["perth-1"].isIsolated = true
			c.remove("perth-1")
			c.mu.Unlock()
			c.settle()
			c.sendMany("perth-0", unnumberedSends)
			c.sendMany("perth-1", unnumberedSends)
		}, manyKeys, manyKeys},
		{"a VM that was off the list for a while without noticing", func(c *cluster) {
			vm := c.nodes["perth-1"].vm
			c.mu.Lock()
			c.nodes["perth-1"].isListCut = true
			c.remove("perth-1")
			c.mu.Unlock()
			c.settle()
			c.sendMany("perth-0", unnumberedSends)
			c.mu.Lock()
			c.list = append(c.list, vm)
			c.index++
			c.nodes["perth-1"].isListCut = false
			c.syncAll()
			c.mu.Unlock()
			c.sendMany("perth-2", unnumberedSends)
		}, manyKeys, manyKeys},
		{"a hand-over that is lost", func(c *cluster) {
			c.sendMany("perth-0", unnumberedSends)
			for range 400 {
				c.messageFaults = append(c.messageFaults, messageRequestLost)
			}
			(&model{cluster: c}).stop(c.nodes["perth-1"])
			c.messageFaults = nil
			c.sendMany("perth-2", unnumberedSends)
		}, manyKeys, manyKeys},
		{"sends that waited in a paused VM", func(c *cluster) {
			c.nodes["perth-0"].isListCut = true
			c.advance(staleAfter + syncPeriod)
			c.sendMany("perth-0", unnumberedSends)
		}, 0, 0},
		{"a refused second send while the first is frozen", func(c *cluster) {
			c.mu.Lock()
			c.nodes["perth-0"].frozen = make(chan struct{})
			c.mu.Unlock()
			c.send("key", "perth-0", unnumberedSends, false, false)
			synctest.Wait()
			c.workFaults = []int{workRefused}
			c.send("key", "perth-1", unnumberedSends, false, false)
			synctest.Wait()
			c.mu.Lock()
			c.thaw(c.nodes["perth-0"])
			c.mu.Unlock()
			c.advance(time.Second)
		}, 0, 1},
		{"a copy of a refused send after the home is lost", func(c *cluster) {
			for range manyKeys {
				c.workFaults = append(c.workFaults, workRefused)
			}
			c.sendMany("perth-0", unnumberedSends)
			c.sendMany("perth-1", unnumberedSends)
			c.lose("goldfields-0")
			c.sendMany("perth-0", unnumberedSends)
		}, manyKeys, manyKeys},
		{"a stale home with refused sends", func(c *cluster) {
			for range manyKeys {
				c.workFaults = append(c.workFaults, workRefused)
			}
			c.sendMany("perth-1", unnumberedSends)
			c.mu.Lock()
			c.nodes["perth-1"].isListCut = true
			c.remove("perth-1")
			c.mu.Unlock()
			c.sendMany("perth-0", unnumberedSends)
			c.advance(staleAfter + time.Second)
			c.sendMany("perth-1", unnumberedSends)
		}, 1, manyKeys},
		{"a planned stop", func(c *cluster) {
			c.sendMany("perth-0", unnumberedSends)
			(&model{cluster: c}).stop(c.nodes["perth-1"])
			c.sendMany("perth-2", unnumberedSends)
		}, manyKeys, manyKeys},
		{"new keys after a planned stop", func(c *cluster) {
			(&model{cluster: c}).stop(c.nodes["perth-1"])
			c.sendMany("perth-2", unnumberedSends)
		}, manyKeys, manyKeys},
		{"new keys after a loss", func(c *cluster) {
			c.lose("perth-1")
			c.sendMany("perth-2", unnumberedSends)
		}, manyKeys / 2, manyKeys - 1},
		{"a dispatcher frozen past the deadline", func(c *cluster) {
			c.mu.Lock()
			c.nodes["perth-0"].frozen = make(chan struct{})
			c.mu.Unlock()
			c.sendMany("perth-0", numberedSends)
			c.sendMany("perth-1", numberedSends)
			c.mu.Lock()
			c.thaw(c.nodes["perth-0"])
			c.mu.Unlock()
			c.advance(time.Second)
		}, 0, 0},
		{"a re-send through the other region after the home was lost", func(c *cluster) {
			c.sendMany("perth-0", numberedSends)
			c.lose("perth-1")
			c.sendMany("goldfields-0", numberedSends)
		}, manyKeys, manyKeys},
	} {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := newCluster([]string{"perth", "goldfields"}, 3)
				c.settle()
				test.run(c)
				qt.Check(t, c.checkInvariants(), qt.IsNil)
				runs := c.runs()
				qt.Check(t, runs >= test.least && runs <= test.most, qt.IsTrue, qt.Commentf("%d runs", runs))
				t.Logf("%d sends, %d runs, %d answered unknown", c.sends, runs, c.unknown)
				c.drain()
			})
		})
	}
}

// TestAnswersAfterPlannedStop guards against losing answers in a planned stop: after three of four VMs have handed over their
// records, the last one must have the answer of every key.
func TestAnswersAfterPlannedStop(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster([]string{"perth"}, 4)
		c.settle()
		c.sendMany("perth-0", true)
		for _, name := range []string{"perth-0", "perth-1", "perth-2"} {
			(&model{cluster: c}).stop(c.nodes[name])
		}
		c.sendMany("perth-3", true)
		qt.Check(t, c.checkInvariants(), qt.IsNil)
		qt.Check(t, c.unknown, qt.Equals, 0)
		_, err := c.nodes["perth-3"].guard.HandOver(context.Background(), c.nodes["perth-3"])
		qt.Check(t, err, qt.IsNil)
		c.drain()
	})
}
