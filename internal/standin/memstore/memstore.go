// Package memstore is a stand-in for the platform's key-value service within one process, for tests under fake time.
// It can lose answers, let writes land late, show older states and go back to a backup.
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
	// latency is the time of a call.
	latency = 2 * time.Millisecond
	// responseTimeout is when a caller gives up on an answer.
	responseTimeout = 500 * time.Millisecond
)

// Fault is how the service misbehaves.
type Fault struct {
	// Down makes each call end without effect.
	Down bool
	// LostResponsePercent is the share of writes that take effect and end without an answer.
	LostResponsePercent int
	// LateWritePercent is the share of writes that take effect up to MaxDelay later and end without an answer.
	LateWritePercent int
	MaxLateness      time.Duration
	// Lag makes reads show the state of so long ago.
	Lag time.Duration
}

type version struct {
	value     store.Value
	writtenAt time.Time
}

// Service is the key-value service.
type Service struct {
	mu      sync.Mutex
	index   uint64
	pairs   map[string][]version
	backup  map[string][]version
	fault   Fault
	random  *rand.Rand
	changed chan struct{}
	calls   int
}

// New returns an empty service whose faults are drawn from seed.
func New(seed uint64) *Service {
	return &Service{
		index: 1, pairs: map[string][]version{}, changed: make(chan struct{}), random: rand.New(rand.NewPCG(seed, 1)),
	}
}

// SetFault sets how the service misbehaves from now on.
func (s *Service) SetFault(f Fault) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.fault = f
	s.notifyWaiters()
}

// Calls returns how many calls were made.
func (s *Service) Calls() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.calls
}

// Backup keeps the present state for Restore.
func (s *Service) Backup() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.backup = clonePairs(s.pairs)
}

// Restore goes back to the state of the last Backup.
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

func (s *Service) notifyWaiters() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// beginCall counts a call and returns the fault that it meets.
func (s *Service) beginCall() (Fault, int) {
	time.Sleep(latency)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.calls++
	return s.fault, s.random.IntN(100)
}

// read returns what a replica shows that lags behind. The lock is held.
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
		return false, store.ErrUnsettled
	}
	written := s.write(key, data, index)
	if draw < fault.LateWritePercent+fault.LostResponsePercent {
		periodic.Pause(ctx, responseTimeout)
		return false, store.ErrUnsettled
	}
	return written, nil
}

func (s *Service) writeLate(fault Fault, key string, data []byte, index uint64) {
	s.mu.Lock()
	delay := time.Duration(s.random.Int64N(int64(fault.MaxLateness) + 1))
	s.mu.Unlock()
	time.Sleep(delay)
	s.write(key, data, index)
}

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
