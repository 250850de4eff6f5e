// Package lag measures how late this process runs: the delay between the time at which a timer fires and the time at which
// its goroutine gets the processor. A process that lags cannot answer in time what it accepts.
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
	log zerolog.Logger
	// last is the last measured lag, in nanoseconds.
	last atomic.Int64
	// overloadedAt is the time of the last lag above maxLag.
	overloadedAt atomic.Pointer[time.Time]
}

// NewMonitor returns a Monitor that has measured nothing yet.
func NewMonitor(log zerolog.Logger) *Monitor { return &Monitor{log: log} }

// Run measures the lag until ctx ends.
func (m *Monitor) Run(ctx context.Context) {
	for {
		due := time.Now().Add(interval)
		if !periodic.Pause(ctx, interval) {
			return
		}
		now := time.Now()
		m.Record(now.Sub(due), now)
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
