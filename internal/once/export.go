package once

import (
	"sync/atomic"
	"time"

	"github.com/primroseladder/primroseladder/internal/outcome"
)

// grantSeal is set once the memory grants nothing any more. It is never reset.
type grantSeal struct{ sealed atomic.Bool }

func (s *grantSeal) isSealed() bool { return s.sealed.Load() }

// ExportedRecord is a record as it is sent to another VM.
type ExportedRecord struct {
	Send Send
	// Result is empty while the send is pending.
	Result outcome.Outcome
	Answer Answer
	// Age is the time since the grant.
	Age time.Duration
}

// Seal stops all further grants. When it returns, the last grant has been recorded.
func (m *Memory) Seal() {
	m.seal.sealed.Store(true)
	for i := range m.shards {
		m.shards[i].mu.Lock()
		//lint:ignore SA2001 waits for a claim that holds the lock
		m.shards[i].mu.Unlock()
	}
}

// Export returns the records within the window. It leaves out copies of sends that were not run: the VM that decides about
// such a key may have granted a later send.
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

// Import adds the records of a stopping VM. It reports false if this memory is itself sealed; some of the records may then
// have been added.
func (m *Memory) Import(records []ExportedRecord) bool {
	for _, r := range records {
		if !m.importOne(r) {
			return false
		}
	}
	return true
}

// importOne adds a record unless the memory is sealed or holds a record of the key that takes precedence.
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

// RecordHandOver records that a stopped VM handed over all its grants of the last covered period. The next homes were chosen
// by the VM list with index listIndex.
func (m *Memory) RecordHandOver(vm string, covered time.Duration, listIndex uint64) {
	m.homeTracker.RecordHandOver(vm, covered, listIndex)
}
