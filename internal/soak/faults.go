package soak

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/primroseladder/primroseladder/internal/kv/kvtest"
	"github.com/primroseladder/primroseladder/internal/standin/link"
	"github.com/primroseladder/primroseladder/platform/standin"
)

// fault is a kind of disturbance. inject begins it, waits for its length and ends it.
type fault struct {
	name   string
	inject func(w *world, draw *rand.Rand) error
}

// meanGap is the mean time between the beginnings of two faults; most last longer, so that they overlap.
const meanGap = 500 * time.Millisecond

var faultKinds = []fault{
	{"vm-kill", onVM(false, killAndStart)},
	{"vm-pause", onVM(false, pause)},
	{"vm-stop", onVM(true, stopAndStart)},
	{"vm-hangup", onVM(true, hangUp)},
	{"all-killed", killAll},
	{"callers-reset", onVM(false, func(w *world, v *vm, _ *rand.Rand) error {
		v.callerRelay.Reset()
		return nil
	})},
	{"callers-cut", onVM(false, func(_ *world, v *vm, draw *rand.Rand) error {
		cutFor(v.callerLinks[draw.IntN(2)], length(draw))
		return nil
	})},
	{"callers-slow", onVM(false, func(_ *world, v *vm, draw *rand.Rand) error {
		delayFor(v.callerLinks[draw.IntN(2)], drawDelay(draw), length(draw))
		return nil
	})},
	{"store-down", onStoreWay((*kvtest.Client).SetDown)},
	{"store-silent", onStoreWay((*kvtest.Client).SetHanging)},
	{"store-loses-answers", onStoreWay((*kvtest.Client).SetLosesResponses)},
	{"store-cut", cutStore},
	{"store-slow", slowStore},
	{"store-history-gone", loseHistory},
	{"config-series", changeConfig},
	{"settings-changed", onVM(true, func(w *world, v *vm, _ *rand.Rand) error { return v.writeSettings() })},
	{"backend-behaviour", misbehave},
	{"backend-cut", onBackend(func(b *backendServer, draw *rand.Rand) {
		cutFor([]*link.Direction{b.to, b.from}[draw.IntN(2)], length(draw))
	})},
	{"backend-slow-link", onBackend(func(b *backendServer, draw *rand.Rand) { delayFor(b.to, drawDelay(draw), length(draw)) })},
	{"backend-reset", onBackend(func(b *backendServer, _ *rand.Rand) { b.relay.Reset() })},
	{"backend-drains", drainBackend},
	{"backend-crashes", crashBackend},
	{"backend-joins", func(w *world, draw *rand.Rand) error {
		return w.join(serviceNames[draw.IntN(len(serviceNames))], zoneNames[draw.IntN(len(zoneNames))])
	}},
	{"foreign-entry", writeForeignEntry},
}

// injectFaults begins faults at random times until the soak's length is over, and waits for their ends.
func (w *world) injectFaults() {
	var wait sync.WaitGroup
	end := time.Now().Add(w.options.Duration)
	for time.Now().Before(end) {
		time.Sleep(time.Duration(w.random.ExpFloat64() * float64(meanGap)))
		kind := faultKinds[w.random.IntN(len(faultKinds))]
		draw := rand.New(rand.NewPCG(w.options.Seed, w.random.Uint64()))
		w.options.Logf("%s", kind.name)
		wait.Go(func() {
			if err := kind.inject(w, draw); err != nil {
				w.ledger.fault("FAULT: %s could not be injected: %v", kind.name, err)
			}
		})
	}
	wait.Wait()
}

// length draws how long a fault lasts: most are short, some outlive every timeout.
func length(draw *rand.Rand) time.Duration {
	return time.Duration(min(0.2+draw.ExpFloat64(), 6) * float64(time.Second))
}

// onVM returns a fault of one VM that no other fault of its process holds.
func onVM(isPlanned bool, inject func(*world, *vm, *rand.Rand) error) func(*world, *rand.Rand) error {
	return func(w *world, draw *rand.Rand) error {
		v := w.vms[draw.IntN(len(w.vms))]
		v.busy.Lock()
		defer v.busy.Unlock()
		defer v.faults.begin(isPlanned)()
		return inject(w, v, draw)
	}
}

