// Package settings reads the YAML settings of a process. Unknown keys, wrong types and impossible values are refused
// before anything starts, all of them in one run.
package settings

import (
	"fmt"
	"net"
	"net/url"
	"os"

	"github.com/primroseladder/primroseladder/internal/duration"
	"github.com/primroseladder/primroseladder/internal/yamlcheck"
)

// Validator is implemented by settings that check themselves.
type Validator interface {
	// Validate returns the problems of the values.
	Validate() []Problem
}

// Problem is an impossible value.
type Problem struct {
	// Field is the name of the field in the file.
	Field string
	// Reason tells what is wrong with it.
	Reason string
}

// Load reads a file into settings that hold the defaults. Its error is yamlcheck.Faults where the content is at fault.
func Load[T any, P interface {
	*T
	Validator
}](path string, into P,
) error {
	content, err := os.ReadFile(path)
	if err != nil {
		return err
	}
	return Parse(path, content, into)
}

// Parse reads YAML text into settings that hold the defaults.
func Parse[T any, P interface {
	*T
	Validator
}](file string, content []byte, into P,
) error {
	values, documents, faults := yamlcheck.DecodeAll(file, content, func() *T { return (*T)(into) })
	if len(values) != 1 {
		faults = append(faults, yamlcheck.Fault{File: file, Field: "document", Reason: "must be one YAML document"})
		return faults.Err()
	}
	for _, problem := range into.Validate() {
		faults = append(faults, documents[0].Fault(problem.Field, problem.Reason))
	}
	return faults.Err()
}

// Checks collects the problems of a settings struct.
type Checks []Problem

// Add adds a problem where bad is true.
func (c *Checks) Add(bad bool, field, reason string) {
	if bad {
		*c = append(*c, Problem{field, reason})
	}
}

// Required adds a problem for an empty value.
func (c *Checks) Required(field, value string) { c.Add(value == "", field, "must be set") }

// Address adds a problem for a value that is not an IP number with a port.
func (c *Checks) Address(field, value string) {
	host, _, err := net.SplitHostPort(value)
	c.Add(err != nil || net.ParseIP(host) == nil, field, fmt.Sprintf("%q is not an IP number with a port", value))
}

// Positive adds a problem for a duration that is not above 0.
func (c *Checks) Positive(field string, d duration.Duration) { c.Add(d <= 0, field, "must be above 0") }

// URL adds a problem for a value that is not an http or https URL.
func (c *Checks) URL(field, value string) {
	u, err := url.Parse(value)
	bad := err != nil || u.Host == "" || (u.Scheme != "http" && u.Scheme != "https")
	c.Add(bad, field, fmt.Sprintf("%q is not an http or https URL", value))
}

// NamedValue is a value with the name of its field.
type NamedValue struct {
	Field string
	Value string
}

// Distinct adds a problem for each field whose value an earlier one has.
func (c *Checks) Distinct(fields []NamedValue) {
	first := map[string]string{}
	for _, f := range fields {
		other, taken := first[f.Value]
		c.Add(taken && f.Value != "", f.Field, "is the same as "+other)
		if !taken {
			first[f.Value] = f.Field
		}
	}
}
