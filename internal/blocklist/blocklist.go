// Package blocklist keeps requests that crash backend servers blocked on every VM, also on those that start, wake, were cut off or
// missed the report of a crash.
//
// A VM that blocks a request writes the block to the store, under a lease that ends with it. Every VM has the block in its copy of
// the store, before its first request if it starts later, and after a loss of all VMs. While the store is down, blocks spread by
// questions: each VM regularly tells another one the digest of its blocks, and is sent the blocks of that one if they differ.
package blocklist

import (
	"context"
	"encoding/binary"
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/rs/zerolog"

	"github.com/primroseladder/primroseladder/internal/kv"
	"github.com/primroseladder/primroseladder/internal/logevent"
	"github.com/primroseladder/primroseladder/internal/periodic"
	"github.com/primroseladder/primroseladder/internal/poison"
)

const (
	// keyPrefix is the prefix of the keys of blocks in the store. The fingerprint follows, in hexadecimal digits.
	keyPrefix = "primrose/blocks/"
	keyDigits = 16
	// maxStored limits the blocks in the store.
	maxStored = 1000
	// writeInterval is the time between two rounds of writes while blocks are missing in the store, and maxWrites how many blocks a
	// round writes.
	writeInterval = time.Second
	maxWrites     = 16
	// substituteDelay is how long the store readers of the zones leave a block to the VMs that saw one of its crashes, which may be
	// gone by then.
	substituteDelay = 1500 * time.Millisecond
	// minRemaining is the time below which a block is no longer written or sent to other VMs.
	minRemaining = 5 * time.Second
	// firstAskDelay is when a VM that starts asks for blocks: it then knows the VMs of its zone.
	firstAskDelay = 200 * time.Millisecond
	// askInterval is the interval between two questions. Up to a half of it is added at random. It is below the 3 s for which a VM
	// that wakes or was cut off may act without what it has missed.
	askInterval = 1800 * time.Millisecond
)

// Options configures a List.
type Options struct {
	// Store receives the blocks. If it is nil, they are only passed on by questions.
	Store    kv.Store
	Registry *poison.Registry
	// IsReader reports whether this VM reads the store for its zone.
	IsReader func() bool
	// Ask sends the digest of this VM's blocks to another VM, which sends its own blocks if their digest differs. ReceiveBlocks
	// adopts them.
	Ask func(ctx context.Context, digest uint64)
	Log zerolog.Logger
}

// List passes the blocks of a registry on. It is safe for concurrent use.
type List struct {
	Options

	mu sync.Mutex
	// stored holds the blocks that the store has.
	stored map[poison.Fingerprint]bool
	// firstMissing holds when a block was first seen to be missing in the store.
	firstMissing map[poison.Fingerprint]time.Time
	// removed receives a value when the store has removed a block.
	removed   chan struct{}
	isFailing bool
}

// New returns a List that does nothing until Run is called, except for what it receives.
func New(o Options) *List {
	return &List{
		Options: o, stored: map[poison.Fingerprint]bool{}, firstMissing: map[poison.Fingerprint]time.Time{},
		removed: make(chan struct{}, 1),
	}
}

// Run writes blocks to the store and asks other VMs for theirs until ctx ends.
func (l *List) Run(ctx context.Context) {
	var wait sync.WaitGroup
	wait.Go(func() { l.askRegularly(ctx) })
	for ctx.Err() == nil {
		if l.writeMissing(ctx) {
			periodic.Pause(ctx, writeInterval)
			continue
		}
		select {
		case <-ctx.Done():
		case <-l.Registry.Changes():
		case <-l.removed:
		}
	}
	wait.Wait()
}

func (l *List) askRegularly(ctx context.Context) {
	periodic.Pause(ctx, firstAskDelay)
	for ctx.Err() == nil {
		l.Ask(ctx, l.Digest())
		periodic.Pause(ctx, askInterval+rand.N(askInterval/2))
	}
}

// Digest returns a hash that is equal for equal sets of blocks.
func (l *List) Digest() uint64 {
	var digest uint64
	for _, b := range l.Known() {
		encoded := binary.BigEndian.AppendUint64(nil, uint64(b.Fingerprint))
		if b.IsAnswered {
			encoded = append(encoded, 1)
		}
		digest ^= xxhash.Sum64(encoded)
	}
	return digest
}

// Known returns the blocks that are passed on to other VMs.
func (l *List) Known() []poison.Block {
	var out []poison.Block
	for _, b := range l.Registry.Blocks() {
		if b.Remaining >= minRemaining {
			out = append(out, b)
		}
	}
	return out
}

// BlocksBesides returns the known blocks if their digest differs from the given one.
func (l *List) BlocksBesides(digest uint64) []poison.Block {
	if l.Digest() == digest {
		return nil
	}
	return l.Known()
}

