// Package yamlcheck decodes YAML into structs and reports all faults at once, each with file, line and field. Unknown
// keys, duplicate keys and values of the wrong type are faults.
package yamlcheck

import (
	"cmp"
	"fmt"
	"slices"
	"strings"
)

// Fault is one error in a document.
type Fault struct {
	File string `json:"file"`
	// Line is the line of the field. For a missing field it is the line of the nearest enclosing field. 0 means unknown.
	Line int `json:"line"`
	// Field is the path of the field, such as limits.queue_length or routes[1].prefix.
	Field  string `json:"field"`
	Reason string `json:"reason"`
}

// String returns "file:line: field: reason".
func (f Fault) String() string {
	return fmt.Sprintf("%s:%d: %s: %s", f.File, f.Line, f.Field, f.Reason)
}

// Faults is the list of all faults that were found. It implements error.
type Faults []Fault

func (f Faults) Error() string {
	lines := make([]string, 0, len(f))
	for _, fault := range f {
		lines = append(lines, fault.String())
	}
	return strings.Join(lines, "\n")
}

// Err returns the faults as an error, sorted by file and line, or nil if there are none.
func (f Faults) Err() error {
	if len(f) == 0 {
		return nil
	}
	slices.SortStableFunc(f, func(a, b Fault) int {
		return cmp.Or(cmp.Compare(a.File, b.File), cmp.Compare(a.Line, b.Line))
	})
	return f
}
