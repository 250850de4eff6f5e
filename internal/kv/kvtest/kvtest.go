// Package kvtest is a key-value store in memory for tests, with the faults of a real one: it can be down, turn single
// clients away, lose answers, and discard its history while a watch waits.
package kvtest

import (
	"context"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/primroseladder/primroseladder/internal/kv"
)

// Store is shared by the clients of a test.
type Store struct {
	mu       sync.Mutex
	revision uint64
	items    map[string]kv.Item
	history  []kv.Item
	// compacted is the revision up to which the history is discarded.
	compacted          uint64
	watchesMissChanges bool
	changed            chan struct{}
	leases             map[kv.LeaseID]lease
	nextLease          kv.LeaseID
	calls              int
	// readLimit is how many reads are carried out in a second; 0 stands for no limit.
	readLimit int
	// reads are the times of the reads of the last second.
	reads []time.Time
	// itemTime is how long an item takes over the link that all answers of ranges share; 0 stands for no time.
	itemTime time.Duration
	// linkFreeAt is when the link has carried all answers so far.
	linkFreeAt time.Time
}

// lease is a lease with the time at which Expire ends it.
type lease struct {
	ttl  time.Duration
	ends time.Time
}

// New returns an empty store.
func New() *Store {
	return &Store{revision: 1, items: map[string]kv.Item{}, changed: make(chan struct{}), leases: map[kv.LeaseID]lease{}}
}

// Calls returns how many calls were made, refused ones included.
func (s *Store) Calls() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.calls
}

// Put writes a key as an operator or a backend server does.
func (s *Store) Put(key, value string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.put(kv.Item{Key: key, Value: []byte(value)})
}

// Delete removes a key.
func (s *Store) Delete(key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.put(kv.Item{Key: key, Deleted: true})
}

func (s *Store) put(i kv.Item) {
	s.revision++
	i.Revision = s.revision
	if i.Deleted {
		delete(s.items, i.Key)
	} else {
		s.items[i.Key] = i
	}
	s.history = append(s.history, i)
	if !s.watchesMissChanges {
		close(s.changed)
		s.changed = make(chan struct{})
	}
}

// Compact discards the history. Watches that wait are not told of it.
func (s *Store) Compact() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.compacted, s.history = s.revision, nil
}

// SetReadLimit makes the store refuse reads beyond a number in any second.
func (s *Store) SetReadLimit(perSecond int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.readLimit = perSecond
}

// SetLinkRate makes all answers of ranges share a link that carries a number of items in a second.
func (s *Store) SetLinkRate(itemsPerSecond int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.itemTime = time.Second / time.Duration(itemsPerSecond)
}

// rangeTimeout ends a range whose answer is still on the link.
const rangeTimeout = 1500 * time.Millisecond

// transfer waits until the link has carried an answer. An answer that comes too late uses the link as well.
func (s *Store) transfer(ctx context.Context, items int) error {
	s.mu.Lock()
	now := time.Now()
	if s.linkFreeAt.Before(now) {
		s.linkFreeAt = now
	}
	s.linkFreeAt = s.linkFreeAt.Add(time.Duration(items) * s.itemTime)
	wait := s.linkFreeAt.Sub(now)
	s.mu.Unlock()
	isLate := wait > rangeTimeout
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-time.After(min(wait, rangeTimeout)):
	}
	if isLate {
		return kv.ErrUnavailable
	}
	return nil
}

// allowRead reports whether a read is within the limit.
func (s *Store) allowRead(now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.readLimit == 0 {
		return true
	}
	s.reads = slices.DeleteFunc(s.reads, func(at time.Time) bool { return now.Sub(at) >= time.Second })
	if len(s.reads) >= s.readLimit {
		return false
	}
	s.reads = append(s.reads, now)
	return true
}

// SetWatchesMissChanges makes watches miss the changes that are made meanwhile.
func (s *Store) SetWatchesMissChanges(misses bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.watchesMissChanges = misses
}

// Client returns a client with faults of its own.
func (s *Store) Client() *Client { return &Client{store: s} }

// Client is one VM's way to the store.
type Client struct {
	store *Store

	mu           sync.Mutex
	isDown       bool
	isHanging    bool
	losesAnswers bool
}

// SetDown makes all calls fail at once.
func (c *Client) SetDown(isDown bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.isDown = isDown
}

// SetHanging makes all calls wait until their context ends, those that already wait included.
func (c *Client) SetHanging(isHanging bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.isHanging = isHanging
}

// SetLosesAnswers makes writes take effect without an answer.
func (c *Client) SetLosesAnswers(loses bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.losesAnswers = loses
}

func (c *Client) faults() (isDown, isHanging, losesAnswers bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.isDown, c.isHanging, c.losesAnswers
}

// hangTimeout ends a call to a silent store, as the timeouts of a real client do.
const hangTimeout = 2500 * time.Millisecond

func (c *Client) startCall(ctx context.Context) error {
	c.store.mu.Lock()
	c.store.calls++
	c.store.mu.Unlock()
	isDown, isHanging, _ := c.faults()
	if isHanging {
		return c.hang(ctx)
	}
	if isDown {
		return kv.ErrUnavailable
	}
	return nil
}

// startRead is enter for reads, which have a limit.
func (c *Client) startRead(ctx context.Context) error {
	if err := c.startCall(ctx); err != nil {
		return err
	}
	if !c.store.allowRead(time.Now()) {
		return kv.ErrUnavailable
	}
	return nil
}

