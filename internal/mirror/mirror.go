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
	// watchWait is how long the store holds a watch without changes. A store that compacts may leave a watch without its
	// changes, and a cut path shows only when the answer is overdue, so it is well below the 2 s in which a change must
	// be in force.
	watchWait = time.Second
	// changeBatchDelay gathers changes that come in quick succession into one answer, since each answer is priced.
	changeBatchDelay = 250 * time.Millisecond
	// followerReadAge is the age from which on a VM reads the store itself, whoever else does. With idleCheck and the call it
	// stays below the 2 s in which a change must be in force; a reader's copy is at most watchWait and a call old.
	followerReadAge = 1500 * time.Millisecond
	// reserveReadAge is the age from which on the VM that is a zone's reader in reserve reads. The reader's copy is confirmed
	// every watchWait and a call, and heartbeats tell of it within 250 ms; the reserve has read before others reach
	// staleAfter.
	reserveReadAge = 1300 * time.Millisecond
	// retryBase and retryMax bound the pause after a failed call.
	retryBase = 100 * time.Millisecond
	retryMax  = 600 * time.Millisecond
	// pollInterval is how often a VM that does not read looks whether it has to.
	pollInterval = 200 * time.Millisecond
	// registrationWait bounds the wait for the VM's own registration at the start, which takes two calls.
	registrationWait = 300 * time.Millisecond
	// peerDiscoveryWait is how long a VM listens for its neighbours before it decides whether to read the whole store. They answer
	// its first heartbeat within a few milliseconds.
	peerDiscoveryWait = 60 * time.Millisecond
	// basePeerCopyWait is how long a VM that starts waits for the copy of a VM that has one before it reads the whole store
	// itself. Up to half of it is added at random. A copy spreads over a zone of 75 VMs in about a second.
	basePeerCopyWait = 2 * time.Second
	// noSourceWaitFactor is how many times as long it waits while none has one: the readers of the zone, which it hears, are at it
	// or have failed, and those that failed say so. The users want service within 15 s of a return.
	noSourceWaitFactor = 3
	// reserveFullReadDelay is how long the reader in reserve leaves the first read of the whole store to the reader.
	reserveFullReadDelay = 700 * time.Millisecond
	// minFirstReaders is how many registrations a zone has at least whose first readers a VM meets alone. Small zones are met
	// whole, so that the VM knows all who serve.
	minFirstReaders = 4
	// unreachableRetryInterval is the pause between calls of a VM that the store has turned away while others read it. Up to half of
	// it is added at random.
	unreachableRetryInterval = 2 * time.Second
)

// Source is another VM whose copy can be taken over.
type Source struct {
	// Address is where the VM gives out its copy.
	Address  string
	Revision uint64
	// Confirmed is when the VM's copy was last known to be complete.
	Confirmed time.Time
}

// Peers knows the VMs of the availability zone, and the readers of other zones.
type Peers interface {
	// ReaderRank returns the rank of this VM among those that read the store for the zone, from 0, or a negative number.
	ReaderRank() int
	// Sources returns the other VMs that can be heard, the freshest copy first.
	Sources() []Source
	// Updates returns a channel that gets a value after news of other VMs.
	Updates() <-chan struct{}
}

// Fetcher takes changes from another VM's copy. It returns ErrBusy where that VM gives its whole copy to others just now.
type Fetcher interface {
	Fetch(ctx context.Context, address string, after uint64) (Changes, error)
}

// Options set up a Mirror.
type Options struct {
	Store   kv.Store
	Copy    *Copy
	Peers   Peers
	Fetcher Fetcher
	// ZonePrefix stands before the keys under which the VMs of the availability zone are registered.
	ZonePrefix string
	// FirstReadersAfter is the key after which the registrations of those stand that read the store first: an eighth of them.
	FirstReadersAfter string
	// Registered is closed once this VM is registered itself.
	Registered <-chan struct{}
	// IsFirstStart tells that no VM of the fleet has been registered before.
	IsFirstStart bool
	// IsResumed reports whether this VM and its neighbours were registered before their start, and still are.
	IsResumed func() bool
	// OnStateChange is called when the state that others go by has changed. It tells them.
	OnStateChange func()
	// OnConfirm is called when the store has told what has changed, or that nothing has.
	OnConfirm func()
	Log       zerolog.Logger
}

