// Package lag measures how late this process runs. A process that lags cannot answer in time what it accepts.
//
// The lag is the longest of three delays: that of a timer, which shows a process that was stopped; that of goroutines that are ready
// to run, which a timer does not show, since the scheduler runs a goroutine that a timer wakes first; and that of requests which
// wait for each other, as their handlers report it.
package lag

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"github.com/primroseladder/primroseladder/internal/logevent"
	"github.com/primroseladder/primroseladder/internal/periodic"
)

const (
	// interval is the time between two measurements.
	interval = 200 * time.Millisecond
	// maxLag is the lag from which the process is overloaded. A VM whose processor share is granted by the tenth of a second
	// regularly lags by less than one such period.
	maxLag = 250 * time.Millisecond
	// relief is how long after the last such lag the process asks to be spared: the callers that cache its address for three
	// seconds then have left.
	relief = 3 * time.Second
)

// Monitor measures the lag of this process. It is safe for concurrent use.
type Monitor struct {
	log       zerolog.Logger
	scheduler schedulerDelay
	// longestWait is the longest reported wait since the last measurement, in nanoseconds.
	longestWait atomic.Int64
	// last is the last measured lag, in nanoseconds.
	last atomic.Int64
	// overloadedAt is the time of the last lag above maxLag.
	overloadedAt atomic.Pointer[time.Time]
}

// NewMonitor returns a Monitor that has measured nothing yet.
func NewMonitor(log zerolog.Logger) *Monitor {
	return &Monitor{log: log, scheduler: newSchedulerDelay()}
}

// Run measures the lag until ctx ends.
func (m *Monitor) Run(ctx context.Context) {
	for {
		due := time.Now().Add(interval)
		if !periodic.Pause(ctx, interval) {
			return
		}
		now := time.Now()
		m.Record(max(now.Sub(due), m.scheduler.take(), time.Duration(m.longestWait.Swap(0))), now)
	}
}

// ReportWait reports how long a request has waited for others in this process.
func (m *Monitor) ReportWait(wait time.Duration) {
	for longest := m.longestWait.Load(); int64(wait) > longest && !m.longestWait.CompareAndSwap(longest, int64(wait)); {
		longest = m.longestWait.Load()
	}
}

// Record records a lag that was measured at the time now.
func (m *Monitor) Record(lag time.Duration, now time.Time) {
	m.last.Store(int64(lag))
	if lag <= maxLag {
		return
	}
	if !m.NeedsRelief(now) {
		logevent.Overloaded.Log(m.log).Dur("lag_ms", lag).Send()
	}
	m.overloadedAt.Store(&now)
}

// IsOverloaded reports whether the process lags too far behind to take further requests.
func (m *Monitor) IsOverloaded() bool { return m.Lag() > maxLag }

// Lag returns the last measured lag.
func (m *Monitor) Lag() time.Duration { return time.Duration(m.last.Load()) }

// NeedsRelief reports whether the process was overloaded recently, so that callers should be sent to other VMs.
func (m *Monitor) NeedsRelief(now time.Time) bool {
	at := m.overloadedAt.Load()
	return at != nil && now.Sub(*at) < relief
}
