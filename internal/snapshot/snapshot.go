// Package snapshot holds the catalogue and the VM list that an entry currently uses. Readers get an immutable snapshot
// without a lock. If the keeper is unavailable, the last snapshot stays in use.
package snapshot

import (
	"sync"
	"sync/atomic"

	"github.com/primroseladder/primroseladder/internal/catalogue"
	"github.com/primroseladder/primroseladder/internal/fleet"
)

// Snapshot is the catalogue and the VM list at one time.
type Snapshot struct {
	// Revision is the catalogue's revision. It is 0 until the first catalogue is received.
	Revision uint64
	Routes   *catalogue.RouteTable
	View     *fleet.View
}

// Holder holds the newest snapshot.
type Holder struct {
	mu        sync.Mutex
	current   atomic.Pointer[Snapshot]
	listeners []func(*Snapshot)
	// list is the platform's VM list, and leaving are the names of the VMs with a leave notice.
	list    *fleet.View
	leaving []string
	// ready is closed with the first snapshot that has a catalogue and a VM list.
	ready chan struct{}
}

// NewHolder returns a holder with an empty snapshot.
func NewHolder() *Holder {
	h := &Holder{ready: make(chan struct{})}
	h.current.Store(&Snapshot{Routes: catalogue.NewRouteTable(nil), View: fleet.NewView(0, nil)})
	return h
}

// Get returns the newest snapshot.
func (h *Holder) Get() *Snapshot { return h.current.Load() }

// OnChange calls f with the current snapshot and then with each new one, one call at a time.
func (h *Holder) OnChange(f func(*Snapshot)) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.listeners = append(h.listeners, f)
	f(h.current.Load())
}

// CatalogueUpdate is a whole catalogue, or the difference from one revision to a higher one.
type CatalogueUpdate struct {
	Revision uint64
	// Complete is set if Entries is the whole catalogue.
	Complete bool
	Entries  []*catalogue.Entry
	Removed  []string
}

// ApplyCatalogue applies an update if its revision is higher than the current one, and returns whether it did.
func (h *Holder) ApplyCatalogue(u CatalogueUpdate) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	if u.Revision <= h.current.Load().Revision {
		return false
	}
	routes := h.current.Load().Routes
	if u.Complete {
		routes = catalogue.NewRouteTable(nil)
	}
	routes = routes.With(u.Entries, u.Removed)
	h.publish(&Snapshot{Revision: u.Revision, Routes: routes, View: h.current.Load().View})
	return true
}

// ApplyView adopts a VM list unless its index is lower than the current one.
func (h *Holder) ApplyView(v *fleet.View) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.list != nil && v.Index < h.list.Index {
		return
	}
	h.list = v
	h.publishView()
}

// ApplyLeaving marks the named VMs as leaving before the VM list does. All others have the state from the list. Each call
// replaces the names of the previous one.
func (h *Holder) ApplyLeaving(names []string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.leaving = names
	if h.list != nil {
		h.publishView()
	}
}

// publishView publishes the VM list with the VMs that have a leave notice marked as leaving.
func (h *Holder) publishView() {
	old := h.current.Load()
	h.publish(&Snapshot{Revision: old.Revision, Routes: old.Routes, View: h.list.WithLeaving(h.leaving)})
}

// Ready returns a channel that is closed once a catalogue and a VM list were received.
func (h *Holder) Ready() <-chan struct{} { return h.ready }

// IsReady reports whether a catalogue and a VM list were received.
func (h *Holder) IsReady() bool {
	select {
	case <-h.ready:
		return true
	default:
		return false
	}
}

func (h *Holder) publish(s *Snapshot) {
	h.current.Store(s)
	if s.Revision > 0 && s.View.Index > 0 && !h.IsReady() {
		close(h.ready)
	}
	for _, f := range h.listeners {
		f(s)
	}
}
