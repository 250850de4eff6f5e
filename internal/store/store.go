// Package store is the client of the platform's key-value service and defines the catalogue's layout in it: a change
// log and snapshots. It uses the published HTTP protocol of Consul's key-value store: GET with blocking queries, PUT
// with compare-and-swap, and DELETE. If the service cannot be reached, a call returns an error with operation and peer. A
// write without a response returns ErrOutcomeUnknown: it may take effect, now or later.
package store

import (
	"context"
	"errors"
	"time"
)

// Errors that callers distinguish by errors.Is.
var (
	// ErrOutcomeUnknown means that a write may or may not have taken effect.
	ErrOutcomeUnknown = errors.New("no answer to the write")
	// ErrUnreachable means that a read got no usable response, or that a write was never sent.
	ErrUnreachable = errors.New("the store cannot be reached")
	// ErrConflict means that another change with the same revision was accepted first.
	ErrConflict = errors.New("another change was accepted first")
)

// maxValueBytes is the size of the largest value that the service accepts.
const maxValueBytes = 1 << 20

// Value is the value of a key.
type Value struct {
	Data []byte
	// Index increases with each write of the key. It is 0 if the key does not exist.
	Index uint64
}

// Pair is a key with its value.
type Pair struct {
	Key string
	Value
}

// Store is the key-value service. Its only required atomic operation is compare-and-swap of a single key.
type Store interface {
	// Get returns the value of a key. A missing key has index 0.
	Get(ctx context.Context, key string) (Value, error)
	// List returns all pairs whose key begins with prefix, in the order of their keys.
	List(ctx context.Context, prefix string) ([]Pair, error)
	// Keys returns the keys that begin with prefix, in order.
	Keys(ctx context.Context, prefix string) ([]string, error)
	// Wait is a blocking query: it returns once the service's index of the key is above index, or after timeout. It
	// also returns the index to pass to the next call.
	Wait(ctx context.Context, key string, index uint64, timeout time.Duration) (Value, uint64, error)
	// CompareAndSwap writes the value if the key's current index equals index, and returns whether it did. Index 0
	// creates the key.
	CompareAndSwap(ctx context.Context, key string, data []byte, index uint64) (bool, error)
	// Delete removes a key. Removing a missing key is no error.
	Delete(ctx context.Context, key string) error
}
