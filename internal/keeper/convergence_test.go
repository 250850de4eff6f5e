package keeper

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"github.com/primroseladder/primroseladder/internal/catalogue"
	"github.com/primroseladder/primroseladder/internal/periodic"
	"github.com/primroseladder/primroseladder/internal/standin/memstore"
	"github.com/primroseladder/primroseladder/internal/store"
)

const (
	// inForceLimit is the time within which an accepted change is in force on every reachable VM.
	inForceLimit = 6 * time.Second
	// healLimit is the time within which keepers agree after all faults have ended.
	healLimit = 25 * time.Second
	auditStep = 20 * time.Millisecond
	// storeCallLimit is in calls per second: a tenth of the 300 writes per second that the store accepts. It bounds
	// all calls.
	storeCallLimit = 30
	// operators is how many operators write concurrently.
	operators = 2
)

// faultKind is the kind of a random step.
type faultKind string

const (
	faultStoreDown    faultKind = "store down"
	faultStoreLossy   faultKind = "store drops answers and delays writes"
	faultStoreLag     faultKind = "store returns stale states"
	faultStoreHealthy faultKind = "store healthy"
	faultBackup       faultKind = "backup"
	faultRestore      faultKind = "restore"
	faultCut          faultKind = "cut one way"
	faultCutStore     faultKind = "cut one keeper from the store"
	faultHealLinks    faultKind = "heal links"
	faultRestart      faultKind = "restart"
	faultStop         faultKind = "stop"
)

type step struct {
	Kind faultKind
	VM   int
	To   int
	// Pause is the time before the step.
	Pause time.Duration
}

func drawSteps(rt *rapid.T, size int) []step {
	kinds := []faultKind{
		faultStoreDown, faultStoreLossy, faultStoreLag, faultStoreHealthy, faultBackup, faultRestore, faultCut, faultCut,
		faultCut, faultCutStore, faultHealLinks, faultRestart, faultRestart, faultStop,
	}
	return rapid.SliceOfN(rapid.Custom(func(rt *rapid.T) step {
		return step{
			Kind: rapid.SampledFrom(kinds).Draw(rt, "kind"), VM: rapid.IntRange(0, size-1).Draw(rt, "vm"),
			To:    rapid.IntRange(0, size-1).Draw(rt, "to"),
			Pause: time.Duration(rapid.IntRange(0, 3000).Draw(rt, "pause ms")) * time.Millisecond,
		}
	}), 1, 14).Draw(rt, "steps")
}

// harness applies random steps while two operators write, and audits the keepers throughout.
type harness struct {
	*cluster
	// writers has one slot per operator. Unlike a mutex, a channel lets synctest's fake time advance while an operator
	// waits.
	writers  chan struct{}
	accepted []string
	mu       sync.Mutex
	failure  error
}

func (h *harness) apply(s step) {
	from, to := h.view.Entries[s.VM], h.view.Entries[s.To]
	switch s.Kind {
	case faultStoreDown:
		h.kv.SetFault(memstore.Fault{Down: true})
	case faultStoreLossy:
		h.kv.SetFault(memstore.Fault{LostResponsePercent: 30, LateWritePercent: 30, MaxLateness: 3 * time.Second})
	case faultStoreLag:
		h.kv.SetFault(memstore.Fault{Lag: 2 * time.Second})
	case faultStoreHealthy:
		h.kv.SetFault(memstore.Fault{})
	case faultBackup:
		h.kv.Backup()
	case faultRestore:
		h.restore()
	case faultCut:
		h.setCut(from.Name, to.Name, true)
	case faultCutStore:
		h.cutStore(from.Name)
	case faultHealLinks:
		h.cluster.mu.Lock()
		h.cut = map[link]bool{}
		h.storeCut = map[string]bool{}
		h.cluster.mu.Unlock()
	case faultRestart:
		h.stop(from.Name)
		h.start(from)
	case faultStop:
		h.stop(from.Name)
	}
}

// restore restores the backup of the store when every accepted change has reached the fleet: a change that no VM has
// received cannot be recovered.
func (h *harness) restore() {
	for range operators {
		h.writers <- struct{}{}
	}
	defer func() {
		for range operators {
			<-h.writers
		}
	}()
	h.heal()
	time.Sleep(healLimit)
	h.kv.Restore()
}

// operate writes changes until ctx ends.
func (h *harness) operate(ctx context.Context, author string) {
	for periodic.Pause(ctx, 300*time.Millisecond) {
		h.writers <- struct{}{}
		writeCtx, cancel := context.WithTimeout(context.Background(), 4*time.Second)
		service, err := h.write(writeCtx, author)
		cancel()
		if err == nil {
			h.mu.Lock()
			h.accepted = append(h.accepted, service)
			h.mu.Unlock()
		}
		<-h.writers
	}
}

func (h *harness) runAudit(ctx context.Context) {
	for periodic.Pause(ctx, auditStep) {
		if err := h.audit(); err != nil {
			h.mu.Lock()
			h.failure = errors.Join(h.failure, err)
			h.mu.Unlock()
			return
		}
	}
}

