package mirror

import (
	"errors"
	"time"
)

// ErrBusy means that the VM is serving its full copy to maxFullTransfers VMs. Its text is sent to the VM that asks.
var ErrBusy = errors.New("the VM gives its whole copy to others")

// maxFullTransfers is the number of VMs to which a VM serves its full copy at a time. Each VM that has
// received the copy serves it in turn, so the copy reaches all VMs of a zone sooner with a few transfers at a time. If all
// took place at once, they would share the link of the first VM: 10 Mbit/s on the smallest.
const maxFullTransfers = 2

// minFullTransferTime is the minimum time for which a full transfer occupies its slot. The socket buffers a small copy
// at once, and two copies of 37 KB take 60 ms on a link of 10 Mbit/s.
const minFullTransferTime = 60 * time.Millisecond

// Feed serves a copy to other VMs. It is safe for concurrent use.
type Feed struct {
	copy          *Copy
	fullTransfers chan struct{}
}

// NewFeed returns a Feed that serves c.
func NewFeed(c *Copy) *Feed {
	return &Feed{copy: c, fullTransfers: make(chan struct{}, maxFullTransfers)}
}

// Serve passes the changes after a revision to send; after 0 that is the full copy. It returns ErrBusy if the full copy
// is requested while maxFullTransfers of it are in progress.
func (f *Feed) Serve(after uint64, send func(Changes) error) error {
	if after > 0 {
		return send(f.copy.Since(after))
	}
	select {
	case f.fullTransfers <- struct{}{}:
		began := time.Now()
		defer func() { time.AfterFunc(minFullTransferTime-time.Since(began), func() { <-f.fullTransfers }) }()
		return send(f.copy.Since(after))
	default:
		return ErrBusy
	}
}
