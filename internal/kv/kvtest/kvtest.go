// Package kvtest implements an in-memory key-value store for tests, with the faults of a real one: it can be down,
// refuse individual clients, lose responses, and discard its history while a watch waits.
package kvtest

import (
	"context"
	"maps"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/primroseladder/primroseladder/internal/kv"
)

// Store is shared by all clients of a test.
type Store struct {
	mu       sync.Mutex
	era      uint64
	revision uint64
	items    map[string]kv.Item
	history  []kv.Item
	// compacted is the revision up to which the history has been discarded.
	compacted          uint64
	watchesMissChanges bool
	changed            chan struct{}
	leases             map[kv.LeaseID]lease
	nextLease          kv.LeaseID
	calls              int
	// readLimit is the maximum number of reads per second; 0 means no limit.
	readLimit int
	// reads holds the times of the reads of the last second.
	reads []time.Time
	// itemTime is the transfer time of one item over the link that all responses to ranges share; 0 means no delay.
	itemTime time.Duration
	// linkFreeAt is when the link has transferred all responses so far.
	linkFreeAt time.Time
}

// lease holds the time to live of a lease and the time at which ExpireLeases ends it.
type lease struct {
	ttl  time.Duration
	ends time.Time
}

// New returns an empty store.
func New() *Store {
	return &Store{era: 1, revision: 1, items: map[string]kv.Item{}, changed: make(chan struct{}), leases: map[kv.LeaseID]lease{}}
}

// Calls returns the number of calls made, including refused ones.
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

// Backup is a copy of a store.
type Backup struct {
	revision  uint64
	items     map[string]kv.Item
	history   []kv.Item
	leases    map[kv.LeaseID]lease
	nextLease kv.LeaseID
}

// Backup returns a copy of the store.
func (s *Store) Backup() *Backup {
	s.mu.Lock()
	defer s.mu.Unlock()
	return &Backup{
		revision: s.revision, items: maps.Clone(s.items), history: slices.Clone(s.history), leases: maps.Clone(s.leases),
		nextLease: s.nextLease,
	}
}

// Lost holds what a restored store lacks: the states, as they were before, of the keys that it has in another state.
type Lost struct{ before, restored map[string]kv.Item }

// Restore replaces the content of the store by that of a copy, which begins a new era.
func (s *Store) Restore(b *Backup) *Lost {
	s.mu.Lock()
	defer s.mu.Unlock()
	lost := &Lost{before: s.items, restored: maps.Clone(b.items)}
	s.era++
	s.revision, s.items, s.history = b.revision, maps.Clone(b.items), slices.Clone(b.history)
	s.leases, s.nextLease = maps.Clone(b.leases), b.nextLease
	close(s.changed)
	s.changed = make(chan struct{})
	return lost
}

// Rewrite writes what a restored store has lost, as the owners of the keys do, but for keys that have changed since.
func (s *Store) Rewrite(lost *Lost, isIncluded func(key string) bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	keys := maps.Clone(lost.before)
	maps.Copy(keys, lost.restored)
	for key := range keys {
		before, existed := lost.before[key]
		restored, current := lost.restored[key], s.items[key]
		isChangedSince := current.Revision != restored.Revision
		isSame := existed && restored.Revision == before.Revision
		if !isIncluded(key) || isSame || isChangedSince {
			continue
		}
		s.put(kv.Item{Key: key, Value: before.Value, Deleted: !existed})
	}
}

// Compact discards the history. Pending watches are not notified.
func (s *Store) Compact() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.compacted, s.history = s.revision, nil
}

// SetReadLimit makes the store refuse reads beyond the given number within any second.
func (s *Store) SetReadLimit(perSecond int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.readLimit = perSecond
}

// SetLinkRate makes all responses to ranges share a link with the given rate in items per second.
func (s *Store) SetLinkRate(itemsPerSecond int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.itemTime = time.Second / time.Duration(itemsPerSecond)
}

// rangeTimeout ends a range whose response is still being transferred.
const rangeTimeout = 1500 * time.Millisecond

// transfer waits until the link has transferred a response. A response that arrives too late occupies the link as well.
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

