package logsink_test

import (
	"bytes"
	"io"
	"os"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/primroseladder/primroseladder/internal/logsink"
)

// TestBlockedReaderDoesNotDelayWriters logs far more than the buffer of a pipe while nobody reads the pipe, and checks that no
// line takes long to log and that the excess is counted as dropped.
func TestBlockedReaderDoesNotDelayWriters(t *testing.T) {
	c := qt.New(t)
	reader, writer, err := os.Pipe()
	c.Assert(err, qt.IsNil)
	sink := logsink.New(writer)
	line := strings.Repeat("x", 1000)
	slowest := time.Duration(0)
	for n := range 3000 {
		if n%150 == 149 {
			// Spread the lines over a second, so that more of them pass the rate limit and fill up the pipe and the queue.
			time.Sleep(50 * time.Millisecond)
		}
		began := time.Now()
		sink.Log.Warn().Msg(line)
		slowest = max(slowest, time.Since(began))
	}
	c.Check(slowest < 50*time.Millisecond, qt.IsTrue, qt.Commentf("a line took %v", slowest))
	c.Check(sink.Dropped() > 0, qt.IsTrue)
	go func() { _, _ = io.Copy(io.Discard, reader) }()
	// Close also closes the pipe.
	c.Check(sink.Close(), qt.IsNil)
}

// TestFlushWritesTheLastLines checks that a line that is logged right before the end of the process is written, and that a
// blocked reader does not hold up the end. It guards against the loss of the line that says that a planned stop has ended.
func TestFlushWritesTheLastLines(t *testing.T) {
	c := qt.New(t)
	var out bytes.Buffer
	sink := logsink.New(&out)
	sink.Log.Info().Msg("last")
	sink.Flush()
	c.Check(strings.Contains(out.String(), "last"), qt.IsTrue)

	reader, writer, err := os.Pipe()
	c.Assert(err, qt.IsNil)
	defer reader.Close()
	blocked := logsink.New(writer)
	for range 100 {
		blocked.Log.Warn().Msg(strings.Repeat("x", 1000))
	}
	began := time.Now()
	blocked.Flush()
	c.Check(time.Since(began) < 500*time.Millisecond, qt.IsTrue, qt.Commentf("%v", time.Since(began)))
}

// TestSuccessesDoNotDisplaceFailures logs more successes than their rate limit allows and then a failure, which must be written.
func TestSuccessesDoNotDisplaceFailures(t *testing.T) {
	c := qt.New(t)
	var out bytes.Buffer
	sink := logsink.New(&out)
	for range 5000 {
		sink.Log.Info().Msg("success")
	}
	sink.Log.Warn().Msg("failure")
	c.Assert(sink.Close(), qt.IsNil)
	lines := strings.Split(strings.TrimSpace(out.String()), "\n")
	// The loop may extend over the end of a second, after which the limit applies anew.
	c.Check(len(lines) <= 2*200+1, qt.IsTrue, qt.Commentf("%d lines", len(lines)))
	c.Check(strings.Contains(lines[len(lines)-1], "failure"), qt.IsTrue)
	c.Check(sink.Dropped() >= 5000-2*200, qt.IsTrue)
}
