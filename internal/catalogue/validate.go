package catalogue

import (
	"fmt"
	"path"
	"regexp"
	"slices"
	"strings"
	"time"

	"github.com/primroseladder/primroseladder/internal/duration"
)

// Bounds of the fields of an entry.
const (
	maxRequestTimeout = 5 * time.Minute
	maxBodyBytes      = 64 << 20
	maxSlots          = 10_000
	maxQueueLength    = 100_000
	maxEntryBytes     = 256 << 10
)

// serviceName is the form of the name of a service.
var serviceName = regexp.MustCompile(`^[a-z0-9]([a-z0-9.-]{0,61}[a-z0-9])?$`)

// knownMethods are the methods that a route may call idempotent.
var knownMethods = []string{"GET", "HEAD", "OPTIONS", "PUT", "DELETE", "POST", "PATCH"}

// Problem is one fault of a catalogue.
type Problem struct {
	// Index is the place of the entry at fault.
	Index int
	// Service is the name of the entry at fault.
	Service string
	// Field is the path of the field, such as limits.queue_length.
	Field string
	// Reason tells what is wrong with it.
	Reason string
	// ConflictsWith is the place of the entry that it clashes with, or -1.
	ConflictsWith int
}

func (p Problem) String() string {
	return fmt.Sprintf("service %s: %s: %s", p.Service, p.Field, p.Reason)
}

// Validate returns all problems of a whole catalogue.
func Validate(entries []*Entry) []Problem {
	c := &checker{services: map[string]int{}, prefixes: map[string]int{}}
	for i, e := range entries {
		c.index, c.entry = i, e
		c.names()
		c.routes()
		c.limits()
		c.health()
	}
	return c.problems
}

// checker collects the problems of one entry after the other.
type checker struct {
	index    int
	entry    *Entry
	services map[string]int
	prefixes map[string]int
	problems []Problem
}

func (c *checker) add(bad bool, field, reason string) { c.clash(bad, field, reason, -1) }

func (c *checker) clash(bad bool, field, reason string, other int) {
	if bad {
		c.problems = append(c.problems, Problem{c.index, c.entry.Service, field, reason, other})
	}
}

func (c *checker) names() {
	e := c.entry
	c.add(!serviceName.MatchString(e.Service), "service", "must be a name of lower-case letters, digits, dots and hyphens")
	c.add(strings.TrimSpace(e.Owner) == "", "owner", "must be set")
	c.add(!slices.Contains([]Class{ClassProtected, ClassStandard, ClassBulk}, e.Class), "class", "must be protected, standard or bulk")
	other, taken := c.services[e.Service]
	c.clash(taken && e.Service != "", "service", "the name is also used", other)
	if !taken {
		c.services[e.Service] = c.index
	}
	encoded, err := e.Encode()
	c.add(err != nil || len(encoded) > maxEntryBytes, "service", fmt.Sprintf("the entry must be below %d bytes", maxEntryBytes))
}

func (c *checker) routes() {
	c.add(len(c.entry.Routes) == 0, "routes", "needs at least one route")
	for i, r := range c.entry.Routes {
		field := fmt.Sprintf("routes[%d].prefix", i)
		clean := strings.TrimSuffix(r.Prefix, "/")
		c.add(!strings.HasPrefix(r.Prefix, "/"), field, "must begin with /")
		c.add(strings.HasPrefix(clean, "/") && path.Clean(clean) != clean, field, "must not hold //, . or ..")
		c.add(strings.ContainsAny(r.Prefix, "?# "), field, "must not hold a query, a fragment or a space")
		other, taken := c.prefixes[clean]
		c.clash(taken, field, fmt.Sprintf("overlaps: the prefix %s is also a route", r.Prefix), other)
		if !taken {
			c.prefixes[clean] = c.index
		}
		for j, method := range r.IdempotentMethods {
			c.add(!slices.Contains(knownMethods, method), fmt.Sprintf("routes[%d].idempotent_methods[%d]", i, j),
				fmt.Sprintf("%q is not one of %s", method, strings.Join(knownMethods, ", ")))
		}
	}
}

func (c *checker) limits() {
	l := c.entry.Limits
	c.add(l.RequestTimeout <= 0 || l.RequestTimeout > duration.Duration(maxRequestTimeout), "limits.request_timeout",
		fmt.Sprintf("must be above 0 and at most %s", maxRequestTimeout))
	c.within("limits.max_request_bytes", l.MaxRequestBytes, 1, maxBodyBytes)
	c.within("limits.max_answer_bytes", l.MaxAnswerBytes, 1, maxBodyBytes)
	c.within("limits.slots_per_backend", int64(l.SlotsPerBackend), 1, maxSlots)
	c.within("limits.queue_length", int64(l.QueueLength), 1, maxQueueLength)
	c.within("limits.connections_per_backend", int64(l.ConnectionsPerBackend), 1, maxSlots)
	c.within("limits.retry_percent", int64(l.RetryPercent), 0, 100)
	c.add(c.entry.Spill.BytesPerSecond < 0, "spill.bytes_per_second", "must not be negative")
}

func (c *checker) within(field string, value, low, high int64) {
	c.add(value < low || value > high, field, fmt.Sprintf("must be between %d and %d", low, high))
}

func (c *checker) health() {
	h := c.entry.Health
	c.within("health.floor_percent", int64(h.FloorPercent), 1, 100)
	c.add(h.Detection != DetectionQuick && h.Detection != DetectionCareful, "health.detection", "must be quick or careful")
	c.add(h.ProbePath != "" && !strings.HasPrefix(h.ProbePath, "/"), "health.probe_path", "must begin with /")
}
