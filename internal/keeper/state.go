// Package keeper implements primrose-keeper. It follows the catalogue and the VM list, passes both to the entry on
// the same VM and to other keepers, and answers callers that ask which VMs to use. While the store or the VM list is
// unreachable, the last known state stays in force.
package keeper

import (
	"errors"
	"sync"
	"time"

	"github.com/primroseladder/primroseladder/internal/catalogue"
	"github.com/primroseladder/primroseladder/internal/fleet"
)

// State is the state of a keeper that its parts share: the catalogue, the VM list, the leave notices, and how current
// they are. Changed reports when any of these changes.
type State struct {
	Catalogue *catalogue.State
	Freshness *Freshness
	Readiness *Readiness

	mu sync.Mutex
	// list is the platform's VM list, and view is the same list with the VMs that have a leave notice marked.
	list         *fleet.View
	view         *fleet.View
	leaveNotices leaveNotices
	// deltas holds the latest deltas, up to list.
	deltas deltaHistory
	// listConfirmed is the last time at which list is known to have been the platform's newest.
	listConfirmed time.Time
	changed       chan struct{}
	forkRevision  uint64
	forkSeenAt    time.Time
	storeBehind   uint64
}

// NewState returns an empty state.
func NewState() *State {
	empty := fleet.NewView(0, nil)
	return &State{
		Catalogue: catalogue.NewState(), Freshness: NewFreshness(), Readiness: NewReadiness(),
		list: empty, view: empty, changed: make(chan struct{}),
	}
}

// View returns the newest VM list, in which the VMs with a leave notice are marked as leaving.
func (s *State) View() *fleet.View {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.view
}

// List returns the newest VM list as the platform reports it.
func (s *State) List() *fleet.View {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.list
}

// SetList adopts a VM list if its index is higher. Unchanged parts are shared with the previous list.
func (s *State) SetList(v *fleet.View) {
	s.mu.Lock()
	adopted := v.Index > s.list.Index
	if adopted {
		delta := v.Diff(s.list)
		s.deltas.add(s.list.Index, delta)
		s.list = s.list.With(delta)
		if s.leaveNotices.deferToList(s.list) {
			s.leaveNotices.version++
		}
		s.view = s.list.WithLeaving(s.leaveNotices.names())
	}
	s.mu.Unlock()
	if adopted {
		s.NotifyChanged()
	}
}

// ConfirmList records that the list was the platform's newest at the given time.
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

// ListConfirmed returns the last time at which the list was the platform's newest.
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

// NotifyChanged wakes all that wait for Changed.
func (s *State) NotifyChanged() {
	s.mu.Lock()
	defer s.mu.Unlock()
	close(s.changed)
	s.changed = make(chan struct{})
}

// ApplyChanges applies changes in order, up to the first that fails. It returns whether any was new.
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

// forkLifetime is how long a fork stays in force after it was last seen.
const forkLifetime = 15 * time.Second

// SetForkRevision records a revision at which the store or another keeper has a different history. 0 clears it. It
// returns whether this is the beginning of a fork.
func (s *State) SetForkRevision(revision uint64) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	isNew := s.currentFork() == 0 && revision > 0
	s.forkRevision = revision
	s.forkSeenAt = time.Now()
	return isNew
}

// ForkRevision returns the recorded revision of a fork, or 0 if there is none.
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

// SetStoreBehind records how many revisions the store lacked when it was last checked.
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
