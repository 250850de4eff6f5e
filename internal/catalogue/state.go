package catalogue

import (
	"errors"
	"maps"
	"slices"
	"sync"
)

// Errors of Apply for a change that does not continue the current history.
var (
	// ErrGap means that the change does not follow the current revision.
	ErrGap = errors.New("the change does not follow the current revision")
	// ErrFork means that the change belongs to another history: one revision has two operation ids.
	ErrFork = errors.New("the change belongs to another history")
)

const (
	// maxHistoryChanges limits the number of changes that are kept for peers that lag behind and to repair the store.
	maxHistoryChanges = 1024
	// maxHistoryBytes limits the approximate size of the kept changes. The newest change is kept even if it is larger.
	maxHistoryBytes = 4 << 20
)

// State is the catalogue at the newest revision that this process knows. The revision never decreases.
type State struct {
	mu          sync.RWMutex
	revision    uint64
	operationID string
	entries     map[string]EncodedEntry
	history     []*Change
	historySize int
}

// NewState returns an empty catalogue at revision 0.
func NewState() *State {
	return &State{entries: map[string]EncodedEntry{}}
}

// Revision returns the newest adopted revision.
func (s *State) Revision() uint64 {
	s.mu.RLock()
	defer s.mu.RUnlock()
	return s.revision
}

// Position returns the newest adopted revision with its operation id.
func (s *State) Position() (uint64, string) {
	s.mu.RLock()
	defer s.mu.RUnlock()
	return s.revision, s.operationID
}

// OperationID returns the operation id of a revision, and false if the history does not include it.
func (s *State) OperationID(revision uint64) (string, bool) {
	s.mu.RLock()
	defer s.mu.RUnlock()
	return s.operationIDAt(revision)
}

func (s *State) operationIDAt(revision uint64) (string, bool) {
	if revision == s.revision {
		return s.operationID, true
	}
	if revision > s.revision || s.revision-revision >= uint64(len(s.history)) {
		return "", false
	}
	return s.history[len(s.history)-1-int(s.revision-revision)].OperationID, true
}

// Apply applies the change if it follows the current revision, and returns whether it did. It returns false without an
// error for an old change, ErrGap for a change that skips revisions, and ErrFork for a change of another history.
func (s *State) Apply(c *Change) (bool, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if c.Revision <= s.revision {
		known, ok := s.operationIDAt(c.Revision)
		if ok && known != c.OperationID {
			return false, ErrFork
		}
		return false, nil
	}
	if c.Revision != s.revision+1 {
		return false, ErrGap
	}
	if s.revision > 0 && c.PreviousOperationID != s.operationID {
		return false, ErrFork
	}
	for _, e := range c.Entries {
		s.entries[e.Service] = e
	}
	for _, name := range c.Removed {
		delete(s.entries, name)
	}
	s.revision = c.Revision
	s.operationID = c.OperationID
	s.appendHistory(c)
	return true, nil
}

// appendHistory adds a change to the history and drops the oldest changes beyond its limits.
func (s *State) appendHistory(c *Change) {
	s.history = append(s.history, c)
	s.historySize += c.size()
	drop := 0
	for len(s.history)-drop > 1 && (len(s.history)-drop > maxHistoryChanges || s.historySize > maxHistoryBytes) {
		s.historySize -= s.history[drop].size()
		drop++
	}
	s.history = slices.Delete(s.history, 0, drop)
}

// Replace adopts a whole catalogue if its revision is higher, and returns whether it did. The history starts anew.
func (s *State) Replace(revision uint64, operationID string, entries []EncodedEntry) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if revision <= s.revision {
		return false
	}
	s.revision = revision
	s.operationID = operationID
	s.history = nil
	s.historySize = 0
	s.entries = make(map[string]EncodedEntry, len(entries))
	for _, e := range entries {
		s.entries[e.Service] = e
	}
	return true
}

// Snapshot returns the revision, its operation id and all entries, sorted by service name.
func (s *State) Snapshot() (uint64, string, []EncodedEntry) {
	s.mu.RLock()
	defer s.mu.RUnlock()
	names := slices.Sorted(maps.Keys(s.entries))
	out := make([]EncodedEntry, 0, len(names))
	for _, name := range names {
		out = append(out, s.entries[name])
	}
	return s.revision, s.operationID, out
}

// Entry returns the entry of a service.
func (s *State) Entry(service string) (EncodedEntry, bool) {
	s.mu.RLock()
	defer s.mu.RUnlock()
	e, found := s.entries[service]
	return e, found
}

// ChangesSince returns the changes after revision in order, and false if the history does not include all of them.
func (s *State) ChangesSince(revision uint64) ([]*Change, bool) {
	s.mu.RLock()
	defer s.mu.RUnlock()
	if revision >= s.revision {
		return nil, true
	}
	if s.revision-revision > uint64(len(s.history)) {
		return nil, false
	}
	return slices.Clone(s.history[len(s.history)-int(s.revision-revision):]), true
}

// History returns all kept changes in order.
func (s *State) History() []*Change {
	s.mu.RLock()
	defer s.mu.RUnlock()
	return slices.Clone(s.history)
}
