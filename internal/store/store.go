// Package store talks to the platform's key-value service. It uses the published HTTP protocol of Consul's key-value
// store: GET with blocking queries, PUT with compare-and-swap, and DELETE with compare-and-swap. When the service
// cannot be reached each call returns an error with step and peer. A write without an answer gives ErrUnsettled: it
// may take effect, now or later.
package store

import (
	"context"
	"errors"
	"time"
)

// Errors of the store that callers tell apart.
var (
	// ErrOutcomeUnknown means that a write may or may not have taken effect.
	ErrOutcomeUnknown = errors.New("no answer to the write")
	// ErrUnreachable means that a read got no answer, or that a write was never sent.
	ErrUnreachable = errors.New("the store cannot be reached")
	// ErrConflict means that another change took the revision first.
	ErrConflict = errors.New("another change was accepted first")
)

// maxValueBytes is the longest value that the service holds.
const maxValueBytes = 1 << 20

// Value is the value of a key.
type Value struct {
	Data []byte
	// Index grows with each write of the key. It is 0 where the key does not exist.
	Index uint64
}

// Pair is a key with its value.
type Pair struct {
	Key string
	Value
}

// Store is the key-value service. Only compare-and-swap of a single key is relied on.
type Store interface {
	// Get returns the value of a key. A missing key has index 0.
	Get(ctx context.Context, key string) (Value, error)
	// List returns all pairs whose key begins with prefix, in the order of their keys.
	List(ctx context.Context, prefix string) ([]Pair, error)
	// Keys returns the keys that begin with prefix, in order.
	Keys(ctx context.Context, prefix string) ([]string, error)
	// Wait returns when the service's index of the key is above index, or after timeout. It also returns the index
	// for the next call.
	Wait(ctx context.Context, key string, index uint64, timeout time.Duration) (Value, uint64, error)
	// CompareAndSwap writes the value if the key's index is the given one. Index 0 creates the key.
	CompareAndSwap(ctx context.Context, key string, data []byte, index uint64) (bool, error)
	// Delete removes a key. Removing a missing key is no error.
	Delete(ctx context.Context, key string) error
}
