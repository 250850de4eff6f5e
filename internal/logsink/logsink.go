// Package logsink writes log lines to standard output without blocking and within a budget a second. Lines on failures,
// refusals and changes of belief have a budget of their own, so that lines on successes never displace them. When the
// reader of the pipe is slow, the oldest waiting lines are lost. What is dropped is counted and said.
package logsink

import (
	"context"
	"io"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"
	"github.com/rs/zerolog/diode"

	"github.com/primroseladder/primroseladder/internal/logevent"
	"github.com/primroseladder/primroseladder/internal/periodic"
)

const (
	// queueLines is how many lines may wait for the reader: some seconds at the full budget.
	queueLines = 2048
	// infoLinesPerSecond is how many lines a second may tell of successes. A VM answers about 40 requests a second at the users'
	// peak.
	infoLinesPerSecond = 200
	// warnLinesPerSecond is how many lines a second may tell of failures and changes of belief.
	warnLinesPerSecond = 300
	// timeFormat has milliseconds, so that lines of several VMs can be put in order.
	timeFormat = "2006-01-02T15:04:05.000Z07:00"
	// reportInterval is the time between two lines on what was dropped.
	reportInterval = 5 * time.Second
)

// Sink is the destination of a process's log.
type Sink struct {
	// Log writes to the sink.
	Log     zerolog.Logger
	out     diode.Writer
	dropped atomic.Int64
}

// New returns a sink that writes to out.
func New(out io.Writer) *Sink {
	zerolog.TimeFieldFormat = timeFormat
	s := &Sink{}
	s.out = diode.NewWriter(out, queueLines, 0, func(missed int) { s.dropped.Add(int64(missed)) })
	s.Log = zerolog.New(s.out).With().Timestamp().Logger().Sample(zerolog.LevelSampler{
		DebugSampler: s.budget(infoLinesPerSecond), InfoSampler: s.budget(infoLinesPerSecond),
		WarnSampler: s.budget(warnLinesPerSecond), ErrorSampler: s.budget(warnLinesPerSecond),
	})
	return s
}

// Dropped returns how many lines were dropped.
func (s *Sink) Dropped() int64 { return s.dropped.Load() }

// Run tells what is dropped until ctx ends.
func (s *Sink) Run(ctx context.Context) {
	said := int64(0)
	periodic.Run(ctx, reportInterval, func() {
		if now := s.Dropped(); now > said {
			logevent.LinesDropped.Log(s.Log).Int64("lines", now-said).Send()
			said = now
		}
	})
}

// Close writes what waits.
func (s *Sink) Close() error { return s.out.Close() }

// budget passes a number of lines a second and counts the others.
type budget struct {
	burst zerolog.BurstSampler
	sink  *Sink
}

func (s *Sink) budget(lines uint32) *budget {
	return &budget{burst: zerolog.BurstSampler{Burst: lines, Period: time.Second}, sink: s}
}

// Sample implements zerolog.Sampler.
func (b *budget) Sample(level zerolog.Level) bool {
	if b.burst.Sample(level) {
		return true
	}
	b.sink.dropped.Add(1)
	return false
}
