package keeper

import (
	"sync"
	"time"

	"github.com/primroseladder/primroseladder/internal/fleet"
)

// peerWait is how long a starting keeper waits for those who do not answer, once someone did.
const peerWait = 5 * time.Second

// Readiness decides when a starting keeper may hand its catalogue to the entry: not before the store or other keepers
// have shown that it is not behind. It is decided once, at the start.
type Readiness struct {
	mu             sync.Mutex
	started        time.Time
	ready          bool
	storeConfirmed bool
	anyPeer        bool
	localZonePeer  bool
	otherZonePeer  bool
}

// NewReadiness returns the readiness of a keeper that starts now.
func NewReadiness() *Readiness { return &Readiness{started: time.Now()} }

// RecordStoreConfirmation notes that the store has no newer revision.
func (r *Readiness) RecordStoreConfirmation() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.storeConfirmed = true
}

// RecordPeerComparison notes that a keeper answered and that the own revision is not lower than its revision.
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

// Evaluate decides by what was noted. It returns true once, when the keeper becomes ready.
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

// listedPeers reports whether the view has live entry VMs besides vm in its own zone and in other zones.
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
