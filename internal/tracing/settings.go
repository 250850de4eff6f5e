// Package tracing sets up the spans of a process: one for each hop of a request. W3C trace context is taken from
// callers and passed on. Without a destination no span is made, and a request costs nothing more.
//
// A destination that cannot be reached loses spans and never delays a request.
package tracing

import (
	"github.com/primroseladder/primroseladder/internal/settings"
)

// Settings tell where spans go.
type Settings struct {
	// OTLPEndpoint is the IP number and port of an OTLP receiver over gRPC. Default none.
	OTLPEndpoint string `yaml:"otlp_endpoint"`
	// File takes the spans as JSON lines. Default none.
	File string `yaml:"file"`
	// SampleFraction is the share of requests that are traced, from 0 to 1, where the caller decided nothing. Default 0.
	SampleFraction float64 `yaml:"sample_fraction"`
}

// IsEnabled reports whether spans go anywhere.
func (s Settings) IsEnabled() bool { return s.OTLPEndpoint != "" || s.File != "" }

// Check adds the problems of the values.
func (s Settings) Check(c *settings.Checks) {
	if s.OTLPEndpoint != "" {
		c.Address("trace.otlp_endpoint", s.OTLPEndpoint)
	}
	c.Add(s.SampleFraction < 0 || s.SampleFraction > 1, "trace.sample_fraction", "must be between 0 and 1")
}
