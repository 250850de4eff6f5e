// Package memstore simulates the platform's key-value service in memory, for tests with a fake clock. It can lose
// responses, apply writes late, serve stale reads and return to a backup.
package memstore

import (
	"context"
	"maps"
	"math/rand/v2"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/primroseladder/primroseladder/internal/periodic"
	"github.com/primroseladder/primroseladder/internal/store"
)

const (
	// latency is the duration of a call without faults.
	latency = 2 * time.Millisecond
	// responseTimeout is how long a write whose response is lost blocks before it fails.
	responseTimeout = 500 * time.Millisecond
)

// Fault describes how the service misbehaves.
type Fault struct {
	// Down makes every call fail without effect.
	Down bool
	// LostResponsePercent is the percentage of writes that take effect but whose response is lost.
	LostResponsePercent int
	// LateWritePercent is the percentage of writes that take effect up to MaxLateness later and whose response is lost.
	LateWritePercent int
	MaxLateness      time.Duration
	// Lag is the age of the state that reads return.
	Lag time.Duration
}

// version is one value in the history of a key.
type version struct {
	value     store.Value
	writtenAt time.Time
}

// Service is the key-value service. It implements store.Store and is safe for concurrent use.
type Service struct {
	mu sync.Mutex
	// index is the index of the last write.
	index uint64
	// pairs holds the versions of each key, oldest first.
	pairs  map[string][]version
	backup map[string][]version
	fault  Fault
	random *rand.Rand
	// changed is closed at the next change of pairs or fault.
	changed chan struct{}
	calls   int
}

// New returns an empty service whose random faults derive from seed.
func New(seed uint64) *Service {
	return &Service{
		index: 1, pairs: map[string][]version{}, changed: make(chan struct{}), random: rand.New(rand.NewPCG(seed, 1)),
	}
}

// SetFault replaces the current fault. The new one also applies to calls of Wait in progress.
func (s *Service) SetFault(f Fault) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.fault = f
	s.notifyWaiters()
}

// Calls returns the number of calls made so far.
func (s *Service) Calls() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.calls
}

// Backup saves the current state for Restore.
func (s *Service) Backup() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.backup = clonePairs(s.pairs)
}

// Restore returns to the state of the last Backup. The index of the service does not decrease.
func (s *Service) Restore() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.pairs = clonePairs(s.backup)
	s.notifyWaiters()
}

func clonePairs(pairs map[string][]version) map[string][]version {
	out := map[string][]version{}
	for key, versions := range pairs {
		out[key] = slices.Clone(versions)
	}
	return out
}

// notifyWaiters wakes all calls of Wait. The caller holds the lock.
func (s *Service) notifyWaiters() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// beginCall counts a call and returns the current fault and a random number from 0 to 99 that decides whether it applies.
func (s *Service) beginCall() (Fault, int) {
	time.Sleep(latency)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.calls++
	return s.fault, s.random.IntN(100)
}

// read returns the newest value that is at least as old as the lag, as a lagging replica does. The caller holds the lock.
func (s *Service) read(key string) store.Value {
	versions := s.pairs[key]
	for i := len(versions) - 1; i >= 0; i-- {
		if time.Since(versions[i].writtenAt) >= s.fault.Lag {
			return versions[i].value
		}
	}
	return store.Value{}
}

// Get implements store.Store.
func (s *Service) Get(_ context.Context, key string) (store.Value, error) {
	if fault, _ := s.beginCall(); fault.Down {
		return store.Value{}, store.ErrUnreachable
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.read(key), nil
}

// List implements store.Store.
func (s *Service) List(_ context.Context, prefix string) ([]store.Pair, error) {
	if fault, _ := s.beginCall(); fault.Down {
		return nil, store.ErrUnreachable
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	var out []store.Pair
	for _, key := range slices.Sorted(maps.Keys(s.pairs)) {
		if value := s.read(key); strings.HasPrefix(key, prefix) && value.Index > 0 {
			out = append(out, store.Pair{Key: key, Value: value})
		}
	}
	return out, nil
}

// Keys implements store.Store.
func (s *Service) Keys(ctx context.Context, prefix string) ([]string, error) {
	pairs, err := s.List(ctx, prefix)
	var keys []string
	for _, p := range pairs {
		keys = append(keys, p.Key)
	}
	return keys, err
}

// Wait implements store.Store.
func (s *Service) Wait(ctx context.Context, key string, index uint64, timeout time.Duration) (store.Value, uint64, error) {
	if fault, _ := s.beginCall(); fault.Down {
		return store.Value{}, 0, store.ErrUnreachable
	}
	deadline := time.Now().Add(timeout)
	for {
		s.mu.Lock()
		value, current, changed, down := s.read(key), s.index, s.changed, s.fault.Down
		s.mu.Unlock()
		if down {
			return store.Value{}, 0, store.ErrUnreachable
		}
		if value.Index > index || index == 0 || !time.Now().Before(deadline) {
			return value, max(value.Index, min(current, index+1)), nil
		}
		select {
		case <-ctx.Done():
			return store.Value{}, 0, ctx.Err()
		case <-changed:
		case <-time.After(time.Until(deadline)):
		}
	}
}

// CompareAndSwap implements store.Store.
func (s *Service) CompareAndSwap(ctx context.Context, key string, data []byte, index uint64) (bool, error) {
	fault, draw := s.beginCall()
	if fault.Down {
		return false, store.ErrUnreachable
	}
	if draw < fault.LateWritePercent {
		go s.writeLate(fault, key, data, index)
		periodic.Pause(ctx, responseTimeout)
		return false, store.ErrOutcomeUnknown
	}
	written := s.write(key, data, index)
	if draw < fault.LateWritePercent+fault.LostResponsePercent {
		periodic.Pause(ctx, responseTimeout)
		return false, store.ErrOutcomeUnknown
	}
	return written, nil
}

// writeLate performs a write after a random delay.
func (s *Service) writeLate(fault Fault, key string, data []byte, index uint64) {
	s.mu.Lock()
	delay := time.Duration(s.random.Int64N(int64(fault.MaxLateness) + 1))
	s.mu.Unlock()
	time.Sleep(delay)
	s.write(key, data, index)
}

// write appends a version if the index of the key is the given one, and reports whether it did.
func (s *Service) write(key string, data []byte, index uint64) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	versions := s.pairs[key]
	var current uint64
	if len(versions) > 0 {
		current = versions[len(versions)-1].value.Index
	}
	if current != index {
		return false
	}
	s.index++
	s.pairs[key] = append(versions, version{store.Value{Data: data, Index: s.index}, time.Now()})
	s.notifyWaiters()
	return true
}

// Delete implements store.Store.
func (s *Service) Delete(_ context.Context, key string) error {
	if fault, _ := s.beginCall(); fault.Down {
		return store.ErrUnreachable
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.pairs, key)
	return nil
}
