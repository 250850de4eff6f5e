package health

import (
	"time"

	"github.com/primroseladder/primroseladder/internal/catalogue"
)

// Settings tune a board. A score of 1 takes a backend server out of service.
type Settings struct {
	// FloorPercent is the share of live backend servers that stay in service.
	FloorPercent int
	// FailureScore is what one failed request adds.
	FailureScore float64
	// SuccessScore is what one successful request takes off the score for failures.
	SuccessScore float64
	// SlowThreshold is the log-likelihood ratio that makes a score of 1 for slowness.
	SlowThreshold float64
	// MaxSlowRatio bounds the log-likelihood ratio of one request.
	MaxSlowRatio float64
	// SlowPersistence is how long a backend server must be suspected before it leaves for slowness. A short pause of
	// it, which many requests feel at once, is over by then.
	SlowPersistence time.Duration
	// CorroborationScore is the least score that makes a VM an observer of a sick backend server.
	CorroborationScore float64
	// Decay is the time constant with which scores fade.
	Decay time.Duration
	// EjectionTime is the first absence. Each further one is twice as long, up to MaxEjectionTime.
	EjectionTime    time.Duration
	MaxEjectionTime time.Duration
	// ResetTime is how long a backend server must be well before its next absence is a first one again.
	ResetTime time.Duration
	// TrialInterval is the time between two trial requests of one VM.
	TrialInterval time.Duration
	// ConfirmInterval is the time between two idempotent requests that one VM sends on purpose to a backend server
	// that is suspected and still in service, to learn sooner whether it is sick.
	ConfirmInterval time.Duration
	// TrialSuccesses is how many trial requests must succeed before slow start.
	TrialSuccesses int
	// TrialMaxWait is how long a trial waits for an idempotent request before slow start begins without one.
	TrialMaxWait time.Duration
	// SlowStart is how long the share of work grows after a return.
	SlowStart time.Duration
	// Now is the clock. Default time.Now.
	Now func() time.Time
	// Jitter spreads the end of a lease. Default the function Jitter.
	Jitter func(time.Duration) time.Duration
}

// SettingsFor returns the settings of a detection policy.
func SettingsFor(h catalogue.Health) Settings {
	s := Settings{
		FloorPercent:       h.FloorPercent,
		FailureScore:       0.42,
		SuccessScore:       0.08,
		SlowThreshold:      25,
		MaxSlowRatio:       6,
		SlowPersistence:    time.Second,
		CorroborationScore: 0.12,
		Decay:              20 * time.Second,
		EjectionTime:       2 * time.Second,
		MaxEjectionTime:    30 * time.Second,
		ResetTime:          time.Minute,
		TrialInterval:      300 * time.Millisecond,
		ConfirmInterval:    250 * time.Millisecond,
		TrialSuccesses:     3,
		TrialMaxWait:       5 * time.Second,
		SlowStart:          3 * time.Second,
	}
	if h.Detection == catalogue.DetectionQuick {
		s.FailureScore = 0.7
		s.SuccessScore = 0.1
		s.SlowThreshold = 16
		s.SlowPersistence = 400 * time.Millisecond
		s.Decay = 10 * time.Second
		s.MaxEjectionTime = time.Minute
	}
	return s
}
