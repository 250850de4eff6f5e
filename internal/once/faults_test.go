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

// sendMany sends each key once through one VM and waits for all.
func (w *world) sendMany(via string, isNumbered bool) {
	for i := range manyKeys {
		w.send(fmt.Sprintf("key-%d", i), via, isNumbered, false, false)
		synctest.Wait()
	}
	w.advance(sendTimeout + time.Second)
}

// runs returns how many keys ran.
func (w *world) runs() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	total := 0
	for _, k := range w.keys {
		total += len(k.runs)
	}
	return total
}

func (w *world) lose(name string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	m := model{w: w}
	m.kill(w.nodes[name])
	delete(w.nodes, name)
	w.remove(name)
	w.syncAll()
}

func (w *world) join(name, region string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.add(name, region)
	w.syncAll()
}

// settle lets every VM of the list become one that may vouch.
func (w *world) settle() { w.advance(window + staleAfter + 2*syncPeriod) }

// TestHoles has for each way to a second run a case that leads there without its mechanism.
func TestHoles(t *testing.T) {
	const numbers, noNumbers = true, false
	for _, test := range []struct {
		name string
		play func(w *world)
		// first and all bound the runs after all events.
		least, most int
	}{
		{"no faults, unnumbered", func(w *world) {
			w.sendMany("perth-0", noNumbers)
			w.sendMany("goldfields-1", noNumbers)
		}, manyKeys, manyKeys},
		{"a new VM becomes home", func(w *world) {
			w.sendMany("perth-0", noNumbers)
			w.join("perth-new", "perth")
			w.sendMany("perth-1", noNumbers)
		}, manyKeys, manyKeys},
		{"a home is lost", func(w *world) {
			w.sendMany("perth-0", noNumbers)
			w.lose("perth-1")
			w.sendMany("perth-2", noNumbers)
		}, manyKeys, manyKeys},
		{"a home restarts in place", func(w *world) {
			w.sendMany("perth-0", noNumbers)
			w.mu.Lock()
			(&model{w: w}).kill(w.nodes["perth-1"])
			w.start(w.nodes["perth-1"].vm)
			w.syncAll()
			w.mu.Unlock()
			w.sendMany("perth-2", noNumbers)
		}, manyKeys, manyKeys},
		{"a VM with a stale list", func(w *world) {
			w.mu.Lock()
			w.nodes["perth-1"].isCut = true
			w.remove("perth-1")
			w.mu.Unlock()
			w.settle()
			w.sendMany("perth-0", noNumbers)
			w.sendMany("perth-1", noNumbers)
		}, manyKeys, manyKeys},
		{"a VM with a stale list that reaches no other", func(w *world) {
			w.mu.Lock()
			w.nodes["perth-1"].isCut = true
			w.nodes["perth-1"].isAlone = true
			w.remove("perth-1")
			w.mu.Unlock()
			w.settle()
			w.sendMany("perth-0", noNumbers)
			w.sendMany("perth-1", noNumbers)
		}, manyKeys, manyKeys},
		{"a VM that left the list for a while without knowing", func(w *world) {
			vm := w.nodes["perth-1"].vm
			w.mu.Lock()
			w.nodes["perth-1"].isCut = true
			w.remove("perth-1")
			w.mu.Unlock()
			w.settle()
			w.sendMany("perth-0", noNumbers)
			w.mu.Lock()
			w.list = append(w.list, vm)
			w.index++
			w.nodes["perth-1"].isCut = false
			w.syncAll()
			w.mu.Unlock()
			w.sendMany("perth-2", noNumbers)
		}, manyKeys, manyKeys},
		{"a hand-over that is lost", func(w *world) {
			w.sendMany("perth-0", noNumbers)
			for range 400 {
				w.messageFates = append(w.messageFates, 1)
			}
			(&model{w: w}).stop(w.nodes["perth-1"])
			w.messageFates = nil
			w.sendMany("perth-2", noNumbers)
		}, manyKeys, manyKeys},
		{"sends that waited in a paused VM", func(w *world) {
			w.nodes["perth-0"].isCut = true
			w.advance(staleAfter + syncPeriod)
			w.sendMany("perth-0", noNumbers)
		}, 0, 0},
		{"a refused second send while the first is frozen", func(w *world) {
			w.mu.Lock()
			w.nodes["perth-0"].frozen = make(chan struct{})
			w.mu.Unlock()
			w.send("key", "perth-0", noNumbers, false, false)
			synctest.Wait()
			w.workFates = []int{1}
			w.send("key", "perth-1", noNumbers, false, false)
			synctest.Wait()
			w.mu.Lock()
			w.thaw(w.nodes["perth-0"])
			w.mu.Unlock()
			w.advance(time.Second)
		}, 0, 1},
		{"a copy of a refused send where the home is lost", func(w *world) {
			for range manyKeys {
				w.workFates = append(w.workFates, 1)
			}
			w.sendMany("perth-0", noNumbers)
			w.sendMany("perth-1", noNumbers)
			w.lose("goldfields-0")
			w.sendMany("perth-0", noNumbers)
		}, manyKeys, manyKeys},
		{"a stale home with refused sends", func(w *world) {
			for range manyKeys {
				w.workFates = append(w.workFates, 1)
			}
			w.sendMany("perth-1", noNumbers)
			w.mu.Lock()
			w.nodes["perth-1"].isCut = true
			w.remove("perth-1")
			w.mu.Unlock()
			w.sendMany("perth-0", noNumbers)
			w.advance(staleAfter + time.Second)
			w.sendMany("perth-1", noNumbers)
		}, 1, manyKeys},
		{"a planned stop", func(w *world) {
			w.sendMany("perth-0", noNumbers)
			(&model{w: w}).stop(w.nodes["perth-1"])
			w.sendMany("perth-2", noNumbers)
		}, manyKeys, manyKeys},
		{"new keys after a planned stop", func(w *world) {
			(&model{w: w}).stop(w.nodes["perth-1"])
			w.sendMany("perth-2", noNumbers)
		}, manyKeys, manyKeys},
		{"new keys after a loss", func(w *world) {
			w.lose("perth-1")
			w.sendMany("perth-2", noNumbers)
		}, manyKeys / 2, manyKeys - 1},
		{"a dispatcher frozen past the deadline", func(w *world) {
			w.mu.Lock()
			w.nodes["perth-0"].frozen = make(chan struct{})
			w.mu.Unlock()
			w.sendMany("perth-0", numbers)
			w.sendMany("perth-1", numbers)
			w.mu.Lock()
			w.thaw(w.nodes["perth-0"])
			w.mu.Unlock()
			w.advance(time.Second)
		}, 0, 0},
		{"a re-send through the other region after the home was lost", func(w *world) {
			w.sendMany("perth-0", numbers)
			w.lose("perth-1")
			w.sendMany("goldfields-0", numbers)
		}, manyKeys, manyKeys},
	} {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				w := newWorld([]string{"perth", "goldfields"}, 3)
				w.settle()
				test.play(w)
				qt.Check(t, w.check(), qt.IsNil)
				runs := w.runs()
				qt.Check(t, runs >= test.least && runs <= test.most, qt.IsTrue, qt.Commentf("%d runs", runs))
				t.Logf("%d sends, %d runs, %d told unknown", w.sends, runs, w.unknown)
				w.end()
			})
		})
	}
}

// TestResultsAfterAPlannedStop looks for the answers that a stopped VM remembered.
func TestResultsAfterAPlannedStop(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld([]string{"perth"}, 4)
		w.settle()
		w.sendMany("perth-0", true)
		for _, name := range []string{"perth-0", "perth-1", "perth-2"} {
			(&model{w: w}).stop(w.nodes[name])
		}
		w.sendMany("perth-3", true)
		qt.Check(t, w.check(), qt.IsNil)
		qt.Check(t, w.unknown, qt.Equals, 0)
		_, err := w.nodes["perth-3"].guard.HandOver(context.Background(), w.nodes["perth-3"])
		qt.Check(t, err, qt.IsNil)
		w.end()
	})
}