func (c *Client) hang(ctx context.Context) error {
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-time.After(hangTimeout):
		return kv.ErrUnavailable
	}
}

// pageSize is how many items a page has.
const pageSize = 50

// Range implements kv.Store.
func (c *Client) Range(ctx context.Context, prefix, after string) (kv.Page, error) {
	if err := c.startRead(ctx); err != nil {
		return kv.Page{}, err
	}
	page := c.store.page(prefix, after)
	return page, c.store.transfer(ctx, len(page.Items))
}

// page returns the items after a key.
func (s *Store) page(prefix, after string) kv.Page {
	s.mu.Lock()
	defer s.mu.Unlock()
	var keys []string
	for key := range s.items {
		if strings.HasPrefix(key, prefix) && key > after {
			keys = append(keys, key)
		}
	}
	slices.Sort(keys)
	page := kv.Page{Revision: s.revision, More: len(keys) > pageSize}
	for _, key := range keys[:min(pageSize, len(keys))] {
		page.Items = append(page.Items, s.items[key])
	}
	return page
}

// RangeStale implements kv.Store. It reads what is in force: that it may be old need not show.
func (c *Client) RangeStale(ctx context.Context, prefix, after string) (kv.Page, error) {
	return c.Range(ctx, prefix, after)
}

// Watch implements kv.Store.
func (c *Client) Watch(ctx context.Context, prefix string, after uint64, wait time.Duration) (kv.Changes, error) {
	if err := c.startRead(ctx); err != nil {
		return kv.Changes{}, err
	}
	timeout := time.After(wait)
	for {
		changes, next, err := c.store.changesSince(prefix, after)
		if err != nil || len(changes.Items) > 0 {
			return c.answer(ctx, changes, err)
		}
		select {
		case <-ctx.Done():
			return kv.Changes{}, ctx.Err()
		case <-timeout:
			changes, _, err = c.store.changesSince(prefix, after)
			return c.answer(ctx, changes, err)
		case <-next:
		}
	}
}

func (c *Client) answer(ctx context.Context, changes kv.Changes, err error) (kv.Changes, error) {
	isDown, isHanging, _ := c.faults()
	if isHanging {
		return kv.Changes{}, c.hang(ctx)
	}
	if isDown {
		return kv.Changes{}, kv.ErrUnavailable
	}
	return changes, err
}

func (s *Store) changesSince(prefix string, after uint64) (kv.Changes, <-chan struct{}, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if after < s.compacted {
		return kv.Changes{}, nil, kv.ErrCompacted
	}
	out := kv.Changes{Revision: s.revision}
	for _, i := range s.history {
		if i.Revision > after && strings.HasPrefix(i.Key, prefix) {
			out.Items = append(out.Items, i)
		}
	}
	return out, s.changed, nil
}

// Commit implements kv.Store.
func (c *Client) Commit(ctx context.Context, t kv.Txn) (uint64, error) {
	if err := c.startCall(ctx); err != nil {
		return 0, err
	}
	s := c.store
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, p := range t.Preconditions {
		if s.items[p.Key].Revision != p.Revision {
			return 0, kv.ErrConflict
		}
	}
	for _, w := range t.Writes {
		if w.Lease != 0 && s.leases[w.Lease].ends.IsZero() {
			return 0, kv.ErrNoLease
		}
		s.put(kv.Item{Key: w.Key, Value: w.Value, Lease: w.Lease})
	}
	for _, key := range t.Deletes {
		s.put(kv.Item{Key: key, Deleted: true})
	}
	if _, _, loses := c.faults(); loses {
		return 0, kv.ErrOutcomeUnknown
	}
	return s.revision, nil
}

// Grant implements kv.Store.
func (c *Client) Grant(ctx context.Context, ttl time.Duration) (kv.LeaseID, time.Duration, error) {
	if err := c.startCall(ctx); err != nil {
		return 0, 0, err
	}
	s := c.store
	s.mu.Lock()
	defer s.mu.Unlock()
	s.nextLease++
	s.leases[s.nextLease] = lease{ttl: ttl, ends: time.Now().Add(ttl)}
	return s.nextLease, ttl, nil
}

// KeepAlive implements kv.Store.
func (c *Client) KeepAlive(ctx context.Context, id kv.LeaseID) error {
	if err := c.startCall(ctx); err != nil {
		return err
	}
	c.store.mu.Lock()
	defer c.store.mu.Unlock()
	known := c.store.leases[id]
	if known.ends.IsZero() {
		return kv.ErrNoLease
	}
	known.ends = time.Now().Add(known.ttl)
	c.store.leases[id] = known
	return nil
}

// Revoke implements kv.Store.
func (c *Client) Revoke(ctx context.Context, id kv.LeaseID) error {
	if err := c.startCall(ctx); err != nil {
		return err
	}
	c.store.EndLease(id)
	return nil
}

// ExpireLeases ends the leases that were not renewed in time. Without it leases hold until they are ended.
func (s *Store) ExpireLeases(now time.Time) {
	s.mu.Lock()
	var due []kv.LeaseID
	for id, known := range s.leases {
		if now.After(known.ends) {
			due = append(due, id)
		}
	}
	s.mu.Unlock()
	for _, id := range due {
		s.EndLease(id)
	}
}

// EndLease ends a lease and removes its keys.
func (s *Store) EndLease(id kv.LeaseID) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.leases, id)
	for key, i := range s.items {
		if i.Lease == id {
			s.put(kv.Item{Key: key, Deleted: true})
		}
	}
}
