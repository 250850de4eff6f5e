// Package poison blocks requests that crash the backend servers that run them. A request is identified by its
// fingerprint. After crashes of two different backend servers it is blocked for a time; an answer to it at any time unblocks it.
// Package blocklist passes blocks and their ends on to VMs that did not hear of them.
//
// A backend server that crashes for a reason of its own breaks the connections of all requests that it runs. A request that was
// answered before (ExcuseNext) is therefore excused: its first crash, and those shortly after, are not counted.
package poison

import (
	"cmp"
	"context"
	"maps"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// maxCrashedServers is how many different backend servers a request may crash before it is blocked.
	maxCrashedServers = 2
	// DefaultWindow is how long crashes are kept and a request stays blocked.
	DefaultWindow = 10 * time.Minute
	// excuseTime is for how long crashes of a request that was answered before are not counted. Backend servers that crash for a
	// common reason crash within it.
	excuseTime = 500 * time.Millisecond
	// maxFingerprints limits memory. Above it, crashes of further requests are not recorded until old ones expire.
	maxFingerprints = 10_000
)

// Fingerprint identifies equal requests.
type Fingerprint uint64

// FingerprintOf returns the fingerprint of a request by its content: whose request it is, if that is known, the method, the target
// and the body. Neither the address that it came from nor the service that it is sent to belongs to it: the same request comes from
// many addresses, and crashes the backend servers of every service that its route leads to.
func FingerprintOf(owner, method, target string, body []byte) Fingerprint {
	var d xxhash.Digest
	d.Reset()
	for _, part := range []string{owner, method, target} {
		_, _ = d.WriteString(part)
		_, _ = d.Write([]byte{0})
	}
	_, _ = d.Write(body)
	return Fingerprint(d.Sum64())
}

// Crash is the crash of a backend server that ran a request.
type Crash struct {
	Fingerprint Fingerprint
	Server      string
	// IsExcused is set if the request was answered before, so that VMs do not count the crash.
	IsExcused bool
}

// Registry keeps the crashes of requests by fingerprint. It is safe for concurrent use.
type Registry struct {
	window time.Duration
	sound  soundSet
	// blockedInError is the number of requests that were refused although a backend server has answered the same request later.
	blockedInError atomic.Int64

	// count is the number of records. It lets IsEmpty work without the lock.
	count   atomic.Int64
	mu      sync.Mutex
	records map[Fingerprint]*record
	// answered holds the requests whose block has ended with an answer.
	answered map[Fingerprint]answer
	// changes receives a value when a request becomes blocked or its block ends with an answer.
	changes chan struct{}
}

// answer is the end of a block.
type answer struct {
	// until is how long it is remembered, so that an earlier block is not adopted again.
	until time.Time
	// isOwn is set if this VM received the answer.
	isOwn bool
}

type record struct {
	crashedServers map[string]bool
	// isAdopted is set if another VM has blocked the request.
	isAdopted bool
	// isOwn is set if this VM saw one of the crashes.
	isOwn     bool
	expiresAt time.Time
	// excusedUntil is until when crashes are not counted. It is zero if the request was not answered before its first crash.
	excusedUntil time.Time
	// refused is the number of requests that this VM has refused while the request was blocked.
	refused int64
	// trial is not nil while a request that has crashed a backend server runs again. It is closed when that run ends.
	trial chan struct{}
}

func (r *record) isBlocked() bool { return r.isAdopted || len(r.crashedServers) >= maxCrashedServers }

func (r *record) isExcused(now time.Time) bool { return now.Before(r.excusedUntil) }

// Block is a blocked request, or one whose block has ended with an answer, as VMs pass it on to each other. Of two with the same
// fingerprint, the one that remains longer is later.
type Block struct {
	Fingerprint Fingerprint
	// Remaining is how much longer the request is blocked, or the end of its block remembered. It only decreases on the way between
	// VMs, so that they do not renew a block for each other.
	Remaining time.Duration
	// IsAnswered is set if a backend server has answered the request, so that it is no longer blocked.
	IsAnswered bool
	// IsOwn is set if this VM saw one of the crashes, or received the answer.
	IsOwn bool
}

// NewRegistry returns an empty registry that keeps crashes for window.
func NewRegistry(window time.Duration) *Registry {
	return &Registry{
		window: window, records: map[Fingerprint]*record{}, answered: map[Fingerprint]answer{}, changes: make(chan struct{}, 1),
	}
}

// IsEmpty reports whether no crash is recorded.
func (r *Registry) IsEmpty() bool { return r.count.Load() == 0 }

// Begin reports whether a request may be sent to a backend server. Requests that have crashed one backend server run
// one at a time: Begin waits until the running one has ended or ctx is done. done must be called when the attempt has ended.
func (r *Registry) Begin(ctx context.Context, f Fingerprint) (done func(), allowed bool) {
	for {
		known, running, allowed := r.tryBegin(f)
		if running == nil {
			return func() { r.end(known) }, allowed
		}
		select {
		case <-running:
		case <-ctx.Done():
			return func() {}, false
		}
	}
}

// tryBegin returns the channel of the running trial, or starts a trial if the request has crashed a backend server.
func (r *Registry) tryBegin(f Fingerprint) (known *record, running chan struct{}, allowed bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	known = r.findActive(f)
	switch {
	case known == nil:
		return nil, nil, true
	case known.isBlocked():
		known.refused++
		return nil, nil, false
	case known.isExcused(time.Now()):
		return nil, nil, true
	case known.trial != nil:
		return nil, known.trial, false
	}
	known.trial = make(chan struct{})
	return known, nil, true
}