func killAndStart(w *world, v *vm, draw *rand.Rand) error {
	v.kill()
	time.Sleep(length(draw) / 2)
	return v.start(w.ledger)
}

func pause(_ *world, v *vm, draw *rand.Rand) error {
	if err := v.Signal(syscall.SIGSTOP); err != nil {
		return err
	}
	time.Sleep(length(draw))
	return v.Signal(syscall.SIGCONT)
}

func stopAndStart(w *world, v *vm, _ *rand.Rand) error {
	v.stop(w.ledger)
	return v.start(w.ledger)
}

// hangUp changes the settings file and says so a few times in a row.
func hangUp(_ *world, v *vm, draw *rand.Rand) error {
	for range 1 + draw.IntN(4) {
		v.settings.RetrySlack = float64(retrySlack - draw.IntN(20))
		if err := v.writeSettings(); err != nil {
			return err
		}
		if err := v.hangUp(); err != nil {
			return err
		}
		time.Sleep(time.Duration(draw.IntN(200)) * time.Millisecond)
	}
	return nil
}

// killAll ends all VMs at once, as a loss of power does.
func killAll(w *world, draw *rand.Rand) error {
	for _, v := range w.vms {
		v.busy.Lock()
		defer v.busy.Unlock()
		defer v.faults.begin(false)()
	}
	for _, v := range w.vms {
		v.kill()
	}
	time.Sleep(length(draw) / 2)
	for _, v := range w.vms {
		if err := v.start(w.ledger); err != nil {
			return err
		}
	}
	return nil
}

func cutFor(d *link.Direction, long time.Duration) {
	d.SetCut(true)
	time.Sleep(long)
	d.SetCut(false)
}

// maxDelay is the longest delay of a slow link.
const maxDelay = 400 * time.Millisecond

func drawDelay(draw *rand.Rand) time.Duration { return time.Duration(draw.Int64N(int64(maxDelay))) }

func delayFor(d *link.Direction, delay, long time.Duration) {
	d.SetDelay(delay)
	time.Sleep(long)
	d.SetDelay(0)
}

// someVMs returns a part of the VMs, or all of them.
func someVMs(w *world, draw *rand.Rand) []*vm {
	out := slices.Clone(w.vms)
	draw.Shuffle(len(out), func(i, j int) { out[i], out[j] = out[j], out[i] })
	return out[:1+draw.IntN(len(out))]
}

// disturbStore runs a fault of the way of some VMs to the store.
func disturbStore(w *world, draw *rand.Rand, run func(v *vm, long time.Duration)) error {
	long := length(draw)
	var wait sync.WaitGroup
	for _, v := range someVMs(w, draw) {
		wait.Go(func() {
			defer v.storeFaults.begin(false)()
			run(v, long)
		})
	}
	wait.Wait()
	return nil
}

func onStoreWay(set func(*kvtest.Client, bool)) func(*world, *rand.Rand) error {
	return func(w *world, draw *rand.Rand) error {
		return disturbStore(w, draw, func(v *vm, long time.Duration) {
			set(v.store, true)
			time.Sleep(long)
			set(v.store, false)
		})
	}
}

func cutStore(w *world, draw *rand.Rand) error {
	way := draw.IntN(2)
	return disturbStore(w, draw, func(v *vm, long time.Duration) { cutFor(v.storeLinks[way], long) })
}

func slowStore(w *world, draw *rand.Rand) error {
	delay := drawDelay(draw)
	return disturbStore(w, draw, func(v *vm, long time.Duration) { delayFor(v.storeLinks[0], delay, long) })
}

// loseHistory makes watches miss changes for a second, and then discards the history.
func loseHistory(w *world, _ *rand.Rand) error {
	for _, v := range w.vms {
		defer v.storeFaults.begin(false)()
	}
	w.store.SetWatchesMissChanges(true)
	time.Sleep(time.Second)
	w.store.Compact()
	w.store.SetWatchesMissChanges(false)
	return nil
}