// ReceiveBlocks adopts the blocks of another VM.
func (l *List) ReceiveBlocks(blocks []poison.Block) {
	for _, b := range blocks {
		l.Registry.Adopt(b)
	}
}

// storedBlock is the value of a block in the store.
type storedBlock struct {
	// UntilMS is when the block ends, as a Unix time in milliseconds.
	UntilMS int64 `json:"until_ms"`
}

// Fingerprint returns the fingerprint of the request whose block a key of the store holds.
func Fingerprint(key string) (f poison.Fingerprint, ok bool) {
	digits, ok := strings.CutPrefix(key, keyPrefix)
	if !ok || len(digits) != keyDigits {
		return 0, false
	}
	value, err := strconv.ParseUint(digits, 16, 64)
	return poison.Fingerprint(value), err == nil
}

// Key returns the key of a block in the store.
func Key(f poison.Fingerprint) string { return fmt.Sprintf("%s%0*x", keyPrefix, keyDigits, uint64(f)) }

// Apply adopts a change of a block in the store. A block whose key was deleted stays in force until its time ends: the store may
// have dropped the key early, in an outage.
func (l *List) Apply(f poison.Fingerprint, item kv.Item) {
	l.setStored(f, !item.Deleted)
	if item.Deleted {
		select {
		case l.removed <- struct{}{}:
		default:
		}
		return
	}
	var block storedBlock
	if err := json.Unmarshal(item.Value, &block); err != nil {
		logevent.BlockFailed.Log(l.Log).Str("key", item.Key).Err(err).Send()
		return
	}
	l.Registry.Adopt(poison.Block{Fingerprint: f, Remaining: time.Until(time.UnixMilli(block.UntilMS))})
}

func (l *List) setStored(f poison.Fingerprint, isStored bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if isStored {
		l.stored[f] = true
	} else {
		delete(l.stored, f)
	}
}

// writeMissing writes blocks that the store lacks and removes those that have ended with an answer. It reports whether some are still missing.
func (l *List) writeMissing(ctx context.Context) bool {
	if l.Store == nil {
		return false
	}
	missing, due := l.missing(time.Now())
	for _, b := range due[:min(len(due), maxWrites)] {
		err := l.write(ctx, b)
		if ctx.Err() != nil {
			return false
		}
		l.noteResult(b, err)
		if err != nil {
			return true
		}
		missing--
	}
	return missing > 0
}

// missing returns how many blocks the store lacks or has though they have ended, and those that this VM has to write now.
func (l *List) missing(now time.Time) (count int, due []poison.Block) {
	isReader := l.IsReader()
	l.mu.Lock()
	defer l.mu.Unlock()
	isFull := len(l.stored) >= maxStored
	firstMissing := map[poison.Fingerprint]time.Time{}
	for _, b := range l.Known() {
		if l.stored[b.Fingerprint] != b.IsAnswered {
			continue
		}
		if isFull && !b.IsAnswered {
			continue
		}
		count++
		since, found := l.firstMissing[b.Fingerprint]
		if !found {
			since = now
		}
		firstMissing[b.Fingerprint] = since
		if b.IsOwn || isReader && now.Sub(since) >= substituteDelay {
			due = append(due, b)
		}
	}
	l.firstMissing = firstMissing
	return count, due
}

// write writes a block to the store unless it has it, or removes one that has ended.
func (l *List) write(ctx context.Context, b poison.Block) error {
	if b.IsAnswered {
		_, err := l.Store.Commit(ctx, kv.Txn{Deletes: []string{Key(b.Fingerprint)}})
		return err
	}
	lease, err := l.Store.Grant(ctx, b.Remaining)
	if err != nil {
		return err
	}
	value, err := json.Marshal(storedBlock{UntilMS: time.Now().Add(b.Remaining).UnixMilli()})
	if err != nil {
		return err
	}
	key := Key(b.Fingerprint)
	_, err = l.Store.Commit(ctx, kv.Txn{
		Preconditions: []kv.Precondition{{Key: key}}, Writes: []kv.Write{{Key: key, Value: value, Lease: lease.ID}},
	})
	if errors.Is(err, kv.ErrConflict) {
		// Another VM was first. An unused lease that is not revoked ends by itself.
		_ = l.Store.Revoke(ctx, lease.ID)
		return nil
	}
	return err
}

// noteResult records that a block was written, and logs the first of several failures.
func (l *List) noteResult(b poison.Block, err error) {
	if err == nil {
		l.setStored(b.Fingerprint, !b.IsAnswered)
		logevent.BlockStored.Log(l.Log).Str("key", Key(b.Fingerprint)).Bool("ended", b.IsAnswered).Dur("remaining", b.Remaining).Send()
	} else if !l.isFailing {
		logevent.BlockFailed.Log(l.Log).Str("key", Key(b.Fingerprint)).Err(err).Send()
	}
	l.isFailing = err != nil
}