// healAndCheck ends all faults and checks that all keepers agree and have every accepted change.
func (h *harness) healAndCheck() error {
	h.heal()
	time.Sleep(healLimit)
	newest := catalogue.NewState()
	if err := store.Load(context.Background(), h.kv, newest); err != nil {
		return err
	}
	if !h.areAllAt(newest.Revision()) {
		return fmt.Errorf("keepers do not agree on revision %d: %s", newest.Revision(), h.describe())
	}
	for _, n := range h.nodes {
		for _, service := range h.accepted {
			if _, found := n.state.Catalogue.Entry(service); !found {
				return fmt.Errorf("%s lacks the accepted change %s", n.vm.Name, service)
			}
		}
	}
	return h.failure
}

func (c *cluster) describe() string {
	c.mu.Lock()
	defer c.mu.Unlock()
	var out []string
	for name, n := range c.nodes {
		out = append(out, fmt.Sprintf("%s=%d ready=%v fork=%d",
			name, n.state.Catalogue.Revision(), n.state.Readiness.IsReady(), n.state.ForkRevision()))
	}
	slices.Sort(out)
	return fmt.Sprint(out)
}

// TestRevisionNeverDecreases applies random faults and checks that no keeper's revision goes down, that a restarted
// keeper does not serve a revision below that of all others, that no accepted change is lost, and that all keepers
// agree within healLimit after the faults.
func TestRevisionNeverDecreases(t *testing.T) {
	const size = 6
	rapid.Check(t, func(rt *rapid.T) {
		steps := drawSteps(rt, size)
		seed := rapid.Uint64().Draw(rt, "seed")
		var failure error
		synctest.Test(t, func(*testing.T) {
			h := &harness{cluster: newCluster(size, seed), writers: make(chan struct{}, operators)}
			ctx, cancel := context.WithCancel(context.Background())
			var wg sync.WaitGroup
			for _, run := range []func(){
				func() { h.operate(ctx, "ann") }, func() { h.operate(ctx, "bob") }, func() { h.runAudit(ctx) },
			} {
				wg.Go(run)
			}
			time.Sleep(3 * time.Second)
			for _, s := range steps {
				time.Sleep(s.Pause)
				h.apply(s)
			}
			cancel()
			wg.Wait()
			failure = h.healAndCheck()
			h.stopAll()
		})
		if failure != nil {
			rt.Fatal(failure)
		}
	})
}

// TestInForceWithinLimit checks how long a change takes to every reachable keeper, also with a part unavailable.
func TestInForceWithinLimit(t *testing.T) {
	cases := []struct {
		name string
		// delay is the time from the fault to the first change.
		delay  time.Duration
		inject func(c *cluster)
	}{
		{"no fault", time.Second, func(*cluster) {}},
		{"all watchers stopped but listed", time.Second, func(c *cluster) {
			for _, vm := range c.view.Entries {
				if c.isWatcher(vm.Name) {
					c.stop(vm.Name)
				}
			}
		}},
		{"one region cut from the store", time.Second, func(c *cluster) {
			for _, vm := range c.view.LiveEntries("goldfields") {
				c.cutStore(vm.Name)
			}
		}},
		{"a keeper that cannot call any other", time.Second, func(c *cluster) {
			c.cutStore("entry-07")
			for _, vm := range c.view.Entries {
				c.setCut("entry-07", vm.Name, true)
			}
		}},
		{"a keeper that cannot call any other and receives no pushes", 30 * time.Second, func(c *cluster) {
			c.cutStore("entry-07")
			for _, vm := range c.view.Entries {
				c.setCut("entry-07", vm.Name, true)
				if c.nodes["entry-07"].x.roles.IsPushedBy(vm.Name) {
					c.setCut(vm.Name, "entry-07", true)
				}
			}
		}},
		{"a keeper that no other can call", time.Second, func(c *cluster) {
			for _, vm := range c.view.Entries {
				c.setCut(vm.Name, "entry-07", true)
			}
		}},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := newCluster(40, 1)
				defer c.stopAll()
				_, err := c.write(context.Background(), "ann")
				qt.Assert(t, err, qt.IsNil)
				time.Sleep(healLimit)
				qt.Assert(t, c.areAllAt(1), qt.IsTrue, qt.Commentf("%s", c.describe()))
				tc.inject(c)
				time.Sleep(tc.delay)
				var longest time.Duration
				begin, calls := time.Now(), c.kv.Calls()
				for revision := uint64(2); revision < 12; revision++ {
					begin := time.Now()
					_, err := c.write(context.Background(), "ann")
					qt.Assert(t, err, qt.IsNil)
					for !c.areAllAt(revision) && time.Since(begin) < inForceLimit {
						time.Sleep(auditStep)
					}
					qt.Assert(t, c.areAllAt(revision), qt.IsTrue, qt.Commentf("%s", c.describe()))
					longest = max(longest, time.Since(begin))
					time.Sleep(time.Second)
				}
				busy := float64(c.kv.Calls()-calls) / time.Since(begin).Seconds()
				calls = c.kv.Calls()
				time.Sleep(10 * time.Second)
				idle := float64(c.kv.Calls()-calls) / 10
				t.Logf("longest %v; store calls per second: %.1f with changes, %.1f without", longest, busy, idle)
				qt.Check(t, max(busy, idle) < storeCallLimit, qt.IsTrue)
			})
		})
	}
}

func (c *cluster) isWatcher(name string) bool {
	n := c.nodes[name]
	return n.x.roles.IsWatcher()
}
