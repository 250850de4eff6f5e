package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"sync"
	"syscall"
	"time"

	"github.com/primroseladder/primroseladder/internal/route"
	"github.com/primroseladder/primroseladder/platform/standin"
)

const (
	// freezeTime is how long VMs are frozen, and removalDelay how long before a backend server is removed and the other VMs are
	// killed.
	freezeTime   = 3500 * time.Millisecond
	removalDelay = time.Second
	// cutAfterWaking is how long the VMs that wake are cut off from the store.
	cutAfterWaking = time.Second
	// servesOn is how long a backend server goes on serving after the VMs have woken.
	servesOn       = 7 * time.Second
	lookupsService = "lookups"
	// directInterval is the pause between two requests that are sent directly to a VM.
	directInterval = 50 * time.Millisecond
)

// missRemovals removes backend servers, each while VMs of a region are frozen and the others are killed.
func (d *deployment) missRemovals(draw *rand.Rand, end time.Time) {
	for round := 0; time.Now().Add(freezeTime).Before(end); round++ {
		if err := d.missRemoval(draw, round, end); err != nil {
			d.ledger.recordViolation("FAULT: round %d of %s could not be injected: %v", round, MissedRemovals, err)
		}
	}
}

func (d *deployment) missRemoval(draw *rand.Rand, round int, end time.Time) error {
	affected := slices.DeleteFunc(slices.Clone(d.vms), func(v *vm) bool { return zoneRegions[v.settings.Zone] != "north" })
	draw.Shuffle(len(affected), func(i, j int) { affected[i], affected[j] = affected[j], affected[i] })
	frozen, killed := affected[:(len(affected)+2)/3], affected[(len(affected)+2)/3:]
	if err := d.startServer(lookupsService, frozen[0].settings.Zone); err != nil {
		return err
	}
	d.options.Logf("%d VMs frozen, %d killed while a backend server is removed", len(frozen), len(killed))
	endFaults := d.beginProcessFaults(affected)
	removed, err := d.freezeAndRemove(frozen, killed, draw)
	endFaults()
	if err != nil {
		return err
	}
	serving := time.Now().Add(servesOn)
	if serving.After(end) {
		serving = end
	}
	var wait sync.WaitGroup
	for n, v := range frozen {
		wait.Go(func() { d.sendDirectly(v, fmt.Sprintf("direct-%d-%d", round, n), serving) })
	}
	wait.Wait()
	if removed != nil {
		removed.crash()
	}
	return nil
}

// beginProcessFaults waits until no other faults of the VMs' processes are in progress, and returns what ends these faults. VMs are
// locked in the order of the deployment.
func (d *deployment) beginProcessFaults(affected []*vm) (end func()) {
	var ends []func()
	for _, v := range d.vms {
		if slices.Contains(affected, v) {
			v.processFault.Lock()
			ends = append(ends, v.processFault.Unlock, v.disturbances.begin(false))
		}
	}
	return func() {
		for _, f := range slices.Backward(ends) {
			f()
		}
	}
}

// freezeAndRemove freezes some VMs for freezeTime, and meanwhile removes the entry of a backend server and kills and starts other
// VMs. It returns the backend server, or nil if another fault has removed it first.
func (d *deployment) freezeAndRemove(frozen, killed []*vm, draw *rand.Rand) (*backendServer, error) {
	for _, v := range frozen {
		if err := v.Signal(syscall.SIGSTOP); err != nil {
			return nil, err
		}
	}
	wake := time.After(freezeTime)
	time.Sleep(removalDelay)
	removed := d.pickLookups(frozen[0].settings.Zone, draw)
	if d.unlist(removed) {
		d.store.Delete(standin.ServerKey(removed.ID))
		removed.drainStored.Store(time.Now().UnixNano())
	} else {
		removed = nil
	}
	for _, v := range killed {
		v.kill()
	}
	time.Sleep(removalDelay / 2)
	for _, v := range killed {
		if err := v.start(d.ledger); err != nil {
			return removed, err
		}
	}
	<-wake
	for _, v := range frozen {
		go v.cutFromStore(cutAfterWaking)
		if err := v.Signal(syscall.SIGCONT); err != nil {
			return removed, err
		}
	}
	return removed, nil
}

// pickLookups returns a random backend server of the lookups, one in the given zone if there is one.
func (d *deployment) pickLookups(zone string, draw *rand.Rand) *backendServer {
	all := slices.DeleteFunc(d.listServers(), func(b *backendServer) bool { return b.Service != lookupsService })
	near := slices.DeleteFunc(slices.Clone(all), func(b *backendServer) bool { return b.Zone != zone })
	if len(near) > 0 {
		all = near
	}
	return all[draw.IntN(len(all))]
}

// cutFromStore cuts the VM off from the store for a time, so that it learns what it has missed from other VMs.
func (v *vm) cutFromStore(duration time.Duration) {
	defer v.storeDisturbances.begin(false)()
	cutFor(v.storeLinks[0], duration)
}

// sendDirectly sends idempotent requests to a VM until the given time, whatever VMs the directory names.
func (d *deployment) sendDirectly(v *vm, id string, until time.Time) {
	for n := 0; time.Now().Before(until); n++ {
		id := fmt.Sprintf("%s-%d", id, n)
		r := &request{id: id, method: http.MethodGet, host: callerHost, uri: "/lookups/" + id, kind: route.Idempotent, vm: v, limit: routeTimeout}
		// exchange records the result in the ledger.
		_, _ = d.exchange(context.Background(), shortClient, r)
		time.Sleep(directInterval)
	}
}
