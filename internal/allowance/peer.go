package allowance

import (
	"sync/atomic"
	"time"
)

const (
	// quietTime is how long a counter may report nothing before it is assumed that it may be out of touch.
	quietTime = 250 * time.Millisecond
	// touchTimeout is how long a counter may be silent before it is considered out of touch. At least two of its reports are due.
	touchTimeout = 1200 * time.Millisecond
	// frozenAfter is how late a VM may run before it no longer relies on what it knows.
	frozenAfter = time.Second
)

// touch says what is known of a counter.
type touch int32

const (
	inTouch touch = iota
	// lost counters were silent for touchTimeout. They may go on accepting requests.
	lost
	// gone counters accept no more requests.
	gone
)

// peer is one start of another counter.
type peer struct {
	incarnation uint64
	state       atomic.Int32
	// reports is the number of reports received.
	reports atomic.Uint32
	// lastReport is when the last report was received.
	lastReport atomic.Pointer[time.Time]
	// isInformed is guarded by Ledger.mu.
	isInformed bool
}

func (p *peer) silence(now time.Time) time.Duration { return now.Sub(*p.lastReport.Load()) }

// isSilent reports whether the counter may be out of touch.
func (p *peer) isSilent(now time.Time) bool { return p.silence(now) > quietTime }

func (p *peer) isGone() bool { return touch(p.state.Load()) == gone }

func (p *peer) set(t touch) { p.state.Store(int32(t)) }