func (r *Registry) end(known *record) {
	if known == nil {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	close(known.trial)
	known.trial = nil
}

// IsBlocked reports whether the request is blocked until its window ends.
func (r *Registry) IsBlocked(f Fingerprint) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	known := r.findActive(f)
	return known != nil && known.isBlocked()
}

// RecordCrash records that this VM saw the connection of a backend server break without an answer while it ran the request. It
// returns the crash as it is reported to other VMs, and whether it is news for them.
func (r *Registry) RecordCrash(f Fingerprint, server string) (c Crash, isNews bool) {
	return r.recordCrash(Crash{Fingerprint: f, Server: server}, true)
}

// ReceiveCrash records a crash that another VM saw.
func (r *Registry) ReceiveCrash(c Crash) { r.recordCrash(c, false) }

func (r *Registry) recordCrash(c Crash, isOwn bool) (reported Crash, isNews bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	known := r.findOrAdd(c.Fingerprint)
	if known == nil {
		return c, false
	}
	now := time.Now()
	known.expiresAt = now.Add(r.window)
	if r.sound.remove(c.Fingerprint) {
		c.IsExcused = true
	}
	if c.IsExcused {
		known.excusedUntil = now.Add(excuseTime)
		return c, true
	}
	if known.isExcused(now) {
		return c, false
	}
	wasBlocked := known.isBlocked()
	known.isOwn = known.isOwn || isOwn
	isNews = !known.crashedServers[c.Server]
	known.crashedServers[c.Server] = true
	if !wasBlocked && known.isBlocked() {
		r.notify()
	}
	return c, isNews
}

// Adopt adopts the block, or the end of a block, of another VM unless this VM knows a later one of the request.
func (r *Registry) Adopt(b Block) {
	remaining := min(b.Remaining, r.window)
	if remaining <= 0 {
		return
	}
	until := time.Now().Add(remaining)
	r.mu.Lock()
	defer r.mu.Unlock()
	if !until.After(r.answered[b.Fingerprint].until) {
		return
	}
	if b.IsAnswered {
		if known := r.findActive(b.Fingerprint); known == nil || !known.expiresAt.After(until) {
			r.endBlock(b.Fingerprint, answer{until: until})
		}
		return
	}
	known := r.findOrAdd(b.Fingerprint)
	if known == nil {
		return
	}
	wasBlocked := known.isBlocked()
	known.isAdopted = true
	if until.After(known.expiresAt) {
		known.expiresAt = until
	}
	if !wasBlocked {
		r.notify()
	}
}

// endBlock forgets the crashes of a request and remembers its answer. The caller holds r.mu.
func (r *Registry) endBlock(f Fingerprint, a answer) {
	if known := r.records[f]; known != nil {
		r.blockedInError.Add(known.refused)
		r.remove(f)
	}
	if _, isKnown := r.answered[f]; isKnown || len(r.answered) < maxFingerprints {
		r.answered[f] = a
		r.notify()
	}
}

// findOrAdd returns the record of a request, or nil if there are too many. The caller holds r.mu.
func (r *Registry) findOrAdd(f Fingerprint) *record {
	if known := r.findActive(f); known != nil {
		return known
	}
	if len(r.records) >= maxFingerprints {
		return nil
	}
	added := &record{crashedServers: map[string]bool{}}
	r.records[f] = added
	r.count.Add(1)
	return added
}

func (r *Registry) notify() {
	select {
	case r.changes <- struct{}{}:
	default:
	}
}

// Changes returns a channel that receives a value after a request has become blocked or its block has ended with an answer.
func (r *Registry) Changes() <-chan struct{} { return r.changes }

// Blocks returns the blocked requests and those whose block has ended with an answer, in the order of their fingerprints.
func (r *Registry) Blocks() []Block {
	r.mu.Lock()
	defer r.mu.Unlock()
	var out []Block
	for f, known := range r.records {
		if remaining := time.Until(known.expiresAt); remaining > 0 && known.isBlocked() {
			out = append(out, Block{Fingerprint: f, Remaining: remaining, IsOwn: known.isOwn})
		}
	}
	for f, a := range r.answered {
		if remaining := time.Until(a.until); remaining > 0 && r.records[f] == nil {
			out = append(out, Block{Fingerprint: f, Remaining: remaining, IsAnswered: true, IsOwn: a.isOwn})
		}
	}
	slices.SortFunc(out, func(a, b Block) int { return cmp.Compare(a.Fingerprint, b.Fingerprint) })
	return out
}

// ExcuseNext remembers that a backend server has answered the request, so that its next crash is excused.
func (r *Registry) ExcuseNext(f Fingerprint) { r.sound.add(f) }

// BlockedInError returns how many requests this VM has refused although a backend server has answered the same request later.
func (r *Registry) BlockedInError() int64 { return r.blockedInError.Load() }

// RecordAnswer removes the record of a request that a backend server has answered. It reports whether there was one. The end of a
// block is remembered for the window.
func (r *Registry) RecordAnswer(f Fingerprint) bool {
	if r.IsEmpty() {
		return false
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	known := r.findActive(f)
	if known == nil {
		return false
	}
	if known.isBlocked() {
		r.endBlock(f, answer{until: time.Now().Add(r.window), isOwn: true})
		return true
	}
	r.remove(f)
	return true
}

// Expire removes the records whose window has ended.
func (r *Registry) Expire() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for f := range r.records {
		r.findActive(f)
	}
	now := time.Now()
	maps.DeleteFunc(r.answered, func(_ Fingerprint, a answer) bool { return !a.until.After(now) })
}

func (r *Registry) findActive(f Fingerprint) *record {
	known := r.records[f]
	if known != nil && !time.Now().Before(known.expiresAt) {
		r.remove(f)
		return nil
	}
	return known
}

func (r *Registry) remove(f Fingerprint) {
	delete(r.records, f)
	r.count.Add(-1)
}
