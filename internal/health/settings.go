package health

import (
	"time"

	"github.com/primroseladder/primroseladder/internal/catalogue"
)

// Settings are the parameters of a board. A score of 1 ejects a backend server.
type Settings struct {
	// FloorPercent is the minimum share of the live backend servers kept in service, in percent.
	FloorPercent int
	// FailureScore is added to the failing score by one failed request while the other backend servers do not fail.
	FailureScore float64
	// SuccessScore is subtracted from the failing score by one successful request.
	SuccessScore float64
	// SlowThreshold is the log-likelihood ratio that corresponds to a slow score of 1.
	SlowThreshold float64
	// MaxSlowRatio bounds the log-likelihood ratio of one request.
	MaxSlowRatio float64
	// SlowPersistence is how long a backend server must be suspected before it is ejected as slow. A short pause of the
	// backend server, which delays many requests at once, is over by then.
	SlowPersistence time.Duration
	// CorroborationScore is the lowest score with which a VM counts as an observer of an unhealthy backend server.
	CorroborationScore float64
	// Decay is the time constant of the exponential decay of scores.
	Decay time.Duration
	// EjectionTime is the length of the first ejection. Each further one is twice as long, up to MaxEjectionTime.
	EjectionTime    time.Duration
	MaxEjectionTime time.Duration
	// ResetTime is how long a backend server must stay in service before its next ejection counts as the first again.
	ResetTime time.Duration
	// TrialInterval is the least time between two trial requests of one VM.
	TrialInterval time.Duration
	// ConfirmInterval is the least time between two extra idempotent requests that one VM sends to a probably unhealthy
	// backend server in service, to find out sooner whether it is unhealthy.
	ConfirmInterval time.Duration
	// TrialSuccesses is how many trial requests must succeed before slow start.
	TrialSuccesses int
	// TrialMaxWait is how long a trial lasts at most. If it has not been decided by then, for lack of idempotent requests,
	// slow start begins.
	TrialMaxWait time.Duration
	// SlowStart is how long the share of requests grows after a return to service.
	SlowStart time.Duration
	// Now is the clock. The default is time.Now.
	Now func() time.Time
	// Jitter randomises the length of a lease. The default is the function Jitter.
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
