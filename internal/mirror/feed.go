package mirror

import (
	"errors"
	"time"
)

// ErrBusy means that a VM gives its whole copy to others just now and takes no more of them.
var ErrBusy = errors.New("the VM gives its whole copy to others")

// maxFullTransfers is how many VMs at a time get the whole copy from one VM. Each that has it gives it on, so a few at a time
// reach a zone sooner than all at once, which share the link of the first VM: 10 Mbit/s on the smallest.
const maxFullTransfers = 2

// minFullTransferTime is how long a VM that gets the whole copy counts at least. The socket takes a small copy at once, and two of
// 37 KB are on a link of 10 Mbit/s for 60 ms.
const minFullTransferTime = 60 * time.Millisecond

// Feed gives a copy to other VMs. It may be used by several goroutines.
type Feed struct {
	copy          *Copy
	fullTransfers chan struct{}
}

// NewFeed returns a giver of the copy.
func NewFeed(c *Copy) *Feed {
	return &Feed{copy: c, fullTransfers: make(chan struct{}, maxFullTransfers)}
}

// Serve passes the changes after a revision to send. It returns ErrBusy where the whole copy is asked for and
// maxWholeGives other VMs are getting it.
func (g *Feed) Serve(after uint64, send func(Changes) error) error {
	if after > 0 {
		return send(g.copy.Since(after))
	}
	select {
	case g.fullTransfers <- struct{}{}:
		began := time.Now()
		defer func() { time.AfterFunc(minFullTransferTime-time.Since(began), func() { <-g.fullTransfers }) }()
		return send(g.copy.Since(after))
	default:
		return ErrBusy
	}
}
