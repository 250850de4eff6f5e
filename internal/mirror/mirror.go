package mirror

import (
	"context"
	"errors"
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"github.com/primroseladder/primroseladder/internal/kv"
	"github.com/primroseladder/primroseladder/internal/logevent"
	"github.com/primroseladder/primroseladder/internal/periodic"
)

const (
	// maxWatchWait is how long the store holds a watch open without changes at most. It is well below the 2 s within which a
	// change must be in force: a store that compacts may leave a watch without its changes, and a broken path shows
	// only once the response is overdue.
	maxWatchWait = time.Second
	// ownReadWait replaces WatchWait for a VM that reads the store for itself alone, which has to know soon what the store has.
	ownReadWait = time.Millisecond
	// ownReadInterval is the minimum interval between such reads: they may not help, as while a restored store lacks what others have.
	ownReadInterval = 500 * time.Millisecond
	// changeBatchDelay gathers changes in quick succession into one response, since each response is charged.
	changeBatchDelay = 250 * time.Millisecond
	// followerReadAge is the age of the copy beyond which a VM reads the store itself, regardless of its rank. With
	// pollInterval and the call it stays below the 2 s within which a change must be in force. A reader's copy is at
	// most maxWatchWait and one call old.
	followerReadAge = 1500 * time.Millisecond
	// reserveReadAge is the age of the copy beyond which the reader in reserve reads the store. The reader's copy is
	// confirmed every maxWatchWait and one call, and heartbeats announce this within 250 ms; the reader in reserve has read
	// before other VMs reach followerReadAge.
	reserveReadAge = 1300 * time.Millisecond
	// transferWait is how long a VM whose copy is old leaves the store alone once it knows of a VM with a newer copy.
	// Large changes take this time to spread over a zone, in which the copies of the others cannot be confirmed.
	transferWait = 700 * time.Millisecond
	// retryBase and retryMax bound the delay after a failed call.
	retryBase = 100 * time.Millisecond
	retryMax  = 600 * time.Millisecond
	// pollInterval is how often a VM that does not read the store checks whether it has to.
	pollInterval = 200 * time.Millisecond
	// registrationWait bounds the wait at the start for the VM's own registration, which takes two calls.
	registrationWait = 300 * time.Millisecond
	// peerDiscoveryWait is how long a VM waits for heartbeats of its zone peers before it decides whether to read the
	// full store. They answer its first heartbeat within a few milliseconds.
	peerDiscoveryWait = 60 * time.Millisecond
	// basePeerCopyWait is how long a VM that starts waits for the copy of a VM that has one before it reads the full
	// store itself. Up to half of it is added at random. A copy spreads over a zone of 75 VMs in about a second.
	basePeerCopyWait = 2 * time.Second
	// noSourceWaitFactor multiplies the wait while no VM has a copy: the readers of the zone, whose heartbeats this VM
	// receives, are reading the store or have failed, and those that failed announce the failure. The users require service
	// within 15 s of a return.
	noSourceWaitFactor = 3
	// reserveFullReadDelay is how long the reader in reserve leaves the first full read of the store to the reader.
	reserveFullReadDelay = 700 * time.Millisecond
	// minFirstReaders is how many registrations of first readers a VM that starts must find to read no others. With
	// fewer the zone is small, and the VM reads all registrations so that it knows every VM that serves.
	minFirstReaders = 4
	// unreachableRetryInterval is the interval between calls of a VM whose calls fail while other VMs read the store.
	// Up to half of it is added at random.
	unreachableRetryInterval = 2 * time.Second
)

// Source is another VM whose copy can be fetched.
type Source struct {
	// Address is where the VM serves its copy.
	Address string
	// At is the position up to which the VM's copy is complete.
	At kv.Position
	// Confirmed is the time at which the VM's copy was last known to be complete.
	Confirmed time.Time
}

// Peers provides the state of the VMs of the availability zone and of the store readers of other zones.
type Peers interface {
	// ReaderRank returns the rank of this VM among those that read the store for the zone, from 0, or a negative number.
	ReaderRank() int
	// Sources returns the other live VMs, the freshest copy first.
	Sources() []Source
	// Updates returns a channel that receives a value when another VM has announced a change.
	Updates() <-chan struct{}
}

