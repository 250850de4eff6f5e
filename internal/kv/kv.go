// Package kv defines the interface of the key-value store with revisions, watches and leases that the gateway needs
// from its platform. Package platform implements it over the network; package kvtest implements it in memory.
//
// A call that fails with ErrOutcomeUnknown may have taken effect or may still do so. A call that fails with any other
// error has no effect.
package kv

import (
	"cmp"
	"context"
	"errors"
	"time"
)

// Errors of a store. Implementations wrap them in errors that name the operation and the store's address.
var (
	// ErrUnavailable means that the store did not execute the call.
	ErrUnavailable = errors.New("the store is unavailable")
	// ErrOutcomeUnknown means that a write received no response.
	ErrOutcomeUnknown = errors.New("the write has no known outcome")
	// ErrCompacted means that the store has discarded the history that a watch needs.
	ErrCompacted = errors.New("the history after this revision is discarded")
	// ErrTooLarge means that the response has more bytes than are accepted. Another call may return less at a time.
	ErrTooLarge = errors.New("the response is too large")
	// ErrConflict means that a precondition of a transaction was not met.
	ErrConflict = errors.New("a precondition of the transaction does not hold")
	// ErrNoLease means that the lease has ended.
	ErrNoLease = errors.New("the lease has ended")
)

// LeaseID identifies a lease. Zero means no lease.
type LeaseID uint64

// Position is a point in the history of a store. A store that has been restored from an older copy of itself begins a new era,
// in which it gives out again revisions that it had given out before. Positions of different eras are ordered by the era.
type Position struct {
	Era      uint64
	Revision uint64
}

// Compare returns a negative number if p precedes other, 0 if they are equal, and a positive number otherwise.
func (p Position) Compare(other Position) int {
	return cmp.Or(cmp.Compare(p.Era, other.Era), cmp.Compare(p.Revision, other.Revision))
}

// After reports whether p follows other.
func (p Position) After(other Position) bool { return p.Compare(other) > 0 }

// Lease keeps the keys that are attached to it until it ends.
type Lease struct {
	ID LeaseID
	// TTL is how long the lease runs without a renewal.
	TTL time.Duration
	// Era is that in which the lease was granted. In a later one its ID may belong to another lease.
	Era uint64
}

// Item is the state of a key after its last change: a value or its deletion.
type Item struct {
	Key   string
	Value []byte
	// Revision is the revision of the last change of the key.
	Revision uint64
	Lease    LeaseID
	// Deleted is set if the key was deleted. It occurs only in changes, and Value is then empty.
	Deleted bool
}

// Page is a part of a range, sorted by key.
type Page struct {
	Items []Item
	// More is set if the range continues after the last item.
	More bool
	// Revision is the store's revision when the page was read, and Era the one that it belongs to.
	Revision uint64
	Era      uint64
}

// Changes holds the changes that a watch returned, in order.
type Changes struct {
	Items []Item
	// Revision is the revision from which the next watch continues, and Era the one that it belongs to. The changes are those of
	// a copy only if it is of the same era.
	Revision uint64
	Era      uint64
}

// Precondition requires that a key was last changed at Revision. Revision 0 requires that the key does not exist.
type Precondition struct {
	Key      string
	Revision uint64
}

// Write sets a key.
type Write struct {
	Key   string
	Value []byte
	Lease LeaseID
}

// Txn is a transaction: it is executed completely or not at all.
type Txn struct {
	Preconditions []Precondition
	Writes        []Write
	Deletes       []string
}

// Store is a client of a key-value store.
type Store interface {
	// Range returns the page of keys with the prefix that begins after the key after. The read is linearizable.
	Range(ctx context.Context, prefix, after string) (Page, error)
	// RangeStale is a Range whose result may be seconds old. It costs a tenth of a Range and does not count towards the
	// store's rate limits.
	RangeStale(ctx context.Context, prefix, after string) (Page, error)
	// Watch waits for changes after a revision. It returns no changes if there are none within wait.
	Watch(ctx context.Context, prefix string, after uint64, wait time.Duration) (Changes, error)
	// Commit executes a transaction and returns its revision.
	Commit(ctx context.Context, t Txn) (uint64, error)
	// Grant creates a lease. The store may choose another time to live than requested.
	Grant(ctx context.Context, ttl time.Duration) (Lease, error)
	// KeepAlive renews a lease.
	KeepAlive(ctx context.Context, id LeaseID) error
	// Revoke ends a lease and removes its keys.
	Revoke(ctx context.Context, id LeaseID) error
	// Era returns the latest era of which this client has received a response, or 0 before the first one.
	Era() uint64
}
