package once

import (
	"container/list"
	"sync"
	"time"
)

// shardCount is the number of shards of a Memory.
const shardCount = 32

// maxKeptBodyBytes is the size in bytes of the largest answer body that is kept.
const maxKeptBodyBytes = 16 << 10

// maxShardBodyBytes is the maximum total size in bytes of the bodies that a shard keeps.
const maxShardBodyBytes = 2 << 20

// shard holds the records of a part of the keys, in the order in which they were stored.
type shard struct {
	mu sync.Mutex
	// records maps each key to its element of the list order. The values of the elements are *record.
	records   map[Key]*list.Element
	order     *list.List
	maxKeys   int
	bodyBytes int
	// completeSince is the time since when no record is missing: the start of this process, or the grant of the youngest
	// record that was evicted.
	completeSince time.Time
}

func (sh *shard) init(maxKeys int) {
	sh.records = map[Key]*list.Element{}
	sh.order = list.New()
	sh.maxKeys = max(1, maxKeys)
	sh.completeSince = time.Now()
}

// find returns the record of a key, or nil if there is none or it is older than window.
func (sh *shard) find(k Key, window time.Duration) *record {
	element := sh.records[k]
	if element == nil {
		return nil
	}
	r := element.Value.(*record)
	if time.Since(r.grantedAt) > window {
		return nil
	}
	return r
}

// put stores a record and replaces an older one of the same key. If the shard is full, it evicts a record.
func (sh *shard) put(r *record) {
	sh.remove(r.key)
	for len(sh.records) >= sh.maxKeys {
		sh.evict()
	}
	sh.records[r.key] = sh.order.PushBack(r)
	sh.accountBody(r)
}

// evict removes the oldest ended record, or the oldest one if all are pending.
func (sh *shard) evict() {
	victim := sh.order.Front()
	for e := victim; e != nil; e = e.Next() {
		if !e.Value.(*record).isPending() {
			victim = e
			break
		}
	}
	r := victim.Value.(*record)
	if r.grantedAt.After(sh.completeSince) {
		sh.completeSince = r.grantedAt
	}
	sh.remove(r.key)
}

func (sh *shard) remove(k Key) {
	element := sh.records[k]
	if element == nil {
		return
	}
	r := element.Value.(*record)
	sh.bodyBytes -= len(r.answer.Body)
	sh.order.Remove(element)
	delete(sh.records, k)
}

// accountBody adds the body of an ended record to bodyBytes, or drops the body if it or the total would be too large.
func (sh *shard) accountBody(r *record) {
	size := len(r.answer.Body)
	if size > maxKeptBodyBytes || sh.bodyBytes+size > maxShardBodyBytes {
		r.answer.Body, r.answer.BodyKept = nil, false
		return
	}
	sh.bodyBytes += size
}

// expire removes the records that are older than window.
func (sh *shard) expire(window time.Duration) {
	var old []Key
	for e := sh.order.Front(); e != nil; e = e.Next() {
		if r := e.Value.(*record); time.Since(r.grantedAt) > window {
			old = append(old, r.key)
		}
	}
	for _, k := range old {
		sh.remove(k)
	}
}