// Fetcher fetches changes from another VM's copy. It returns ErrBusy if that VM is serving as many large transfers as it
// may.
type Fetcher interface {
	Fetch(ctx context.Context, address string, after kv.Position) (Changes, error)
}

// Options configures a Mirror.
type Options struct {
	Store   kv.Store
	Copy    *Copy
	Peers   Peers
	Fetcher Fetcher
	// ZonePrefix is the prefix of the keys under which the VMs of the availability zone are registered.
	ZonePrefix string
	// FirstReadersAfter is the key after which the registrations of the first readers of the zone sort: an eighth of all.
	FirstReadersAfter string
	// Registered is closed once this VM itself is registered.
	Registered <-chan struct{}
	// IsFirstStart is set if no VM of the fleet has been registered before.
	IsFirstStart bool
	// IsResumed reports whether this VM and its zone peers were registered before their start, and still are.
	IsResumed func() bool
	// OnStateChange is called when the state that other VMs rely on has changed. It announces the state to them.
	OnStateChange func()
	// OnConfirm is called when the store has returned changes, or reported that there are none.
	OnConfirm func()
	// BeginRead is called before a linearizable read of the store is sent. The function that it returns is called once the copy
	// has all that the store had then.
	BeginRead func() (end func())
	// MustRead, if set, reports whether this VM has to read the store although its copy is confirmed by other VMs.
	MustRead func() bool
	// WatchWait, if set, returns how long the store holds a watch open without changes. It is at most the default of one second, which
	// applies for 0 too.
	WatchWait func() time.Duration
	Log       zerolog.Logger
}

// Mirror keeps a Copy up to date from the store and from other VMs.
type Mirror struct {
	Options

	isStoreUnreachable atomic.Bool
	retryWait          time.Duration
	// pendingRead is the full read of the store that is in progress.
	pendingRead fullRead
	// nextAttempt is when a VM whose last call failed calls the store again.
	nextAttempt time.Time
	// peersDiscoveredAt is when the VM had discovered its zone peers, and firstSourceAt when it first found one with a copy.
	peersDiscoveredAt, firstSourceAt time.Time
	// newerSince is the time since which another VM has been known to have a newer copy; zero if none has.
	newerSince time.Time
	// lastOwnRead is when this VM last read the store for itself alone.
	lastOwnRead time.Time
	// peerCopyWait is how long a VM without a copy waits for the copy of another VM.
	peerCopyWait time.Duration
}

// New returns a Mirror that fills the copy.
func New(o Options) *Mirror {
	if o.BeginRead == nil {
		o.BeginRead = func() func() { return func() {} }
	}
	if o.MustRead == nil {
		o.MustRead = func() bool { return false }
	}
	if o.WatchWait == nil {
		o.WatchWait = func() time.Duration { return maxWatchWait }
	}
	return &Mirror{Options: o}
}

// IsStoreUnreachable reports whether this VM's last call to the store failed.
func (m *Mirror) IsStoreUnreachable() bool { return m.isStoreUnreachable.Load() }

// Run keeps the copy up to date until ctx ends. It also follows other VMs while a call to the store is pending, since a
// call over a broken path ends late.
func (m *Mirror) Run(ctx context.Context) {
	var wait sync.WaitGroup
	wait.Go(func() { m.followPeers(ctx) })
	m.readStore(ctx)
	wait.Wait()
}

func (m *Mirror) followPeers(ctx context.Context) {
	for ctx.Err() == nil {
		m.Copy.ApplyDue(time.Now())
		m.fetchFromPeers(ctx)
		periodic.Await(ctx, m.Peers.Updates(), pollInterval)
	}
}

func (m *Mirror) readStore(ctx context.Context) {
	m.discoverZonePeers(ctx)
	for ctx.Err() == nil {
		if m.shouldReadStore(time.Now()) {
			m.read(ctx)
			continue
		}
		periodic.Pause(ctx, pollInterval)
	}
}

