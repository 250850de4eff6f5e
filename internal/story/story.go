// Package story selects the log lines on one request from the logs of all VMs. It adds the lines on the health of backend
// servers, on the store and on zone peers that the VMs that handled the request logged at that time.
package story

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"slices"
	"strings"
	"time"
)

const (
	// contextWindow is the time before the start of a request from which lines without a request id are included.
	contextWindow = 5 * time.Second
	// maxLineBytes is the longest log line that can be read; a longer one is an error.
	maxLineBytes = 1 << 20
)

// Line is a decoded log line. Request is the request id and Server the backend server. A string is empty if the line lacks the
// field.
type Line struct {
	Time    time.Time
	VM      string
	Event   int
	Message string
	Request string
	Service string
	Server  string
	// Fields holds the other fields by name, except for level and process.
	Fields map[string]any
}

// Read decodes log lines in the order of the reader. It ignores any text before the JSON object of a line, such as a prefix
// added by the log collection, and lines without a JSON object, an event number or a time.
func Read(r io.Reader) ([]Line, error) {
	var lines []Line
	scanner := bufio.NewScanner(r)
	scanner.Buffer(nil, maxLineBytes)
	for scanner.Scan() {
		if line, ok := parse(scanner.Bytes()); ok {
			lines = append(lines, line)
		}
	}
	return lines, scanner.Err()
}

func parse(text []byte) (Line, bool) {
	start := bytes.IndexByte(text, '{')
	if start < 0 {
		return Line{}, false
	}
	fields := map[string]any{}
	if err := json.Unmarshal(text[start:], &fields); err != nil {
		return Line{}, false
	}
	// remove returns the string field of the name and deletes it from the fields.
	remove := func(name string) string {
		value, _ := fields[name].(string)
		delete(fields, name)
		return value
	}
	number, isNumber := fields["event"].(float64)
	at, err := time.Parse(time.RFC3339, remove("time"))
	if !isNumber || err != nil {
		return Line{}, false
	}
	for _, name := range []string{"event", "level", "process"} {
		delete(fields, name)
	}
	return Line{
		Time: at, VM: remove("vm"), Event: int(number), Message: remove("message"), Request: remove("request"),
		Service: remove("service"), Server: remove("server"), Fields: fields,
	}, true
}

// Select returns the lines on a request in order of time: the lines with its id, and lines without a request id from the same
// VMs. The lines without an id were logged from contextWindow before the request until its last line. They are on a service of
// the request or on no service (the store, zone peers). Select returns nil if no line has the id.
func Select(lines []Line, request string) []Line {
	var requestLines []Line
	for _, l := range lines {
		if l.Request == request {
			requestLines = append(requestLines, l)
		}
	}
	if len(requestLines) == 0 {
		return nil
	}
	slices.SortStableFunc(requestLines, byTime)
	scope := newRequestScope(requestLines)
	out := requestLines
	for _, l := range lines {
		if l.Request == "" && scope.covers(l) {
			out = append(out, l)
		}
	}
	slices.SortStableFunc(out, byTime)
	return out
}

func byTime(a, b Line) int { return a.Time.Compare(b.Time) }

// requestScope is the time range, VMs and services of a request. The range begins contextWindow before the request.
type requestScope struct {
	from, to time.Time
	vms      map[string]bool
	services map[string]bool
}

// newRequestScope returns the scope of the lines of a request, which are in order of time. The field took_ms of a line shows
// that the request started before its first line.
func newRequestScope(lines []Line) requestScope {
	s := requestScope{
		from: lines[0].Time, to: lines[len(lines)-1].Time, vms: map[string]bool{}, services: map[string]bool{},
	}
	for _, l := range lines {
		s.vms[l.VM] = true
		s.services[l.Service] = true
		if took, ok := l.Fields["took_ms"].(float64); ok {
			began := l.Time.Add(-time.Duration(took * float64(time.Millisecond)))
			if began.Before(s.from) {
				s.from = began
			}
		}
	}
	s.from = s.from.Add(-contextWindow)
	return s
}

// covers reports whether a line without a request id belongs to the context of the request.
func (s requestScope) covers(l Line) bool {
	return s.vms[l.VM] && !l.Time.Before(s.from) && !l.Time.After(s.to) && (l.Service == "" || s.services[l.Service])
}

// Write writes the lines as text, one after the other.
func Write(w io.Writer, lines []Line) error {
	for _, l := range lines {
		if _, err := fmt.Fprintln(w, l); err != nil {
			return err
		}
	}
	return nil
}

// String returns the line as text: the time of day, VM, [event], message and the other fields as name=value.
func (l Line) String() string {
	parts := []string{l.Time.Format("15:04:05.000"), l.VM, fmt.Sprintf("[%d]", l.Event), l.Message}
	for _, named := range []struct{ name, value string }{{"service", l.Service}, {"server", l.Server}, {"request", l.Request}} {
		if named.value != "" {
			parts = append(parts, named.name+"="+named.value)
		}
	}
	for _, name := range slices.Sorted(maps.Keys(l.Fields)) {
		parts = append(parts, fmt.Sprintf("%s=%v", name, l.Fields[name]))
	}
	return strings.Join(parts, " ")
}
