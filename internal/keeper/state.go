// Package keeper puts the parts of primrose-keeper together: it follows the catalogue and the VM list, passes both to
// the entry on the same VM and to other keepers, and tells callers which VMs to use. While the store or the VM list
// cannot be reached the last state stays in force.
package keeper

import (
	"errors"
	"sync"
	"time"

	"github.com/primroseladder/primroseladder/internal/catalogue"
	"github.com/primroseladder/primroseladder/internal/fleet"
)

// State is what a keeper knows. Each change of it wakes those who wait.
type State struct {
	Catalogue *catalogue.State
	Freshness *Freshness
	Readiness *Readiness

	mu sync.Mutex
	// list is the platform's VM list, and view is the list with the announced leaving VMs marked.
	list         *fleet.View
	view         *fleet.View
	leaveNotices leaveNotices
	// deltas led to list, the newest last.
	deltas deltaHistory
	// listConfirmed is a time at which the view was the platform's newest.
	listConfirmed time.Time
	changed       chan struct{}
	forkRevision  uint64
	forkSeenAt    time.Time
	storeBehind   uint64
}

// NewState returns the state of a keeper that knows nothing yet.
func NewState() *State {
	empty := fleet.NewView(0, nil)
	return &State{
		Catalogue: catalogue.NewState(), Freshness: NewFreshness(), Readiness: NewReadiness(),
		list: empty, view: empty, changed: make(chan struct{}),
	}
}

// View returns the newest VM list. VMs that were announced as leaving are marked so.
func (s *State) View() *fleet.View {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.view
}

// List returns the newest VM list as the platform shows it.
func (s *State) List() *fleet.View {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.list
}

// SetList adopts a VM list whose index is higher. What did not change is shared with the older view.
func (s *State) SetList(v *fleet.View) {
	s.mu.Lock()
	adopted := v.Index > s.list.Index
	if adopted {
		delta := v.Diff(s.list)
		s.deltas.add(s.list.Index, delta)
		s.list = s.list.With(delta)
		if s.leaveNotices.markReturned(s.list) {
			s.leaveNotices.version++
		}
		s.view = s.list.WithLeaving(s.leaveNotices.names())
	}
	s.mu.Unlock()
	if adopted {
		s.NotifyChanged()
	}
}

// ConfirmList says that the view was the platform's newest list at a time.
func (s *State) ConfirmList(at time.Time) {
	s.mu.Lock()
	isNewer := at.After(s.listConfirmed)
	if isNewer {
		s.listConfirmed = at
	}
	s.mu.Unlock()
	if isNewer {
		s.NotifyChanged()
	}
}

// ListConfirmed returns the last time at which the view was the platform's newest list.
func (s *State) ListConfirmed() time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.listConfirmed
}

// Changed returns a channel that is closed at the next change.
func (s *State) Changed() <-chan struct{} {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.changed
}

// NotifyChanged tells those who wait that something changed.
func (s *State) NotifyChanged() {
	s.mu.Lock()
	defer s.mu.Unlock()
	close(s.changed)
	s.changed = make(chan struct{})
}

// ApplyChanges adopts changes in order. It returns whether any was new.
func (s *State) ApplyChanges(changes []*catalogue.Change) (bool, error) {
	adopted := false
	for _, c := range changes {
		isNew, err := s.Catalogue.Apply(c)
		if errors.Is(err, catalogue.ErrFork) {
			s.SetForkRevision(c.Revision)
		}
		if err != nil {
			return adopted, err
		}
		adopted = adopted || isNew
	}
	if adopted {
		s.NotifyChanged()
	}
	return adopted, nil
}

// forkLifetime is how long a noted fork counts after it was last seen.
const forkLifetime = 15 * time.Second

// SetForkRevision notes a revision that another history holds too. 0 clears it. It returns whether that is new.
func (s *State) SetForkRevision(revision uint64) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	isNew := s.currentFork() == 0 && revision > 0
	s.forkRevision = revision
	s.forkSeenAt = time.Now()
	return isNew
}

// ForkRevision returns the noted revision of another history, or 0.
func (s *State) ForkRevision() uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.currentFork()
}

func (s *State) currentFork() uint64 {
	if time.Since(s.forkSeenAt) > forkLifetime {
		return 0
	}
	return s.forkRevision
}

// SetStoreBehind notes how many revisions the store lacked when it was last checked.
func (s *State) SetStoreBehind(missing uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.storeBehind = missing
}

// StoreBehind returns how many revisions the store lacked when it was last checked.
func (s *State) StoreBehind() uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.storeBehind
}
