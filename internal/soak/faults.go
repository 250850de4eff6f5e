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

// fault is a kind of fault. inject starts it, waits for its duration and ends it.
type fault struct {
	name   string
	inject func(d *deployment, draw *rand.Rand) error
}

// meanFaultInterval is the mean time between the starts of two faults. Most faults last longer, so that they overlap.
const meanFaultInterval = 500 * time.Millisecond

var faultKinds = []fault{
	{"vm-kill", onVM(false, killAndStart)},
	{"vm-pause", onVM(false, pause)},
	{"vm-stop", onVM(true, stopAndStart)},
	{"vm-hangup", onVM(true, changeAndReload)},
	{"all-killed", killAll},
	{"callers-reset", onVM(false, func(d *deployment, v *vm, _ *rand.Rand) error {
		v.callerRelay.Reset()
		return nil
	})},
	{"callers-cut", onVM(false, func(_ *deployment, v *vm, draw *rand.Rand) error {
		cutFor(v.callerLinks[draw.IntN(2)], drawDuration(draw))
		return nil
	})},
	{"callers-slow", onVM(false, func(_ *deployment, v *vm, draw *rand.Rand) error {
		delayFor(v.callerLinks[draw.IntN(2)], drawDelay(draw), drawDuration(draw))
		return nil
	})},
	{"store-down", onStoreClients((*kvtest.Client).SetDown)},
	{"store-silent", onStoreClients((*kvtest.Client).SetHanging)},
	{"store-loses-answers", onStoreClients((*kvtest.Client).SetLosesResponses)},
	{"store-cut", cutStore},
	{"store-slow", slowStore},
	{"store-history-gone", compactHistory},
	{"config-series", changeConfig},
	{"settings-changed", onVM(true, func(d *deployment, v *vm, _ *rand.Rand) error { return v.writeSettings() })},
	{"backend-behaviour", setBehaviour},
	{"backend-cut", onBackend(func(b *backendServer, draw *rand.Rand) {
		cutFor([]*link.Direction{b.toServer, b.fromServer}[draw.IntN(2)], drawDuration(draw))
	})},
	{"backend-slow-link", onBackend(func(b *backendServer, draw *rand.Rand) { delayFor(b.toServer, drawDelay(draw), drawDuration(draw)) })},
	{"backend-reset", onBackend(func(b *backendServer, _ *rand.Rand) { b.relay.Reset() })},
	{"backend-drains", drainBackend},
	{"backend-crashes", crashBackend},
	{"backend-joins", func(d *deployment, draw *rand.Rand) error {
		return d.startServer(serviceNames[draw.IntN(len(serviceNames))], zoneNames[draw.IntN(len(zoneNames))])
	}},
	{"foreign-entry", writeInvalidEntry},
}

// injectFaults starts faults at random times for the duration of the soak and waits until all have ended.
func (d *deployment) injectFaults() {
	var wait sync.WaitGroup
	end := time.Now().Add(d.options.Duration)
	for _, s := range allSeries {
		if s.name == d.options.Only || d.options.Only == "" && !d.options.FaultsOnly {
			wait.Go(func() { s.inject(d, rand.New(rand.NewPCG(d.options.Seed, s.seed)), end) })
		}
	}
	for d.options.Only == "" && time.Now().Before(end) {
		time.Sleep(time.Duration(d.random.ExpFloat64() * float64(meanFaultInterval)))
		kind := faultKinds[d.random.IntN(len(faultKinds))]
		draw := rand.New(rand.NewPCG(d.options.Seed, d.random.Uint64()))
		d.options.Logf("%s", kind.name)
		wait.Go(func() {
			if err := kind.inject(d, draw); err != nil {
				d.ledger.recordViolation("FAULT: %s could not be injected: %v", kind.name, err)
			}
		})
	}
	wait.Wait()
}

// drawDuration draws how long a fault lasts. Most are short, some last longer than every timeout.
func drawDuration(draw *rand.Rand) time.Duration {
	return time.Duration(min(0.2+draw.ExpFloat64(), 6) * float64(time.Second))
}

// onVM returns a fault of one random VM. The fault waits until no other fault of the VM's process is in progress.
func onVM(isPlanned bool, inject func(*deployment, *vm, *rand.Rand) error) func(*deployment, *rand.Rand) error {
	return func(d *deployment, draw *rand.Rand) error {
		v := d.vms[draw.IntN(len(d.vms))]
		v.processFault.Lock()
		defer v.processFault.Unlock()
		defer v.disturbances.begin(isPlanned)()
		return inject(d, v, draw)
	}
}

