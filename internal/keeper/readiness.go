package keeper

import (
	"sync"
	"time"

	"github.com/primroseladder/primroseladder/internal/fleet"
)

// peerWait is how long after its start a keeper waits for missing confirmations. From then on, a confirmation
// by the store or by one ready peer is enough.
const peerWait = 5 * time.Second

// Readiness decides when a starting keeper may pass its catalogue to the entry: only once the store or other keepers
// have shown that it is up to date. The decision is made once, after the start, and not revoked.
type Readiness struct {
	mu             sync.Mutex
	started        time.Time
	ready          bool
	storeConfirmed bool
	// anyPeer is set after a comparison with any keeper, localZonePeer after one with a ready keeper of the local zone, and
	// otherZonePeer after one with a ready keeper of another zone.
	anyPeer       bool
	localZonePeer bool
	otherZonePeer bool
}

// NewReadiness returns the readiness of a keeper that starts now.
func NewReadiness() *Readiness { return &Readiness{started: time.Now()} }

// RecordStoreConfirmation records that the store has no newer revision.
func (r *Readiness) RecordStoreConfirmation() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.storeConfirmed = true
}

// RecordPeerComparison records that a keeper answered and that this keeper's revision is not lower than its revision.
func (r *Readiness) RecordPeerComparison(isReady, isSameZone bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.anyPeer = true
	r.localZonePeer = r.localZonePeer || (isReady && isSameZone)
	r.otherZonePeer = r.otherZonePeer || (isReady && !isSameZone)
}

// IsReady reports whether the catalogue may be used.
func (r *Readiness) IsReady() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.ready
}

// Evaluate decides by the recorded facts. It returns true once, when the keeper becomes ready.
func (r *Readiness) Evaluate(vm, zone string, revision uint64, view *fleet.View) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.ready || revision == 0 {
		return false
	}
	sameZone, otherZone := listedPeers(vm, zone, view)
	hasWaited := time.Since(r.started) >= peerWait
	byStore := r.storeConfirmed && (r.anyPeer || hasWaited || (!sameZone && !otherZone && view.Index > 0))
	byPeers := (r.localZonePeer || !sameZone) && (r.otherZonePeer || !otherZone) && (r.localZonePeer || r.otherZonePeer)
	byAnyPeer := hasWaited && (r.localZonePeer || r.otherZonePeer)
	r.ready = byStore || byPeers || byAnyPeer
	return r.ready
}

// listedPeers reports whether the view has live entry VMs other than vm in its zone and in other zones.
func listedPeers(vm, zone string, view *fleet.View) (sameZone, otherZone bool) {
	for _, other := range view.LiveEntries("") {
		if other.Name == vm {
			continue
		}
		sameZone = sameZone || other.Zone == zone
		otherZone = otherZone || other.Zone != zone
	}
	return sameZone, otherZone
}
