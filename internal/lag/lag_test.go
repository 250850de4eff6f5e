package lag_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/rs/zerolog"

	"github.com/primroseladder/primroseladder/internal/lag"
)

// TestOverloadEndsWithTheLag checks that a process refuses requests only while it lags, and is spared a little longer.
func TestOverloadEndsWithTheLag(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		m := lag.NewMonitor(zerolog.Nop())
		m.Record(90*time.Millisecond, time.Now())
		c.Check(m.IsOverloaded(), qt.IsFalse)
		c.Check(m.NeedsRelief(time.Now()), qt.IsFalse)
		m.Record(400*time.Millisecond, time.Now())
		c.Check(m.IsOverloaded(), qt.IsTrue)
		m.Record(0, time.Now())
		c.Check(m.IsOverloaded(), qt.IsFalse)
		c.Check(m.NeedsRelief(time.Now()), qt.IsTrue)
		time.Sleep(4 * time.Second)
		c.Check(m.NeedsRelief(time.Now()), qt.IsFalse)
	})
}

// TestReportedWaitsCountAsLag guards against a VM that goes on taking requests while those that it has taken wait for each other.
func TestReportedWaitsCountAsLag(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		m := lag.NewMonitor(zerolog.Nop())
		go m.Run(ctx)
		m.ReportWait(600 * time.Millisecond)
		m.ReportWait(2 * time.Millisecond)
		time.Sleep(300 * time.Millisecond)
		c.Check(m.Lag(), qt.Equals, 600*time.Millisecond)
		time.Sleep(200 * time.Millisecond)
		c.Check(m.IsOverloaded(), qt.IsFalse)
	})
}