// discoverZonePeers reads the registrations of the zone so that its VMs can send heartbeats to each other and most of
// those that start can fetch another VM's copy: if each VM of a large zone read the full store, the reads would exceed the
// capacity of the links between regions. The VM registers first, so that of two VMs that start together one finds the other.
// A VM whose call is refused tries again: without peers it would consider itself the only VM and read the full store.
func (m *Mirror) discoverZonePeers(ctx context.Context) {
	periodic.Await(ctx, m.Registered, registrationWait)
	for ctx.Err() == nil && m.isCopyEmpty() {
		items, err := m.readZoneRegistrations(ctx)
		if err == nil {
			m.Copy.Preload(items)
			m.recordSuccess()
			break
		}
		m.recordFailure(err)
		periodic.Pause(ctx, m.nextRetryDelay())
	}
	m.peersDiscoveredAt = time.Now()
	m.peerCopyWait = basePeerCopyWait + rand.N(basePeerCopyWait/2)
	m.OnStateChange()
	periodic.Pause(ctx, peerDiscoveryWait)
}

// readZoneRegistrations reads the registrations of the zone. In a large zone whose VMs were registered before, those of
// the first readers suffice, even seconds old: all VMs of a region that start together read them over the same link.
func (m *Mirror) readZoneRegistrations(ctx context.Context) ([]kv.Item, error) {
	if !m.IsFirstStart {
		first, err := readRange(ctx, m.Store.RangeStale, m.ZonePrefix, m.FirstReadersAfter)
		if err != nil || len(first) >= minFirstReaders {
			return first, err
		}
	}
	if m.IsResumed() {
		return readRange(ctx, m.Store.RangeStale, m.ZonePrefix, "")
	}
	return readRange(ctx, m.Store.Range, m.ZonePrefix, "")
}

// readRange reads all pages of a range.
func readRange(
	ctx context.Context, read func(ctx context.Context, prefix, after string) (kv.Page, error), prefix, after string,
) ([]kv.Item, error) {
	var items []kv.Item
	for {
		page, err := read(ctx, prefix, after)
		if err != nil {
			return nil, err
		}
		items = append(items, page.Items...)
		if !page.More || len(page.Items) == 0 {
			return items, nil
		}
		after = page.Items[len(page.Items)-1].Key
	}
}

// shouldReadStore reports whether this VM should call the store itself.
func (m *Mirror) shouldReadStore(now time.Time) bool {
	rank := m.Peers.ReaderRank()
	isTransferExpected := m.isTransferExpected(now)
	switch {
	case rank == 0:
		return true
	case m.isCopyEmpty():
		return rank > 0 && now.Sub(m.peersDiscoveredAt) > reserveFullReadDelay || m.isPeerCopyWaitOver(now)
	case rank < 0 && m.isStoreUnreachable.Load():
		return now.After(m.nextAttempt)
	case rank > 0 && m.age(now) > reserveReadAge:
		return true
	case rank < 0 && m.age(now) > followerReadAge:
		return !isTransferExpected
	default:
		return m.isOwnReadDue(now)
	}
}

// isOwnReadDue reports whether this VM has to read the store for itself, and has not done so within ownReadInterval.
func (m *Mirror) isOwnReadDue(now time.Time) bool {
	return m.MustRead() && now.Sub(m.lastOwnRead) >= ownReadInterval
}

// isTransferExpected reports whether a VM with a newer and fresh copy has become known within transferWait.
func (m *Mirror) isTransferExpected(now time.Time) bool {
	hasNewer := slices.ContainsFunc(m.Peers.Sources(), func(s Source) bool {
		return s.At.After(m.Copy.Position()) && now.Sub(s.Confirmed) <= followerReadAge
	})
	if !hasNewer {
		m.newerSince = time.Time{}
		return false
	}
	if m.newerSince.IsZero() {
		m.newerSince = now
	}
	return now.Sub(m.newerSince) <= transferWait
}

