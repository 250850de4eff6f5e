// Package story finds in the logs of all VMs what happened to one request, and what the VMs that handled it believed
// meanwhile.
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
	// contextWindow is how long before a request's first line the beliefs of its VM count.
	contextWindow = 5 * time.Second
	// maxLineBytes is the longest line that is read.
	maxLineBytes = 1 << 20
)

// Line is a log line.
type Line struct {
	Time    time.Time
	VM      string
	Event   int
	Message string
	Request string
	Service string
	Server  string
	// Fields are all other fields by name.
	Fields map[string]any
}

// Read returns the log lines of a reader in their order. What stands before a line's JSON object is passed over, and so
// are lines without one.
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
	take := func(name string) string {
		value, _ := fields[name].(string)
		delete(fields, name)
		return value
	}
	number, isNumber := fields["event"].(float64)
	at, err := time.Parse(time.RFC3339, take("time"))
	if !isNumber || err != nil {
		return Line{}, false
	}
	for _, name := range []string{"event", "level", "process"} {
		delete(fields, name)
	}
	return Line{
		Time: at, VM: take("vm"), Event: int(number), Message: take("message"), Request: take("request"),
		Service: take("service"), Server: take("server"), Fields: fields,
	}, true
}

// Select returns the lines that tell of a request, in order of time: its own, and what its VMs came to believe of its service,
// of the store and of their neighbours from shortly before it until its end.
func Select(lines []Line, request string) []Line {
	var own []Line
	for _, l := range lines {
		if l.Request == request {
			own = append(own, l)
		}
	}
	if len(own) == 0 {
		return nil
	}
	slices.SortStableFunc(own, byTime)
	scope := newRequestScope(own)
	out := own
	for _, l := range lines {
		if l.Request == "" && scope.covers(l) {
			out = append(out, l)
		}
	}
	slices.SortStableFunc(out, byTime)
	return out
}

func byTime(a, b Line) int { return a.Time.Compare(b.Time) }

// requestScope is what a request touched.
type requestScope struct {
	from, to time.Time
	vms      map[string]bool
	services map[string]bool
}

func newRequestScope(own []Line) requestScope {
	s := requestScope{from: own[0].Time, to: own[len(own)-1].Time, vms: map[string]bool{}, services: map[string]bool{}}
	for _, l := range own {
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

func (s requestScope) covers(l Line) bool {
	return s.vms[l.VM] && !l.Time.Before(s.from) && !l.Time.After(s.to) && (l.Service == "" || s.services[l.Service])
}

// Write prints lines for a person.
func Write(w io.Writer, lines []Line) error {
	for _, l := range lines {
		if _, err := fmt.Fprintln(w, l); err != nil {
			return err
		}
	}
	return nil
}

// String returns the line for a person.
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
