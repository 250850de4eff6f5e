// Package tracing records a span for each hop of a request and exports it over OTLP or to a file. It continues the W3C trace
// context of callers and propagates it with outgoing requests. Without a destination tracing is disabled: no span is created
// and nothing is allocated.
//
// Spans are lost while a destination cannot be reached; they never delay a request.
package tracing

import (
	"github.com/primroseladder/primroseladder/internal/settings"
)

// Settings configure the export and the sampling of spans.
type Settings struct {
	// OTLPEndpoint is the IP address and port of a receiver of OTLP over gRPC without TLS. Default none.
	OTLPEndpoint string `yaml:"otlp_endpoint"`
	// File is the path of a file to which spans are appended as JSON lines. Default none.
	File string `yaml:"file"`
	// SampleFraction is the fraction, from 0 to 1, that is traced of the requests whose caller made no sampling decision.
	// Default 0.
	SampleFraction float64 `yaml:"sample_fraction"`
}

// IsEnabled reports whether spans have a destination.
func (s Settings) IsEnabled() bool { return s.OTLPEndpoint != "" || s.File != "" }

// Check adds the problems of invalid values.
func (s Settings) Check(c *settings.Checks) {
	if s.OTLPEndpoint != "" {
		c.Address("trace.otlp_endpoint", s.OTLPEndpoint)
	}
	c.Add(s.SampleFraction < 0 || s.SampleFraction > 1, "trace.sample_fraction", "must be between 0 and 1")
}