// isPeerCopyWaitOver reports whether a VM without a copy has waited long enough for the copy of another VM.
func (m *Mirror) isPeerCopyWaitOver(now time.Time) bool {
	hasSource := slices.ContainsFunc(m.Peers.Sources(), func(s Source) bool { return s.At.Revision > 0 })
	if hasSource && m.firstSourceAt.IsZero() {
		m.firstSourceAt = now
	}
	if m.firstSourceAt.IsZero() {
		return now.Sub(m.peersDiscoveredAt) > noSourceWaitFactor*m.peerCopyWait
	}
	return now.Sub(m.firstSourceAt) > m.peerCopyWait
}

// age returns the age of the copy. It first confirms the copy by those of other VMs that have no newer one.
func (m *Mirror) age(now time.Time) time.Duration {
	for _, s := range m.Peers.Sources() {
		if !s.At.After(m.Copy.Position()) {
			m.Copy.Confirm(s.Confirmed)
		}
	}
	return m.Copy.Age(now)
}

// read makes one call to the store, or those of a full read.
func (m *Mirror) read(ctx context.Context) {
	var err error
	if m.isCopyEmpty() {
		err = m.readFull(ctx)
	} else {
		err = m.watch(ctx)
	}
	if ctx.Err() != nil {
		return
	}
	if err != nil {
		m.recordFailure(err)
		periodic.Pause(ctx, m.nextRetryDelay())
		return
	}
	m.recordSuccess()
}

// isCopyEmpty reports whether this VM has no copy yet.
func (m *Mirror) isCopyEmpty() bool { return m.Copy.Position().Revision == 0 }

func (m *Mirror) watchWait() time.Duration {
	if wait := m.WatchWait(); wait > 0 {
		return min(wait, maxWatchWait)
	}
	return maxWatchWait
}

func (m *Mirror) watch(ctx context.Context) error {
	at, wait := m.Copy.Position(), m.watchWait()
	if now := time.Now(); m.isOwnReadDue(now) {
		wait, m.lastOwnRead = ownReadWait, now
	}
	end := m.BeginRead()
	changes, err := m.Store.Watch(ctx, "", at.Revision, wait)
	if errors.Is(err, kv.ErrCompacted) {
		logevent.HistoryDiscarded.Log(m.Log).Uint64("revision", at.Revision).Send()
		return m.readFull(ctx)
	}
	if errors.Is(err, kv.ErrTooLarge) {
		logevent.ChangesTooLarge.Log(m.Log).Uint64("revision", at.Revision).Err(err).Send()
		return m.readFull(ctx)
	}
	if err != nil {
		return err
	}
	if now := m.Copy.Position(); changes.Era != now.Era || now.Era != at.Era {
		return m.resolveEra(ctx, changes.Era, now.Era)
	}
	if m.Copy.Adopt(changes, time.Now()) {
		end()
	}
	m.OnConfirm()
	if isLarge(changes.Items) {
		m.OnStateChange()
	}
	if len(changes.Items) > 0 {
		periodic.Pause(ctx, changeBatchDelay)
	}
	return nil
}

// resolveEra handles changes of another era than that of the copy, which may also have been replaced during the watch.
func (m *Mirror) resolveEra(ctx context.Context, ofChanges, ofCopy uint64) error {
	if ofChanges <= ofCopy {
		// A late response of an earlier era, or the watch of a copy that is gone.
		return nil
	}
	logevent.StoreRestored.Log(m.Log).Uint64("era", ofChanges).Uint64("copy_era", ofCopy).Send()
	return m.readFull(ctx)
}

// fullRead is a full read of the store, page by page. The pages are not a snapshot, so the copy is complete only up to
// the position of the first page.
type fullRead struct {
	items []kv.Item
	// at is the position of the first page, with revision 0 before it is read.
	at kv.Position
	// last is the last key that was read.
	last string
	// end is what BeginRead returned before the first page was read.
	end func()
}

