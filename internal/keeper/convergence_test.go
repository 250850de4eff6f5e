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
	// inForceLimit is the time in which an accepted change is in force on every reachable VM.
	inForceLimit = 6 * time.Second
	// healLimit is the time in which keepers agree after all faults ended.
	healLimit = 25 * time.Second
	auditStep = 20 * time.Millisecond
	// storeCallLimit is a tenth of the writes that the store takes in a second, at 300. All calls are below it.
	storeCallLimit = 30
	// operators is how many operators write at the same time.
	operators = 2
)

// faultKind is one kind of step of a drawn history.
type faultKind string

const (
	faultStoreDown    faultKind = "store down"
	faultStoreLossy   faultKind = "store loses answers and writes late"
	faultStoreLag     faultKind = "store shows older states"
	faultStoreHealthy faultKind = "store is well"
	faultBackup       faultKind = "backup"
	faultRestore      faultKind = "restore"
	faultCut          faultKind = "cut one way"
	faultCutStore     faultKind = "cut one keeper from the store"
	faultHealLinks    faultKind = "mend links"
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

// history plays drawn steps while two operators write, and audits all the time.
type history struct {
	*cluster
	// writers has a place for each operator. A channel lets fake time go on while one waits.
	writers  chan struct{}
	accepted []string
	mu       sync.Mutex
	failure  error
}

func (h *history) apply(s step) {
	from, to := h.view.Entries[s.VM], h.view.Entries[s.To]
	switch s.Kind {
	case faultStoreDown:
		h.kv.SetFault(memstore.Fault{Down: true})
	case faultStoreLossy:
		h.kv.SetFault(memstore.Fault{LosePercent: 30, DelayPercent: 30, MaxDelay: 3 * time.Second})
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

// restore goes back to the backup at a moment when every accepted change has reached the fleet: what no VM has heard
// of cannot come back.
func (h *history) restore() {
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

// operate writes until ctx ends.
func (h *history) operate(ctx context.Context, author string) {
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

func (h *history) runAudit(ctx context.Context) {
	for periodic.Pause(ctx, auditStep) {
		if err := h.audit(); err != nil {
			h.mu.Lock()
			h.failure = errors.Join(h.failure, err)
			h.mu.Unlock()
			return
		}
	}
}

// healAndCheck heals everything and checks that all keepers agree with every accepted change.
func (h *history) healAndCheck() error {
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
		out = append(out, fmt.Sprintf("%s=%d ready=%v fork=%d", name, n.state.Catalogue.Revision(), n.state.Readiness.IsReady(), n.state.ForkRevision()))
	}
	slices.Sort(out)
	return fmt.Sprint(out)
}

// TestRevisionNeverDecreases plays drawn faults and checks: no keeper's revision goes down, a restarted one does not serve what
// all others are beyond, no accepted change is lost, and after healing all keepers agree in bounded time.
func TestRevisionNeverDecreases(t *testing.T) {
	const size = 6
	rapid.Check(t, func(rt *rapid.T) {
		steps := drawSteps(rt, size)
		seed := rapid.Uint64().Draw(rt, "seed")
		var failure error
		synctest.Test(t, func(*testing.T) {
			h := &history{cluster: newCluster(size, seed), writers: make(chan struct{}, operators)}
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

// TestInForceWithinLimit checks the time to every reachable keeper, also where one part is away.
func TestInForceWithinLimit(t *testing.T) {
	cases := []struct {
		name string
		// delay is the time from the fault to the first change.
		delay  time.Duration
		inject func(c *cluster)
	}{
		{"no fault", time.Second, func(*cluster) {}},
		{"all watchers gone but listed", time.Second, func(c *cluster) {
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
		{"a keeper that can call nobody", time.Second, func(c *cluster) {
			c.cutStore("entry-07")
			for _, vm := range c.view.Entries {
				c.setCut("entry-07", vm.Name, true)
			}
		}},
		{"a keeper that can call nobody, and that gets no pushes", 30 * time.Second, func(c *cluster) {
			c.cutStore("entry-07")
			for _, vm := range c.view.Entries {
				c.setCut("entry-07", vm.Name, true)
				if c.nodes["entry-07"].x.roles.IsPushedBy(vm.Name) {
					c.setCut(vm.Name, "entry-07", true)
				}
			}
		}},
		{"a keeper that nobody can call", time.Second, func(c *cluster) {
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
				t.Logf("longest %v; store calls a second: %.1f with changes, %.1f without", longest, busy, idle)
				qt.Check(t, max(busy, idle) < storeCallLimit, qt.IsTrue)
			})
		})
	}
}

func (c *cluster) isWatcher(name string) bool {
	n := c.nodes[name]
	return n.x.roles.IsWatcher()
}
