package blocklist_test

import (
	"context"
	"fmt"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/rs/zerolog"
	"pgregory.net/rapid"

	"github.com/primroseladder/primroseladder/internal/blocklist"
	"github.com/primroseladder/primroseladder/internal/kv"
	"github.com/primroseladder/primroseladder/internal/kv/kvtest"
	"github.com/primroseladder/primroseladder/internal/poison"
)

const bad = poison.Fingerprint(0xbad)

// countingStore counts the calls that writes take.
type countingStore struct {
	*kvtest.Client
	calls *atomic.Int32
}

func (s countingStore) Grant(ctx context.Context, ttl time.Duration) (kv.Lease, error) {
	s.calls.Add(1)
	return s.Client.Grant(ctx, ttl)
}

func (s countingStore) Commit(ctx context.Context, t kv.Txn) (uint64, error) {
	s.calls.Add(1)
	return s.Client.Commit(ctx, t)
}

func (s countingStore) Revoke(ctx context.Context, id kv.LeaseID) error {
	s.calls.Add(1)
	return s.Client.Revoke(ctx, id)
}

// vm is a VM with a list of blocks, which follows the store.
type vm struct {
	client   countingStore
	registry *poison.Registry
	list     *blocklist.List
	stop     context.CancelFunc
}

// fleet starts VMs, the first of which reads the store for its zone. A question of a VM goes to the VM before it.
type fleet struct {
	store *kvtest.Store
	vms   []*vm
	// writeCalls is the number of calls for writes.
	writeCalls atomic.Int32
}

func (f *fleet) start(ctx context.Context, isStoreDown bool) *vm {
	ctx, stop := context.WithCancel(ctx)
	v := &vm{client: countingStore{f.store.Client(), &f.writeCalls}, registry: poison.NewRegistry(poison.DefaultWindow), stop: stop}
	v.client.SetDown(isStoreDown)
	isFirst := len(f.vms) == 0
	var before *vm
	if !isFirst {
		before = f.vms[len(f.vms)-1]
	}
	v.list = blocklist.New(blocklist.Options{
		Store: v.client, Registry: v.registry, IsReader: func() bool { return isFirst }, Log: zerolog.Nop(),
		Ask: func(_ context.Context, digest uint64) {
			if before != nil {
				v.list.ReceiveBlocks(before.list.BlocksBesides(digest))
			}
		},
	})
	f.vms = append(f.vms, v)
	go v.list.Run(ctx)
	go v.follow(ctx)
	return v
}

// follow applies the changes of the store, as the copy of a VM does.
func (v *vm) follow(ctx context.Context) {
	var at uint64
	for ctx.Err() == nil {
		changes, err := v.client.Watch(ctx, "", at, time.Second)
		if err != nil {
			time.Sleep(100 * time.Millisecond)
			continue
		}
		v.apply(changes.Items)
		at = changes.Revision
	}
}

func (v *vm) apply(items []kv.Item) {
	for _, i := range items {
		if f, ok := blocklist.Fingerprint(i.Key); ok {
			v.list.Apply(f, i)
		}
	}
}

// crash records a crash that the VM sees, and reports it to other VMs.
func (v *vm) crash(server string, reportedTo ...*vm) {
	v.registry.RecordCrash(bad, server)
	for _, other := range reportedTo {
		other.registry.ReceiveCrash(poison.Crash{Fingerprint: bad, Server: server})
	}
}

// contact is the time after which a VM that has started or woken must act by what the others know.
const contact = 3 * time.Second

// TestBlockReachesVMsThatMissedTheCrashes guards against a request that crashes backend servers running again at each VM that was
// started, was frozen or lost the reports of the crashes.
func TestBlockReachesVMsThatMissedTheCrashes(t *testing.T) {
	tests := []struct {
		name string
		// isStoreDown is set if the store is down from before the crashes on.
		isStoreDown bool
		// happen makes the crashes happen and returns the VM that missed some of them.
		happen func(ctx context.Context, f *fleet) *vm
	}{
		{"started later", false, func(ctx context.Context, f *fleet) *vm {
			f.vms[1].crash("a", f.vms[2])
			f.vms[2].crash("b", f.vms[1])
			return f.start(ctx, false)
		}},
		{"started later while the store is down", true, func(ctx context.Context, f *fleet) *vm {
			f.vms[1].crash("a", f.vms[2])
			f.vms[2].crash("b", f.vms[1])
			return f.start(ctx, true)
		}},
		{"reports lost", false, func(_ context.Context, f *fleet) *vm {
			f.vms[0].crash("a")
			f.vms[0].crash("b")
			return f.vms[2]
		}},
		{"those that saw the crashes are gone", false, func(ctx context.Context, f *fleet) *vm {
			f.vms[2].stop()
			f.vms[2].crash("a", f.vms[0])
			f.vms[2].crash("b", f.vms[0])
			return f.vms[1]
		}},
		{"all VMs started anew", false, func(ctx context.Context, f *fleet) *vm {
			f.vms[1].crash("a", f.vms[2])
			f.vms[2].crash("b")
			time.Sleep(time.Second)
			for _, v := range f.vms {
				v.stop()
			}
			f.vms = nil
			return f.start(ctx, false)
		}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				ctx, cancel := context.WithCancel(t.Context())
				f := &fleet{store: kvtest.New()}
				for range 3 {
					f.start(ctx, test.isStoreDown)
				}
				time.Sleep(time.Second)
				missed := test.happen(ctx, f)
				time.Sleep(contact)
				qt.Check(t, missed.registry.IsBlocked(bad), qt.IsTrue)
				cancel()
				time.Sleep(contact)
			})
		})
	}
}

