package once

import (
	"container/list"
	"sync"
	"time"
)

const shardCount = 32

// maxKeptBody is the longest answer body that is kept in bytes.
const maxKeptBody = 16 << 10

// maxShardBodyBytes bounds the kept bodies of a shard in bytes.
const maxShardBodyBytes = 2 << 20

// shard holds a part of the keys in the order of their grants.
type shard struct {
	mu        sync.Mutex
	records   map[Key]*list.Element
	order     *list.List
	maxKeys   int
	bodyBytes int
	// completeSince is the time from which on no record is missing.
	completeSince time.Time
}

func (sh *shard) init(maxKeys int) {
	sh.records = map[Key]*list.Element{}
	sh.order = list.New()
	sh.maxKeys = max(1, maxKeys)
	sh.completeSince = time.Now()
}

// find returns the record of a key that is not older than window.
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

// put stores a record in place of an older one of the same key. Where the shard is full the oldest is evicted.
func (sh *shard) put(r *record) {
	sh.remove(r.key)
	for len(sh.records) >= sh.maxKeys {
		sh.evict()
	}
	sh.records[r.key] = sh.order.PushBack(r)
	sh.accountBody(r)
}

// evict drops the oldest ended record, or the oldest one where none has ended.
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

// accountBody counts the body of an ended record, or drops it where too many bytes are kept.
func (sh *shard) accountBody(r *record) {
	size := len(r.answer.Body)
	if size > maxKeptBody || sh.bodyBytes+size > maxShardBodyBytes {
		r.answer.Body, r.answer.BodyKept = nil, false
		return
	}
	sh.bodyBytes += size
}

// expire drops the records that are older than window.
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
