package trial_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/primroseladder/primroseladder/internal/placement/trial"
)

var config = trial.Config{
	Entries: 1, BackendServers: 18, Slots: 4, ServiceTime: 20 * time.Millisecond, Load: 0.8, Choice: trial.ChoiceLeast,
	Requests: 20_000, Seed: 1,
}

// TestOneEntryKnowsAllSlots checks the two extremes: the requests of a single entry, which is aware of all load, are never
// shed; some requests of many entries that are unaware of each other are shed. It also checks that a run can be repeated.
func TestOneEntryKnowsAllSlots(t *testing.T) {
	c := qt.New(t)
	alone := trial.Run(config)
	c.Assert(alone.ShedsPerRequest, qt.Equals, 0.0)
	many := config
	many.Entries = 40
	unaware := trial.Run(many)
	c.Assert(unaware.ShedsPerRequest > 0.05, qt.IsTrue)
	c.Assert(trial.Run(many), qt.Equals, unaware)
}
