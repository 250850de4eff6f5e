package once

import (
	"sync/atomic"
	"time"

	"github.com/primroseladder/primroseladder/internal/outcome"
)

// sealState ends the granting for good.
type sealState struct{ sealed atomic.Bool }

func (s *sealState) isSealed() bool { return s.sealed.Load() }

// ExportedRecord is one record as it passes to another VM.
type ExportedRecord struct {
	Send   Send
	Result outcome.Outcome
	Answer Answer
	Age    time.Duration
}

// Seal ends the granting. It returns after the last grant was recorded.
func (m *Memory) Seal() {
	m.seal.sealed.Store(true)
	for i := range m.shards {
		m.shards[i].mu.Lock()
		//lint:ignore SA2001 waiting for a claim that holds the lock
		m.shards[i].mu.Unlock()
	}
}

// Export returns all records that another VM may rely on.
func (m *Memory) Export() []ExportedRecord {
	var out []ExportedRecord
	for i := range m.shards {
		sh := &m.shards[i]
		sh.mu.Lock()
		for e := sh.order.Front(); e != nil; e = e.Next() {
			r := e.Value.(*record)
			if time.Since(r.grantedAt) <= m.window && !(r.isCopy && r.result == outcome.NotRun) {
				out = append(out, r.export())
			}
		}
		sh.mu.Unlock()
	}
	return out
}

func (r *record) export() ExportedRecord {
	return ExportedRecord{
		Send: Send{
			Key: r.key, Number: r.number, BodyDigest: r.bodyDigest, ClaimID: r.claimID, Copy: r.isCopy,
			Timeout: r.pendingLimit - pendingGrace,
		},
		Result: r.result, Answer: r.answer, Age: time.Since(r.grantedAt),
	}
}

// Import takes records of a stopping VM. It reports false where this memory was itself handed over.
func (m *Memory) Import(records []ExportedRecord) bool {
	for _, r := range records {
		if !m.importOne(r) {
			return false
		}
	}
	return true
}

func (m *Memory) importOne(e ExportedRecord) bool {
	sh := m.shard(e.Send.Key)
	sh.mu.Lock()
	defer sh.mu.Unlock()
	if m.seal.isSealed() {
		return false
	}
	known := sh.find(e.Send.Key, m.window)
	if known != nil && known.claimID == e.Send.ClaimID {
		if known.isPending() && e.Result != "" {
			known.finish(e.Result, e.Answer)
			sh.accountBody(known)
		}
		return true
	}
	if known != nil && !known.isSupersededBy(e.Send.Number, e.Result) {
		return true
	}
	created := newRecord(e.Send)
	created.grantedAt = time.Now().Add(-e.Age)
	if e.Result != "" {
		created.finish(e.Result, e.Answer)
	}
	sh.put(created)
	return true
}

// RecordHandOver says that a stopped VM handed over all its grants of the last reach.
func (m *Memory) RecordHandOver(vm string, covered time.Duration, listIndex uint64) {
	m.homeTracker.RecordHandOver(vm, covered, listIndex)
}
