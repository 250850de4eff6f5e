// Package kv describes a key-value store with revisions, watches and leases, as the gateway needs it from its platform.
// Package platform implements it over the wire; package kvtest implements it in memory.
//
// A call that fails with ErrUnsettled may have taken effect or may do so later. With any other error nothing was done.
package kv

import (
	"context"
	"errors"
	"time"
)

// Errors of a store. They stand inside errors that name the step and the store's address.
var (
	// ErrUnavailable means that the store did not carry out the call.
	ErrUnavailable = errors.New("the store is unavailable")
	// ErrOutcomeUnknown means that a write got no answer.
	ErrOutcomeUnknown = errors.New("the write has no known outcome")
	// ErrCompacted means that the store has discarded the history that a watch needs.
	ErrCompacted = errors.New("the history after this revision is discarded")
	// ErrConflict means that a precondition of a transaction does not hold.
	ErrConflict = errors.New("a precondition of the transaction does not hold")
	// ErrNoLease means that the lease has ended.
	ErrNoLease = errors.New("the lease has ended")
)

// LeaseID names a lease. Zero stands for none.
type LeaseID uint64

// Item is a key as it was last written, or the news that it is gone.
type Item struct {
	Key   string
	Value []byte
	// Revision is the revision of the last change of the key.
	Revision uint64
	Lease    LeaseID
	// Deleted is set in changes only. Value is empty then.
	Deleted bool
}

// Page is a part of a range in the order of keys.
type Page struct {
	Items []Item
	// More tells that the range goes on after the last item.
	More bool
	// Revision is the store's revision when the page was read.
	Revision uint64
}

// Changes are the changes that a watch returned, in order.
type Changes struct {
	Items []Item
	// Revision is what the next watch continues from.
	Revision uint64
}

// Precondition demands that a key was last changed at Revision. Revision 0 demands that the key does not exist.
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

// Txn is carried out whole or not at all.
type Txn struct {
	Preconditions []Precondition
	Writes        []Write
	Deletes       []string
}

// Store is a client of a key-value store.
type Store interface {
	// Range returns the page of keys with the prefix that begins after the key after. It is linearizable.
	Range(ctx context.Context, prefix, after string) (Page, error)
	// RangeStale is a Range that may be seconds old. It costs a tenth and does not count towards the store's rates.
	RangeStale(ctx context.Context, prefix, after string) (Page, error)
	// Watch waits for changes after a revision. It returns no changes when wait has passed.
	Watch(ctx context.Context, prefix string, after uint64, wait time.Duration) (Changes, error)
	// Commit carries out a transaction and returns its revision.
	Commit(ctx context.Context, t Txn) (uint64, error)
	// Grant makes a lease. The store may choose another time to live than the one asked for.
	Grant(ctx context.Context, ttl time.Duration) (LeaseID, time.Duration, error)
	// KeepAlive renews a lease.
	KeepAlive(ctx context.Context, id LeaseID) error
	// Revoke ends a lease and removes its keys.
	Revoke(ctx context.Context, id LeaseID) error
}
