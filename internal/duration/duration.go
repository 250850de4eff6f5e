// Package duration gives time.Duration a text form, such as "250ms", for YAML and JSON.
package duration

import (
	"fmt"
	"time"
)

// Duration is a time.Duration that is encoded as text such as "2s".
type Duration time.Duration

// Std returns d as a time.Duration.
func (d Duration) Std() time.Duration { return time.Duration(d) }

// String returns the text form of d.
func (d Duration) String() string { return time.Duration(d).String() }

// MarshalText implements encoding.TextMarshaler.
func (d Duration) MarshalText() ([]byte, error) { return []byte(d.String()), nil }

// UnmarshalText implements encoding.TextUnmarshaler.
func (d *Duration) UnmarshalText(text []byte) error {
	parsed, err := time.ParseDuration(string(text))
	if err != nil {
		return fmt.Errorf("%q is not a duration such as 250ms or 2s", text)
	}
	*d = Duration(parsed)
	return nil
}
