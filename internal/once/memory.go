// Package once runs non-idempotent requests at most once. Each idempotency key has a home: the entry VM that ranks first for
// the key. The home and the entry that dispatches a request record which sends were granted and how they ended, and keep
// these records for a retention window.
//
// A re-send is never run. It gets the recorded answer or the outcome unknown, so the loss of VMs can lose answers but never
// causes a second run. While the home of a key is unreachable, only a send that the caller numbers as a first one can run.
package once

import (
	"context"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/primroseladder/primroseladder/internal/outcome"
)

// Memory holds the records of the keys that this entry is the home of, of the sends that it dispatched, and of the claims
// that it keeps as copies for other VMs.
type Memory struct {
	// window is how long a record is kept after its grant.
	window      time.Duration
	shards      [shardCount]shard
	homeTracker *HomeTracker
	seal        grantSeal
}

// NewMemory returns an empty memory that keeps records for window. It holds at most maxKeys of them, spread evenly over the
// shards. Its records are complete only from now on, so unnumbered sends of new keys are granted only after a window.
func NewMemory(window time.Duration, maxKeys int, homeTracker *HomeTracker) *Memory {
	m := &Memory{window: window, homeTracker: homeTracker}
	for i := range m.shards {
		m.shards[i].init(maxKeys / shardCount)
	}
	return m
}

// shard returns the shard of a key.
func (m *Memory) shard(k Key) *shard {
	return &m.shards[xxhash.Sum64String(k.rankKey())%shardCount]
}

// Claim grants a send and records the grant, or returns the verdict that refuses it, with the recorded answer for
// VerdictRemembered. A repeated claim with the same claim ID is granted again while it is pending.
func (m *Memory) Claim(s Send) (Verdict, Answer) {
	sh := m.shard(s.Key)
	sh.mu.Lock()
	defer sh.mu.Unlock()
	if m.seal.isSealed() {
		return VerdictSealed, Answer{}
	}
	known := sh.find(s.Key, m.window)
	if known != nil && known.isCopy && !s.Copy && s.Number == 0 && known.result == outcome.NotRun {
		// The record is a copy: the VM that was the home then may have granted a later send.
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

// canGrant decides about a send that no record of its key rules out: it reports whether the send can be granted. Copies and
// numbered first sends always can, other numbered sends never. An unnumbered send needs this VM to be the home and, unless a
// record of the key is known, to have the records of all grants of the window.
func (m *Memory) canGrant(sh *shard, s Send, known bool) bool {
	if s.Copy || s.IsFirst() {
		return true
	}
	if s.Number > 0 || !m.homeTracker.IsHome(s.Key) {
		return false
	}
	return known || (time.Since(sh.completeSince) >= m.window && m.homeTracker.IsAuthoritative(s.Key))
}

// Withdraw drops a pending claim that is not dispatched because another VM refused it or could not be reached. Lookups that
// wait for its result return.
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

// Complete records how a granted send ended. If this VM has no record of the claim, it creates one, unless the send was not
// run or the record of another claim takes precedence.
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

// Lookup returns the verdict on a re-send. If the earlier send is pending, it waits until that send ends or is overdue, or
// until ctx ends.
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

// firstSendNumber returns the number of the only send so far that can have been dispatched: those up to NotRunThrough were
// not run, and later ones are re-sends. It returns 0 for unnumbered sends.
func (s Send) firstSendNumber() uint32 {
	if s.Number == 0 {
		return 0
	}
	return s.NotRunThrough + 1
}

// HasFreshList reports whether this VM's VM list was confirmed recently enough to grant unnumbered sends.
func (m *Memory) HasFreshList() bool { return m.homeTracker.HasFreshList() }

// Expire deletes the records that are older than the window.
func (m *Memory) Expire() {
	for i := range m.shards {
		sh := &m.shards[i]
		sh.mu.Lock()
		sh.expire(m.window)
		sh.mu.Unlock()
	}
}

// Len returns the number of records.
func (m *Memory) Len() int {
	total := 0
	for i := range m.shards {
		m.shards[i].mu.Lock()
		total += len(m.shards[i].records)
		m.shards[i].mu.Unlock()
	}
	return total
}

// CoveredDuration returns the length of the period, ending now, for which the memory still holds all its grants. It is at most
// the window.
func (m *Memory) CoveredDuration() time.Duration {
	covered := m.window
	for i := range m.shards {
		m.shards[i].mu.Lock()
		covered = min(covered, time.Since(m.shards[i].completeSince))
		m.shards[i].mu.Unlock()
	}
	return covered
}