// Mirror keeps a copy up to date.
type Mirror struct {
	Options

	isStoreUnreachable atomic.Bool
	retryWait          time.Duration
	// fullRead is the read of the fullRead store that is under way.
	fullRead fullRead
	// nextTry is when a VM that is cut off calls the store again.
	nextTry time.Time
	// peersDiscoveredAt is when the VM has peersDiscoveredAt its neighbours, and firstSourceAt when it first heard one with a copy.
	peersDiscoveredAt, firstSourceAt time.Time
	// peerCopyWait is how long a VM without a copy waits for another VM's.
	peerCopyWait time.Duration
}

// New returns a mirror that fills the copy.
func New(o Options) *Mirror { return &Mirror{Options: o} }

// IsStoreUnreachable reports whether this VM's last call to the store failed.
func (m *Mirror) IsStoreUnreachable() bool { return m.isStoreUnreachable.Load() }

// Run keeps the copy up to date until ctx ends. It follows other VMs also while a call to the store waits, since a call
// whose path is cut ends late.
func (m *Mirror) Run(ctx context.Context) {
	var wait sync.WaitGroup
	wait.Go(func() { m.followPeers(ctx) })
	m.readStore(ctx)
	wait.Wait()
}

func (m *Mirror) followPeers(ctx context.Context) {
	for ctx.Err() == nil {
		m.Copy.ApplyDueDeletions(time.Now())
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

// discoverZonePeers makes the VMs of the zone known to each other, so that most of those that start can take another VM's
// copy: the whole store, read by each VM of a large zone, is more than the links between regions carry. The VM registers
// first, so that of two that start together one finds the other. A VM that is turned away stays at it: without neighbours
// it would take itself for the only one and read the whole.
func (m *Mirror) discoverZonePeers(ctx context.Context) {
	periodic.Await(ctx, m.Registered, registrationWait)
	for ctx.Err() == nil && m.Copy.Revision() == 0 {
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

// readZoneRegistrations reads the registrations of the zone. In a large zone whose VMs were registered before, those of the first
// readers will do, also seconds old: all VMs of a region that start together read them over the same link.
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

// shouldReadStore reports whether this VM calls the store itself.
func (m *Mirror) shouldReadStore(now time.Time) bool {
	rank := m.Peers.ReaderRank()
	switch {
	case rank == 0:
		return true
	case m.Copy.Revision() == 0:
		return rank > 0 && now.Sub(m.peersDiscoveredAt) > reserveFullReadDelay || m.isPeerCopyWaitOver(now)
	case rank > 0:
		return m.age(now) > reserveReadAge
	case m.isStoreUnreachable.Load():
		return now.After(m.nextTry)
	default:
		return m.age(now) > followerReadAge
	}
}

// isPeerCopyWaitOver reports whether a VM without a copy has waited long enough for another VM's.
func (m *Mirror) isPeerCopyWaitOver(now time.Time) bool {
	hasSource := slices.ContainsFunc(m.Peers.Sources(), func(s Source) bool { return s.Revision > 0 })
	if hasSource && m.firstSourceAt.IsZero() {
		m.firstSourceAt = now
	}
	if m.firstSourceAt.IsZero() {
		return now.Sub(m.peersDiscoveredAt) > noSourceWaitFactor*m.peerCopyWait
	}
	return now.Sub(m.firstSourceAt) > m.peerCopyWait
}

// age returns the age of the copy. Other VMs that have no more changes than this one tell that it was complete later.
func (m *Mirror) age(now time.Time) time.Duration {
	for _, s := range m.Peers.Sources() {
		if s.Revision <= m.Copy.Revision() {
			m.Copy.Confirm(s.Confirmed)
		}
	}
	return m.Copy.Age(now)
}

// read makes one call to the store.
func (m *Mirror) read(ctx context.Context) {
	var err error
	if m.Copy.Revision() == 0 {
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

func (m *Mirror) watch(ctx context.Context) error {
	changes, err := m.Store.Watch(ctx, "", m.Copy.Revision(), watchWait)
	if errors.Is(err, kv.ErrCompacted) {
		logevent.HistoryDiscarded.Log(m.Log).Uint64("revision", m.Copy.Revision()).Send()
		return m.readFull(ctx)
	}
	if err != nil {
		return err
	}
	m.Copy.Adopt(changes, time.Now())
	m.OnConfirm()
	if len(changes.Items) > 0 {
		periodic.Pause(ctx, changeBatchDelay)
	}
	return nil
}

// fullRead is a read of the whole store, page by page. The pages are no snapshot, so the copy is complete only up to the
// revision of the first one.
type fullRead struct {
	items []kv.Item
	// revision is that of the first page; 0 before there is one.
	revision uint64
	// last is the last key that was read.
	last string
}

// readFull reads all pages. After a failed call the next one goes on with the page that is missing: many VMs that start
// at once ask for more than the store carries out in a second, and beginning anew would ask for more still. It stops
// where another VM's copy has come first.
func (m *Mirror) readFull(ctx context.Context) error {
	known := m.Copy.Revision()
	if m.fullRead.revision < known {
		m.fullRead = fullRead{}
	}
	for m.Copy.Revision() == known {
		page, err := m.Store.Range(ctx, "", m.fullRead.last)
		if err != nil {
			return err
		}
		w := &m.fullRead
		if w.revision == 0 {
			w.revision = page.Revision
		}
		w.items = append(w.items, page.Items...)
		if !page.More || len(page.Items) == 0 {
			m.Copy.AdoptFull(w.items, w.revision, time.Now())
			m.OnStateChange()
			break
		}
		w.last = page.Items[len(page.Items)-1].Key
	}
	m.fullRead = fullRead{}
	return nil
}

// shuffleFresh puts the sources with a fresh copy into a random order, so that those which start together do not all take the
// whole of one VM's.
func shuffleFresh(sources []Source, now time.Time) {
	fresh := slices.IndexFunc(sources, func(s Source) bool { return s.Revision == 0 || now.Sub(s.Confirmed) > followerReadAge })
	if fresh < 0 {
		fresh = len(sources)
	}
	rand.Shuffle(fresh, func(i, j int) { sources[i], sources[j] = sources[j], sources[i] })
}

// fetchFromPeers brings the copy up to the freshest one of the zone that can be fetched.
func (m *Mirror) fetchFromPeers(ctx context.Context) {
	sources := m.Peers.Sources()
	if m.Copy.Revision() == 0 {
		shuffleFresh(sources, time.Now())
	}
	for _, s := range sources {
		if s.Revision > m.Copy.Revision() {
			changes, err := m.Fetcher.Fetch(ctx, s.Address, m.Copy.Revision())
			if errors.Is(err, ErrBusy) {
				continue
			}
			if err != nil {
				logevent.FetchFailed.Log(m.Log).Str("peer", s.Address).Err(err).Send()
				continue
			}
			isFirst := m.Copy.Revision() == 0
			m.Copy.AdoptFromPeer(changes, time.Now())
			m.Copy.Confirm(s.Confirmed)
			if isFirst {
				m.OnStateChange()
			}
			return
		}
		m.Copy.Confirm(s.Confirmed)
		return
	}
}

func (m *Mirror) recordFailure(err error) {
	m.Copy.RecordOutage(time.Now())
	m.nextTry = time.Now().Add(unreachableRetryInterval + rand.N(unreachableRetryInterval/2))
	if m.isStoreUnreachable.Swap(true) {
		return
	}
	logevent.StoreUnreachable.Log(m.Log).Uint64("revision", m.Copy.Revision()).Err(err).Send()
	m.OnStateChange()
}

func (m *Mirror) recordSuccess() {
	m.retryWait = 0
	if !m.isStoreUnreachable.Swap(false) {
		return
	}
	logevent.StoreRegained.Log(m.Log).Uint64("revision", m.Copy.Revision()).Send()
	m.OnStateChange()
}

func (m *Mirror) nextRetryDelay() time.Duration {
	m.retryWait = min(max(2*m.retryWait, retryBase), retryMax)
	return m.retryWait/2 + rand.N(m.retryWait/2)
}
