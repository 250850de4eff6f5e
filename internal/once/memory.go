// Package once makes non-idempotent work run at most once. Each idempotency key has a home, the entry VM that ranks
// first for it. The home and the dispatching entry remember for a time which sends were granted and how they ended.
//
// A re-send is never run. It gets the remembered answer or the outcome unknown, so that losing VMs loses answers and
// never runs work twice. Only a send that the caller numbers as a first one may run while its home cannot be reached.
package once

import (
	"context"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/primroseladder/primroseladder/internal/outcome"
)

// Memory remembers the keys whose home is this entry, and those that this entry dispatched.
type Memory struct {
	window      time.Duration
	shards      [shardCount]shard
	homeTracker *HomeTracker
	seal        sealState
}

// NewMemory returns an empty memory that keeps keys for window and reaches back to now. It holds maxKeys at most.
func NewMemory(window time.Duration, maxKeys int, homeTracker *HomeTracker) *Memory {
	m := &Memory{window: window, homeTracker: homeTracker}
	for i := range m.shards {
		m.shards[i].init(maxKeys / shardCount)
	}
	return m
}

func (m *Memory) shard(k Key) *shard {
	return &m.shards[xxhash.Sum64String(k.rankKey())%shardCount]
}

// Claim decides whether a send may be dispatched.
func (m *Memory) Claim(s Send) (Verdict, Answer) {
	sh := m.shard(s.Key)
	sh.mu.Lock()
	defer sh.mu.Unlock()
	if m.seal.isSealed() {
		return VerdictSealed, Answer{}
	}
	known := sh.find(s.Key, m.window)
	if known != nil && known.isCopy && !s.Copy && s.Number == 0 && known.result == outcome.NotRun {
		// Another VM decided about the key and may have granted a later send.
		known = nil
	}
	if known != nil {
		if known.claimID == s.ClaimID && known.isPending() {
			return VerdictGranted, Answer{}
		}
		if !s.canFollow(known) {
			return known.verdict(s)
		}
	}
	if !m.canGrant(sh, s, known != nil) {
		return VerdictNoMemory, Answer{}
	}
	sh.put(newRecord(s))
	return VerdictGranted, Answer{}
}

// canGrant reports whether the rules of the key's scope allow a grant. A send without a number needs a home that
// knows all grants of the window.
func (m *Memory) canGrant(sh *shard, s Send, known bool) bool {
	if s.Copy || s.IsFirst() {
		return true
	}
	if s.Number > 0 || !m.homeTracker.IsHome(s.Key) {
		return false
	}
	return known || (time.Since(sh.completeSince) >= m.window && m.homeTracker.IsAuthoritative(s.Key))
}

// Withdraw drops a claim that was not dispatched because another VM refused it.
func (m *Memory) Withdraw(s Send) {
	sh := m.shard(s.Key)
	sh.mu.Lock()
	defer sh.mu.Unlock()
	known := sh.find(s.Key, m.window)
	if known == nil || known.claimID != s.ClaimID || !known.isPending() {
		return
	}
	known.finish(outcome.Unknown, Answer{})
	sh.remove(s.Key)
}

// Complete records how a granted send ended. A send whose claim did not come is recorded unless it was not run.
func (m *Memory) Complete(s Send, result outcome.Outcome, a Answer) {
	sh := m.shard(s.Key)
	sh.mu.Lock()
	defer sh.mu.Unlock()
	known := sh.find(s.Key, m.window)
	if known != nil && known.claimID == s.ClaimID {
		if known.isPending() {
			known.finish(result, a)
			sh.accountBody(known)
		}
		return
	}
	if result == outcome.NotRun || (known != nil && !known.isSupersededBy(s.Number, result)) {
		return
	}
	created := newRecord(s)
	created.finish(result, a)
	sh.put(created)
}

// Lookup returns what is remembered of a re-send. It waits for a pending send until ctx ends.
func (m *Memory) Lookup(ctx context.Context, s Send) (Verdict, Answer) {
	sh := m.shard(s.Key)
	sh.mu.Lock()
	known := sh.find(s.Key, m.window)
	sh.mu.Unlock()
	if known == nil || known.number < s.firstSendNumber() {
		return VerdictNoMemory, Answer{}
	}
	overdue := time.NewTimer(time.Until(known.grantedAt.Add(known.pendingLimit)))
	defer overdue.Stop()
	select {
	case <-known.done:
	case <-overdue.C:
	case <-ctx.Done():
	}
	sh.mu.Lock()
	defer sh.mu.Unlock()
	return known.verdict(s)
}

// firstSendNumber is the number of the only send so far that can have been dispatched, or 0 without numbers.
func (s Send) firstSendNumber() uint32 {
	if s.Number == 0 {
		return 0
	}
	return s.NotRunThrough + 1
}

// HasFreshList reports whether this VM knows the VM list of a short time ago.
func (m *Memory) HasFreshList() bool { return m.homeTracker.HasFreshList() }

// Expire forgets the keys that are older than the window.
func (m *Memory) Expire() {
	for i := range m.shards {
		sh := &m.shards[i]
		sh.mu.Lock()
		sh.expire(m.window)
		sh.mu.Unlock()
	}
}

// Len returns how many keys are remembered.
func (m *Memory) Len() int {
	total := 0
	for i := range m.shards {
		m.shards[i].mu.Lock()
		total += len(m.shards[i].records)
		m.shards[i].mu.Unlock()
	}
	return total
}

// CoveredDuration returns how far back the memory holds all its grants.
func (m *Memory) CoveredDuration() time.Duration {
	covered := m.window
	for i := range m.shards {
		m.shards[i].mu.Lock()
		covered = min(covered, time.Since(m.shards[i].completeSince))
		m.shards[i].mu.Unlock()
	}
	return covered
}
