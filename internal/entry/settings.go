package entry

import (
	"time"

	"github.com/primroseladder/primroseladder/internal/duration"
	"github.com/primroseladder/primroseladder/internal/settings"
	"github.com/primroseladder/primroseladder/internal/tracing"
)

// Settings are the settings of primrose-entry.
type Settings struct {
	settings.Common `yaml:",inline"`

	// KeeperAddress is the peers' listener of the keeper on this VM.
	KeeperAddress string `yaml:"keeper_address"`
	// MemoryWindow is how long the outcome of a non-idempotent request is remembered. Default 10m.
	MemoryWindow duration.Duration `yaml:"memory_window"`
	// MemoryKeys bounds the remembered keys. Default 200000.
	MemoryKeys int `yaml:"memory_keys"`
	// MaxRequests bounds the requests that this entry holds at a time. Default 4096.
	MaxRequests int `yaml:"max_requests"`
	// AnswerLifetime is how long callers keep the answer which VMs to use; a planned stop waits so long. Default 5s.
	AnswerLifetime duration.Duration `yaml:"answer_lifetime"`
	// Trace sets where spans go. Default: no traces.
	Trace tracing.Settings `yaml:"trace"`
}

// DefaultSettings returns the settings that hold where a field is left out.
func DefaultSettings() *Settings {
	return &Settings{
		MemoryWindow:   duration.Duration(10 * time.Minute),
		MemoryKeys:     200_000,
		MaxRequests:    4096,
		AnswerLifetime: duration.Duration(5 * time.Second),
	}
}

// Validate implements settings.Validator.
func (s *Settings) Validate() []settings.Problem {
	var c settings.Checks
	s.Common.Check(&c, settings.NamedValue{Field: "keeper_address", Value: s.KeeperAddress})
	c.Positive("memory_window", s.MemoryWindow)
	c.Add(s.MemoryWindow <= s.AnswerLifetime, "memory_window", "must be above answer_lifetime")
	c.Add(s.MemoryKeys <= 0, "memory_keys", "must be above 0")
	c.Add(s.MaxRequests <= 0, "max_requests", "must be above 0")
	c.Add(s.AnswerLifetime < 0, "answer_lifetime", "must not be negative")
	s.Trace.Check(&c)
	return c
}