// allowRead reports whether a read is within the limit, and counts it if so.
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

// SetWatchesMissChanges makes pending watches miss the changes made while it is set.
func (s *Store) SetWatchesMissChanges(misses bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.watchesMissChanges = misses
}

// Client returns a client whose faults are set independently of other clients.
func (s *Store) Client() *Client { return &Client{store: s} }

// Client is a client of the store, as one VM uses it.
type Client struct {
	store *Store

	mu             sync.Mutex
	isDown         bool
	isHanging      bool
	losesResponses bool
	// era is that of the last call that was not refused.
	era uint64
}

// Era implements kv.Store.
func (c *Client) Era() uint64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.era
}

func (c *Client) noteEra() {
	c.store.mu.Lock()
	era := c.store.era
	c.store.mu.Unlock()
	c.mu.Lock()
	defer c.mu.Unlock()
	c.era = era
}

// SetDown makes all calls fail at once.
func (c *Client) SetDown(isDown bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.isDown = isDown
}

// SetHanging makes all calls hang until their context ends or they time out, including pending ones.
func (c *Client) SetHanging(isHanging bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.isHanging = isHanging
}

// SetLosesResponses makes writes take effect without a response.
func (c *Client) SetLosesResponses(loses bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.losesResponses = loses
}

func (c *Client) faults() (isDown, isHanging, losesResponses bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.isDown, c.isHanging, c.losesResponses
}

// hangTimeout ends a hanging call, as the timeouts of a real client do.
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
	c.noteEra()
	return nil
}

// startRead is startCall for reads, which are subject to the read limit.
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

const (
	// pageSize is the maximum number of items per page.
	pageSize = 50
	// pageBytes is the size of the values of a page from which it holds no further item.
	pageBytes = 1 << 20
)

// Range implements kv.Store.
func (c *Client) Range(ctx context.Context, prefix, after string) (kv.Page, error) {
	if err := c.startRead(ctx); err != nil {
		return kv.Page{}, err
	}
	page := c.store.page(prefix, after)
	return page, c.store.transfer(ctx, len(page.Items))
}

// page returns the first page of the items with the prefix after a key.
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
	page, size := kv.Page{Revision: s.revision, Era: s.era}, 0
	for _, key := range keys {
		if len(page.Items) >= pageSize || size >= pageBytes {
			page.More = true
			break
		}
		page.Items = append(page.Items, s.items[key])
		size += len(s.items[key].Value)
	}
	return page
}

// RangeStale implements kv.Store. It returns current data, which the interface permits.
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
			return c.respond(ctx, changes, err)
		}
		select {
		case <-ctx.Done():
			return kv.Changes{}, ctx.Err()
		case <-timeout:
			changes, _, err = c.store.changesSince(prefix, after)
			return c.respond(ctx, changes, err)
		case <-next:
		}
	}
}

func (c *Client) respond(ctx context.Context, changes kv.Changes, err error) (kv.Changes, error) {
	isDown, isHanging, _ := c.faults()
	if isHanging {
		return kv.Changes{}, c.hang(ctx)
	}
	if isDown {
		return kv.Changes{}, kv.ErrUnavailable
	}
	c.noteEra()
	return changes, err
}

func (s *Store) changesSince(prefix string, after uint64) (kv.Changes, <-chan struct{}, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if after < s.compacted || after > s.revision {
		return kv.Changes{}, nil, kv.ErrCompacted
	}
	out := kv.Changes{Revision: s.revision, Era: s.era}
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
func (c *Client) Grant(ctx context.Context, ttl time.Duration) (kv.Lease, error) {
	if err := c.startCall(ctx); err != nil {
		return kv.Lease{}, err
	}
	s := c.store
	s.mu.Lock()
	defer s.mu.Unlock()
	s.nextLease++
	s.leases[s.nextLease] = lease{ttl: ttl, ends: time.Now().Add(ttl)}
	return kv.Lease{ID: s.nextLease, TTL: ttl, Era: s.era}, nil
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

// ExpireLeases ends the leases that were not renewed in time. Unless it is called, leases last until they are ended.
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