func killAndStart(d *deployment, v *vm, draw *rand.Rand) error {
	v.kill()
	time.Sleep(drawDuration(draw) / 2)
	return v.start(d.ledger)
}

func pause(_ *deployment, v *vm, draw *rand.Rand) error {
	if err := v.Signal(syscall.SIGSTOP); err != nil {
		return err
	}
	time.Sleep(drawDuration(draw))
	return v.Signal(syscall.SIGCONT)
}

func stopAndStart(d *deployment, v *vm, _ *rand.Rand) error {
	v.stop(d.ledger)
	return v.start(d.ledger)
}

// changeAndReload changes the settings file and sends SIGHUP, one to four times in a row.
func changeAndReload(_ *deployment, v *vm, draw *rand.Rand) error {
	for range 1 + draw.IntN(4) {
		v.settings.RetrySlack = float64(retryBudgetSlack - draw.IntN(20))
		if err := v.writeSettings(); err != nil {
			return err
		}
		if err := v.reload(); err != nil {
			return err
		}
		time.Sleep(time.Duration(draw.IntN(200)) * time.Millisecond)
	}
	return nil
}

// killAll kills all VMs at the same time, as a loss of power does, and restarts them.
func killAll(d *deployment, draw *rand.Rand) error {
	for _, v := range d.vms {
		v.processFault.Lock()
		defer v.processFault.Unlock()
		defer v.disturbances.begin(false)()
	}
	for _, v := range d.vms {
		v.kill()
	}
	time.Sleep(drawDuration(draw) / 2)
	for _, v := range d.vms {
		if err := v.start(d.ledger); err != nil {
			return err
		}
	}
	return nil
}

func cutFor(d *link.Direction, duration time.Duration) {
	d.SetCut(true)
	time.Sleep(duration)
	d.SetCut(false)
}

// maxDelay is the upper bound of a slow link's delay.
const maxDelay = 400 * time.Millisecond

func drawDelay(draw *rand.Rand) time.Duration { return time.Duration(draw.Int64N(int64(maxDelay))) }

func delayFor(d *link.Direction, delay, duration time.Duration) {
	d.SetDelay(delay)
	time.Sleep(duration)
	d.SetDelay(0)
}

// someVMs returns a random subset of the VMs, which is never empty.
func someVMs(d *deployment, draw *rand.Rand) []*vm {
	out := slices.Clone(d.vms)
	draw.Shuffle(len(out), func(i, j int) { out[i], out[j] = out[j], out[i] })
	return out[:1+draw.IntN(len(out))]
}

// disturbStore runs a fault of the connection between the store and some VMs, for the same duration on each.
func disturbStore(d *deployment, draw *rand.Rand, run func(v *vm, duration time.Duration)) error {
	duration := drawDuration(draw)
	var wait sync.WaitGroup
	for _, v := range someVMs(d, draw) {
		wait.Go(func() {
			defer v.storeDisturbances.begin(false)()
			run(v, duration)
		})
	}
	wait.Wait()
	return nil
}

func onStoreClients(set func(*kvtest.Client, bool)) func(*deployment, *rand.Rand) error {
	return func(d *deployment, draw *rand.Rand) error {
		return disturbStore(d, draw, func(v *vm, duration time.Duration) {
			set(v.store, true)
			time.Sleep(duration)
			set(v.store, false)
		})
	}
}

func cutStore(d *deployment, draw *rand.Rand) error {
	direction := draw.IntN(2)
	return disturbStore(d, draw, func(v *vm, duration time.Duration) { cutFor(v.storeLinks[direction], duration) })
}

func slowStore(d *deployment, draw *rand.Rand) error {
	delay := drawDelay(draw)
	return disturbStore(d, draw, func(v *vm, duration time.Duration) { delayFor(v.storeLinks[0], delay, duration) })
}

// compactHistory makes watches miss changes for a second and then discards the store's history, so that the watches
// cannot catch up from the history.
func compactHistory(d *deployment, _ *rand.Rand) error {
	for _, v := range d.vms {
		defer v.storeDisturbances.begin(false)()
	}
	d.store.SetWatchesMissChanges(true)
	time.Sleep(time.Second)
	d.store.Compact()
	d.store.SetWatchesMissChanges(false)
	return nil
}

