// Package logsink writes log lines to a pipe or file without blocking and at a limited rate. Lines on failures, refusals and
// health transitions have a limit of their own, so that lines on successes never displace them. If the reader of the pipe is
// slow, the oldest queued lines are lost. Dropped lines are counted and reported.
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
	// queueLines is the number of lines that can wait for the reader: a few seconds at the highest rate.
	queueLines = 2048
	// infoLinesPerSecond is the limit of the level info, and separately of the level debug. Lines of these levels report
	// successes. A VM answers about 40 requests a second at the users' peak.
	infoLinesPerSecond = 200
	// warnLinesPerSecond is the limit of the level warn, and separately of the level error. Lines of these levels report failures
	// and health transitions.
	warnLinesPerSecond = 300
	// timeFormat has milliseconds, so that the lines of several VMs can be sorted by time.
	timeFormat = "2006-01-02T15:04:05.000Z07:00"
	// reportInterval is the time between two reports of dropped lines.
	reportInterval = 5 * time.Second
)

// Sink is the destination of a process's log.
type Sink struct {
	// Log writes to the sink.
	Log     zerolog.Logger
	out     diode.Writer
	dropped atomic.Int64
}

// New returns a sink that writes to out. It sets the time format of all zerolog loggers of the process.
func New(out io.Writer) *Sink {
	zerolog.TimeFieldFormat = timeFormat
	s := &Sink{}
	s.out = diode.NewWriter(out, queueLines, 0, func(missed int) { s.dropped.Add(int64(missed)) })
	s.Log = zerolog.New(s.out).With().Timestamp().Logger().Sample(zerolog.LevelSampler{
		DebugSampler: s.limit(infoLinesPerSecond), InfoSampler: s.limit(infoLinesPerSecond),
		WarnSampler: s.limit(warnLinesPerSecond), ErrorSampler: s.limit(warnLinesPerSecond),
	})
	return s
}

// Dropped returns how many lines were dropped since the start, by the rate limits or from the full queue.
func (s *Sink) Dropped() int64 { return s.dropped.Load() }

// Run logs the number of lines dropped since the last report, if any, every reportInterval until ctx ends.
func (s *Sink) Run(ctx context.Context) {
	reported := int64(0)
	periodic.Run(ctx, reportInterval, func() {
		if now := s.Dropped(); now > reported {
			logevent.LinesDropped.Log(s.Log).Int64("lines", now-reported).Send()
			reported = now
		}
	})
}

// Close writes the queued lines and closes the destination if it is an io.Closer.
func (s *Sink) Close() error { return s.out.Close() }

// flushTimeout limits the time to write the queued lines at the end of the process, whose output may be blocked.
const flushTimeout = 100 * time.Millisecond

// Flush closes the sink at the end of the process. It returns after flushTimeout at the latest.
func (s *Sink) Flush() {
	closed := make(chan struct{})
	go func() {
		defer close(closed)
		_ = s.Close()
	}()
	select {
	case <-closed:
	case <-time.After(flushTimeout):
	}
}

// rateSampler passes a limited number of lines a second and counts the others as dropped.
type rateSampler struct {
	burst zerolog.BurstSampler
	sink  *Sink
}

func (s *Sink) limit(linesPerSecond uint32) *rateSampler {
	return &rateSampler{burst: zerolog.BurstSampler{Burst: linesPerSecond, Period: time.Second}, sink: s}
}

// Sample implements zerolog.Sampler.
func (r *rateSampler) Sample(level zerolog.Level) bool {
	if r.burst.Sample(level) {
		return true
	}
	r.sink.dropped.Add(1)
	return false
}