// TestBlocksEnd checks that VMs do not renew a block for each other: it ends everywhere when its time ends, however often VMs start
// and the store drops it.
func TestBlocksEnd(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		f := &fleet{store: kvtest.New()}
		f.start(ctx, false)
		f.vms[0].crash("a")
		f.vms[0].crash("b")
		for range 9 {
			time.Sleep(time.Minute)
			f.start(ctx, false)
			f.store.Delete(blocklist.Key(bad))
		}
		time.Sleep(contact)
		for _, v := range f.vms {
			qt.Check(t, v.registry.IsBlocked(bad), qt.IsTrue)
		}
		time.Sleep(time.Minute)
		f.store.ExpireLeases(time.Now())
		time.Sleep(contact)
		for n, v := range f.vms {
			qt.Check(t, v.registry.IsBlocked(bad), qt.IsFalse, qt.Commentf("VM %d", n))
		}
		page, err := f.store.Client().Range(ctx, "", "")
		qt.Check(t, err, qt.IsNil)
		qt.Check(t, page.Items, qt.HasLen, 0)
		cancel()
		time.Sleep(contact)
	})
}

// TestAnswerEndsABlockEverywhere checks that a block ends on all VMs, and in the store, once a backend server has answered the
// request on one of them, and that a later crash blocks it again.
func TestAnswerEndsABlockEverywhere(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		f := &fleet{store: kvtest.New()}
		for range 3 {
			f.start(ctx, false)
		}
		f.vms[0].crash("a")
		f.vms[0].crash("b")
		time.Sleep(contact)
		f.vms[0].registry.RecordAnswer(bad)
		time.Sleep(2 * contact)
		f.start(ctx, false)
		time.Sleep(contact)
		for n, v := range f.vms {
			qt.Check(t, v.registry.IsBlocked(bad), qt.IsFalse, qt.Commentf("VM %d", n))
		}
		page, err := f.store.Client().Range(ctx, "", "")
		qt.Check(t, err, qt.IsNil)
		qt.Check(t, page.Items, qt.HasLen, 0)
		f.vms[2].crash("c")
		f.vms[2].crash("d")
		time.Sleep(contact)
		for n, v := range f.vms {
			qt.Check(t, v.registry.IsBlocked(bad), qt.IsTrue, qt.Commentf("VM %d", n))
		}
		cancel()
		time.Sleep(contact)
	})
}

// TestFewWritesForABlock checks that a block costs the store a few calls, not one for each VM.
func TestFewWritesForABlock(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		f := &fleet{store: kvtest.New()}
		for range 50 {
			f.start(ctx, false)
		}
		time.Sleep(time.Second)
		f.vms[7].crash("a", f.vms...)
		f.vms[8].crash("b", f.vms...)
		time.Sleep(contact)
		// A lease and a write by each of the two VMs, and a lease that is given back.
		qt.Check(t, f.writeCalls.Load() <= 5, qt.IsTrue, qt.Commentf("%d calls", f.writeCalls.Load()))
		cancel()
		time.Sleep(contact)
	})
}

// TestKeys checks that keys and fingerprints correspond, and that other keys of the store are no blocks.
func TestKeys(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		f := poison.Fingerprint(rapid.Uint64().Draw(rt, "fingerprint"))
		got, ok := blocklist.Fingerprint(blocklist.Key(f))
		if !ok || got != f {
			rt.Fatalf("key %s is read as %x, %v", blocklist.Key(f), got, ok)
		}
	})
	for _, key := range []string{"", "primrose/vms/a/b", "primrose/blocks/", "primrose/blocks/xyz", fmt.Sprintf("%s0", blocklist.Key(bad))} {
		_, ok := blocklist.Fingerprint(key)
		qt.Check(t, ok, qt.IsFalse, qt.Commentf("%q", key))
	}
}