// changeConfig writes a series of configuration versions, each of which routes the orders to a random service.
func changeConfig(d *deployment, draw *rand.Rand) error {
	for range 1 + draw.IntN(4) {
		d.mu.Lock()
		version := d.config.Version
		d.mu.Unlock()
		next := d.newConfig(version+1+uint64(draw.IntN(5)), serviceNames[draw.IntN(len(serviceNames))])
		if err := d.putConfig(next); err != nil {
			return err
		}
		time.Sleep(time.Duration(draw.IntN(700)) * time.Millisecond)
	}
	return nil
}

func pickBackend(d *deployment, draw *rand.Rand) *backendServer {
	list := d.listServers()
	return list[draw.IntN(len(list))]
}

func onBackend(inject func(*backendServer, *rand.Rand)) func(*deployment, *rand.Rand) error {
	return func(d *deployment, draw *rand.Rand) error {
		b := pickBackend(d, draw)
		defer b.disturbances.begin(false)()
		inject(b, draw)
		return nil
	}
}

// setBehaviour gives up to half of the backend servers the same faulty behaviour.
func setBehaviour(d *deployment, draw *rand.Rand) error {
	list := d.listServers()
	mode := behaviour(1 + draw.IntN(int(behaviourCount)-1))
	d.options.Logf("behaviour %d", mode)
	for range 1 + draw.IntN(len(list)/2) {
		b := list[draw.IntN(len(list))]
		defer b.disturbances.begin(false)()
		b.behaviour.Store(int32(mode))
		defer b.behaviour.Store(int32(healthy))
	}
	time.Sleep(drawDuration(draw))
	return nil
}

// removeBackend removes a random backend server from the deployment's list and returns it, or nil if it has to stay.
func (d *deployment) removeBackend(draw *rand.Rand) *backendServer {
	b := pickBackend(d, draw)
	if !d.unlist(b) {
		return nil
	}
	return b
}

// unlist removes a backend server from the deployment's list. It reports false if the service has no more backend servers than there
// are zones, or if another fault has removed this one.
func (d *deployment) unlist(b *backendServer) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	remaining := 0
	for _, other := range d.servers {
		if other.Service == b.Service {
			remaining++
		}
	}
	if remaining <= len(zoneNames) || d.servers[b.ID] == nil {
		return false
	}
	delete(d.servers, b.ID)
	return true
}

// drainBackend removes a backend server after the drain time: two times in three its entry is first marked as draining,
// otherwise the entry is deleted at once.
func drainBackend(d *deployment, draw *rand.Rand) error {
	b := d.removeBackend(draw)
	if b == nil {
		return nil
	}
	if draw.IntN(3) > 0 {
		b.IsDraining = true
		b.advice.isLeaving.Store(!d.options.FaultsOnly)
		if err := d.putServer(b.Server); err != nil {
			return err
		}
	} else {
		d.store.Delete(standin.ServerKey(b.ID))
	}
	b.drainStored.Store(time.Now().UnixNano())
	time.Sleep(drainBound + drawDuration(draw))
	d.store.Delete(standin.ServerKey(b.ID))
	b.crash()
	return nil
}

// crashBackend crashes a backend server. Either its entry stays until the lease has expired and a new server replaces it,
// or it restarts under the same id.
func crashBackend(d *deployment, draw *rand.Rand) error {
	b := d.removeBackend(draw)
	if b == nil {
		return nil
	}
	end := b.disturbances.begin(false)
	b.crash()
	defer end()
	if draw.IntN(2) > 0 {
		time.Sleep(leaseTTL)
		d.store.Delete(standin.ServerKey(b.ID))
		return d.startServer(b.Service, b.Zone)
	}
	time.Sleep(drawDuration(draw))
	restarted, err := newBackendServer(b.ID, b.Service, b.Zone, d.ledger, d.headers)
	if err != nil {
		return err
	}
	d.mu.Lock()
	d.servers[b.ID] = restarted
	d.mu.Unlock()
	return d.putServer(restarted.Server)
}

// writeInvalidEntry writes an invalid entry under a key like those of the backend servers' entries.
func writeInvalidEntry(d *deployment, draw *rand.Rand) error {
	texts := []string{"", "null", "{}", `{"State":7}`, `{"State":"ready","Service":"orders"}`, "\xff\xfe", strings.Repeat("[", 200)}
	key := standin.ServerKey(fmt.Sprintf("foreign-%d", draw.IntN(10)))
	d.store.Put(key, texts[draw.IntN(len(texts))])
	return nil
}
