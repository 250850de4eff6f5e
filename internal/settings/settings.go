// Package settings reads the YAML settings of a process. It reports all unknown keys, wrong types and invalid values at
// once, before the process starts anything.
package settings

import (
	"fmt"
	"net"
	"net/url"
	"os"

	"github.com/primroseladder/primroseladder/internal/duration"
	"github.com/primroseladder/primroseladder/internal/yamlcheck"
)

// Validator is implemented by settings structs.
type Validator interface {
	// Validate returns the problems of the values.
	Validate() []Problem
}

// Problem is an invalid value of a field.
type Problem struct {
	// Field is the name of the field in the file.
	Field string
	// Reason describes what is wrong with the value.
	Reason string
}

// Load reads a file into settings that already have the defaults. The error is yamlcheck.Faults if the content is
// invalid.
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

// Parse decodes YAML text into settings that already have the defaults. The error is yamlcheck.Faults, with file as the
// name of the file.
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

// Checks collects the problems of a settings struct for its Validate method.
type Checks []Problem

// Add adds a problem if bad is true.
func (c *Checks) Add(bad bool, field, reason string) {
	if bad {
		*c = append(*c, Problem{field, reason})
	}
}

// Required adds a problem if value is empty.
func (c *Checks) Required(field, value string) { c.Add(value == "", field, "must be set") }

// Address adds a problem if value is not an IP address with a port. A host name is refused.
func (c *Checks) Address(field, value string) {
	host, _, err := net.SplitHostPort(value)
	c.Add(err != nil || net.ParseIP(host) == nil, field, fmt.Sprintf("%q is not an IP address with a port", value))
}

// Positive adds a problem if d is not above 0.
func (c *Checks) Positive(field string, d duration.Duration) { c.Add(d <= 0, field, "must be above 0") }

// URL adds a problem if value is not an http or https URL with a host.
func (c *Checks) URL(field, value string) {
	u, err := url.Parse(value)
	bad := err != nil || u.Host == "" || (u.Scheme != "http" && u.Scheme != "https")
	c.Add(bad, field, fmt.Sprintf("%q is not an http or https URL", value))
}

// NamedValue is the value of a field with the field's name.
type NamedValue struct {
	Field string
	Value string
}

// Distinct adds a problem for each field that has the same non-empty value as an earlier field.
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