// readFull reads all pages. After a failed call the next readFull continues with the missing page: many VMs that start at
// once request more than the store serves in a second, and starting over would request even more. It starts over if a page is of
// a later era than those before it, and stops if another VM's copy has been adopted first.
func (m *Mirror) readFull(ctx context.Context) error {
	known := m.Copy.Position()
	if known.After(m.pendingRead.at) {
		m.pendingRead = fullRead{}
	}
	for m.Copy.Position() == known {
		if m.pendingRead.at.Revision == 0 {
			m.pendingRead.end = m.BeginRead()
		}
		page, err := m.Store.Range(ctx, "", m.pendingRead.last)
		if err != nil {
			return err
		}
		pending := &m.pendingRead
		switch {
		case pending.at.Revision == 0:
			pending.at = kv.Position{Era: page.Era, Revision: page.Revision}
		case page.Era != pending.at.Era:
			m.pendingRead = fullRead{}
			continue
		}
		pending.items = append(pending.items, page.Items...)
		if !page.More || len(page.Items) == 0 {
			if m.Copy.AdoptFull(pending.items, pending.at, time.Now()) {
				pending.end()
			}
			m.OnStateChange()
			break
		}
		pending.last = page.Items[len(page.Items)-1].Key
	}
	m.pendingRead = fullRead{}
	return nil
}

// shuffleFresh shuffles the sources with a fresh copy, so that VMs that start together do not all fetch the full copy
// of the same VM.
func shuffleFresh(sources []Source, now time.Time) {
	fresh := slices.IndexFunc(sources, func(s Source) bool { return s.At.Revision == 0 || now.Sub(s.Confirmed) > followerReadAge })
	if fresh < 0 {
		fresh = len(sources)
	}
	rand.Shuffle(fresh, func(i, j int) { sources[i], sources[j] = sources[j], sources[i] })
}

// shuffleNewest shuffles the sources with the newest copy but for the first, so that the VMs that the first one turns away
// do not all turn to the second.
func shuffleNewest(sources []Source) {
	newest := slices.IndexFunc(sources, func(s Source) bool { return sources[0].At.After(s.At) })
	if newest < 0 {
		newest = len(sources)
	}
	if newest > 2 {
		rand.Shuffle(newest-1, func(i, j int) { sources[i+1], sources[j+1] = sources[j+1], sources[i+1] })
	}
}

// fetchFromPeers updates the copy from the freshest one that can be fetched, or confirms it if no other VM has a newer
// one.
func (m *Mirror) fetchFromPeers(ctx context.Context) {
	sources := m.Peers.Sources()
	if m.isCopyEmpty() {
		shuffleFresh(sources, time.Now())
	} else {
		shuffleNewest(sources)
	}
	for _, s := range sources {
		if at := m.Copy.Position(); s.At.After(at) {
			after := m.Copy.FetchPosition()
			changes, err := m.Fetcher.Fetch(ctx, s.Address, after)
			if errors.Is(err, ErrBusy) {
				continue
			}
			if err != nil {
				logevent.FetchFailed.Log(m.Log).Str("peer", s.Address).Err(err).Send()
				continue
			}
			if changes.IsFull && at.Revision > 0 && changes.Era == at.Era {
				logevent.FullCopyFetched.Log(m.Log).Str("peer", s.Address).Uint64("copy_revision", at.Revision).
					Uint64("revision", changes.Revision).Send()
			}
			m.Copy.AdoptFromPeer(changes, time.Now())
			m.Copy.Confirm(s.Confirmed)
			if changes.IsLarge(after) {
				m.OnStateChange()
			}
			return
		}
		m.Copy.Confirm(s.Confirmed)
		return
	}
}

func (m *Mirror) recordFailure(err error) {
	m.Copy.RecordFailure(time.Now())
	m.nextAttempt = time.Now().Add(unreachableRetryInterval + rand.N(unreachableRetryInterval/2))
	if m.isStoreUnreachable.Swap(true) {
		return
	}
	logevent.StoreUnreachable.Log(m.Log).Uint64("revision", m.Copy.Position().Revision).Err(err).Send()
	m.OnStateChange()
}

func (m *Mirror) recordSuccess() {
	m.retryWait = 0
	if !m.isStoreUnreachable.Swap(false) {
		return
	}
	logevent.StoreRecovered.Log(m.Log).Uint64("revision", m.Copy.Position().Revision).Send()
	m.OnStateChange()
}

func (m *Mirror) nextRetryDelay() time.Duration {
	m.retryWait = min(max(2*m.retryWait, retryBase), retryMax)
	return m.retryWait/2 + rand.N(m.retryWait/2)
}
