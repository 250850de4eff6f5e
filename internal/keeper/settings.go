package keeper

import (
	"time"

	"github.com/primroseladder/primroseladder/internal/duration"
	"github.com/primroseladder/primroseladder/internal/settings"
)

// Settings holds the settings of primrose-keeper.
type Settings struct {
	settings.Common `yaml:",inline"`

	// StoreURL is the base URL of the platform's key-value service.
	StoreURL string `yaml:"store_url"`
	// VMListURL is the base URL of the platform's VM list.
	VMListURL string `yaml:"vm_list_url"`
	// Seeds are the peer addresses of other keepers that a starting keeper asks while it cannot read the VM list.
	// Default none.
	Seeds []string `yaml:"seeds"`
	// AnswerLifetime is how long callers may cache the answer that names the VMs to use. Default 5s.
	AnswerLifetime duration.Duration `yaml:"answer_lifetime"`
	// ExchangeInterval is the time between two comparisons of revisions with another keeper. Default 1s.
	ExchangeInterval duration.Duration `yaml:"exchange_interval"`
	// ListWait is how long one long poll of the VM list lasts. An entry grants keys without send numbers only if
	// its list was confirmed within a quarter of its memory_window. Default 20s.
	ListWait duration.Duration `yaml:"list_wait"`
}

// DefaultSettings returns the values used for omitted fields.
func DefaultSettings() *Settings {
	return &Settings{
		AnswerLifetime:   duration.Duration(5 * time.Second),
		ExchangeInterval: duration.Duration(time.Second),
		ListWait:         duration.Duration(20 * time.Second),
	}
}

// Validate implements settings.Validator.
func (s *Settings) Validate() []settings.Problem {
	var c settings.Checks
	s.Common.Check(&c)
	c.URL("store_url", s.StoreURL)
	c.URL("vm_list_url", s.VMListURL)
	c.Positive("answer_lifetime", s.AnswerLifetime)
	c.Positive("exchange_interval", s.ExchangeInterval)
	c.Positive("list_wait", s.ListWait)
	return c
}
