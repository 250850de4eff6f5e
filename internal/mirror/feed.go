package mirror

import (
	"errors"
	"time"

	"github.com/primroseladder/primroseladder/internal/kv"
)

// ErrBusy means that the VM is serving maxLargeTransfers large transfers. Its text is sent to the VM that asks.
var ErrBusy = errors.New("the VM gives its copy to others")

// largeTransferBytes is the size of the values of a transfer from which it counts as large. A full copy is always large.
const largeTransferBytes = 16 << 10

// maxLargeTransfers is the number of VMs to which a VM serves a large transfer at a time. Each VM that has received the
// changes serves them in turn, so they reach all VMs of a zone sooner with a few transfers at a time. If all took place at
// once, they would share the link of the first VM: 10 Mbit/s on the smallest.
const maxLargeTransfers = 2

// minLargeTransferTime is the minimum time for which a large transfer occupies its slot. The socket buffers a small copy
// at once, and two copies of 37 KB take 60 ms on a link of 10 Mbit/s.
const minLargeTransferTime = 60 * time.Millisecond

// Feed serves a copy to other VMs. It is safe for concurrent use.
type Feed struct {
	copy           *Copy
	largeTransfers chan struct{}
}

// NewFeed returns a Feed that serves c.
func NewFeed(c *Copy) *Feed {
	return &Feed{copy: c, largeTransfers: make(chan struct{}, maxLargeTransfers)}
}

// Serve passes the changes after a position to send, or the full copy as Since does. It returns
// ErrBusy if the transfer is large while maxLargeTransfers are in progress.
func (f *Feed) Serve(after kv.Position, send func(Changes) error) error {
	changes := f.copy.Since(after, time.Now())
	if !changes.IsLarge(after) {
		return send(changes)
	}
	select {
	case f.largeTransfers <- struct{}{}:
		began := time.Now()
		defer func() { time.AfterFunc(minLargeTransferTime-time.Since(began), func() { <-f.largeTransfers }) }()
		return send(changes)
	default:
		return ErrBusy
	}
}

// IsLarge reports whether the changes after a position are too many to be sent to all VMs of a zone at once. A full copy always
// is.
func (c Changes) IsLarge(after kv.Position) bool {
	if c.IsFull || after.Revision == 0 || after.Era != c.Era {
		return true
	}
	size := 0
	for _, e := range c.Entries {
		size += len(e.Value)
	}
	return size >= largeTransferBytes
}

func isLarge(items []kv.Item) bool {
	size := 0
	for _, i := range items {
		size += len(i.Value)
	}
	return size >= largeTransferBytes
}