// changeConfig writes a series of versions, in which the orders move from one service to another.
func changeConfig(w *world, draw *rand.Rand) error {
	for range 1 + draw.IntN(4) {
		w.mu.Lock()
		version := w.config.Version
		w.mu.Unlock()
		next := w.newConfig(version+1+uint64(draw.IntN(5)), serviceNames[draw.IntN(len(serviceNames))])
		if err := w.putConfig(next); err != nil {
			return err
		}
		time.Sleep(time.Duration(draw.IntN(700)) * time.Millisecond)
	}
	return nil
}

func pickBackend(w *world, draw *rand.Rand) *backendServer {
	list := w.serverList()
	return list[draw.IntN(len(list))]
}

func onBackend(inject func(*backendServer, *rand.Rand)) func(*world, *rand.Rand) error {
	return func(w *world, draw *rand.Rand) error {
		b := pickBackend(w, draw)
		defer b.faults.begin(false)()
		inject(b, draw)
		return nil
	}
}

// misbehave makes up to half of the backend servers treat their requests in one bad way.
func misbehave(w *world, draw *rand.Rand) error {
	list := w.serverList()
	how := behaviour(1 + draw.IntN(int(behaviours)-1))
	w.options.Logf("behaviour %d", how)
	for range 1 + draw.IntN(len(list)/2) {
		b := list[draw.IntN(len(list))]
		defer b.faults.begin(false)()
		b.behaviour.Store(int32(how))
		defer b.behaviour.Store(int32(sound))
	}
	time.Sleep(length(draw))
	return nil
}

// takeBackend takes a backend server out of the list for good, unless it is one of the last of its service.
func (w *world) takeBackend(draw *rand.Rand) *backendServer {
	b := pickBackend(w, draw)
	w.mu.Lock()
	defer w.mu.Unlock()
	left := 0
	for _, other := range w.servers {
		if other.Service == b.Service {
			left++
		}
	}
	if left <= len(zoneNames) || w.servers[b.ID] == nil {
		return nil
	}
	delete(w.servers, b.ID)
	return b
}

// drainBackend lets a backend server leave as planned, or go without a word, and takes it away afterwards.
func drainBackend(w *world, draw *rand.Rand) error {
	b := w.takeBackend(draw)
	if b == nil {
		return nil
	}
	if draw.IntN(3) > 0 {
		b.IsDraining = true
		if err := w.putServer(b.Server); err != nil {
			return err
		}
	} else {
		w.store.Delete(standin.ServerKey(b.ID))
	}
	b.drainAcked.Store(time.Now().UnixNano())
	time.Sleep(drain + length(draw))
	w.store.Delete(standin.ServerKey(b.ID))
	b.crash()
	return nil
}

// crashBackend ends a backend server. Its entry stays for its lease; it starts again under the same id or another one.
func crashBackend(w *world, draw *rand.Rand) error {
	b := w.takeBackend(draw)
	if b == nil {
		return nil
	}
	end := b.faults.begin(false)
	b.crash()
	defer end()
	if draw.IntN(2) > 0 {
		time.Sleep(lease)
		w.store.Delete(standin.ServerKey(b.ID))
		return w.join(b.Service, b.Zone)
	}
	time.Sleep(length(draw))
	again, err := newBackendServer(b.ID, b.Service, b.Zone, w.ledger, w.headers)
	if err != nil {
		return err
	}
	w.mu.Lock()
	w.servers[b.ID] = again
	w.mu.Unlock()
	return w.putServer(again.Server)
}

// writeForeignEntry writes what no backend server writes where their entries are.
func writeForeignEntry(w *world, draw *rand.Rand) error {
	texts := []string{"", "null", "{}", `{"State":7}`, `{"State":"ready","Service":"orders"}`, "\xff\xfe", strings.Repeat("[", 200)}
	key := standin.ServerKey(fmt.Sprintf("foreign-%d", draw.IntN(10)))
	w.store.Put(key, texts[draw.IntN(len(texts))])
	return nil
}
