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

	// KeeperAddress is the address of the peer listener of the keeper on this VM.
	KeeperAddress string `yaml:"keeper_address"`
	// MemoryWindow is how long the outcome of a non-idempotent request is remembered. Default 10m.
	MemoryWindow duration.Duration `yaml:"memory_window"`
	// MemoryKeys bounds the number of remembered idempotency keys. Default 200000.
	MemoryKeys int `yaml:"memory_keys"`
	// MaxRequests bounds the number of requests in progress in this entry. Default 4096.
	MaxRequests int `yaml:"max_requests"`
	// AnswerLifetime is how long callers may cache the answer that names the VMs to use. A planned stop waits at least that
	// long. Default 5s.
	AnswerLifetime duration.Duration `yaml:"answer_lifetime"`
	// Trace sets the destinations of trace spans. Default: no traces.
	Trace tracing.Settings `yaml:"trace"`
}

// DefaultSettings returns the settings that apply to fields that are omitted.
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
