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

// Limits of the fields of an entry.
const (
	maxRequestTimeout = 5 * time.Minute
	maxBodyBytes      = 64 << 20
	maxSlots          = 10_000
	maxQueueLength    = 100_000
	maxEntryBytes     = 256 << 10
)

// serviceNamePattern matches a valid service name.
var serviceNamePattern = regexp.MustCompile(`^[a-z0-9]([a-z0-9.-]{0,61}[a-z0-9])?$`)

// knownMethods are the methods that a route may list as idempotent.
var knownMethods = []string{"GET", "HEAD", "OPTIONS", "PUT", "DELETE", "POST", "PATCH"}

// Problem is one invalid field of a catalogue.
type Problem struct {
	// Index is the index of the invalid entry.
	Index int
	// Service is the name of the invalid entry's service.
	Service string
	// Field is the path of the field, such as limits.queue_length.
	Field string
	// Reason describes what is wrong with the field.
	Reason string
	// ConflictsWith is the index of the entry that the field conflicts with, or -1.
	ConflictsWith int
}

func (p Problem) String() string {
	return fmt.Sprintf("service %s: %s: %s", p.Service, p.Field, p.Reason)
}

// Validate returns all problems of a catalogue. entries must be the whole catalogue, since names and prefixes are unique
// in it.
func Validate(entries []*Entry) []Problem {
	c := &checker{services: map[string]int{}, prefixes: map[string]int{}}
	for i, e := range entries {
		c.index, c.entry = i, e
		c.checkIdentity()
		c.checkRoutes()
		c.checkLimits()
		c.checkHealth()
	}
	return c.problems
}

// checker validates one entry after the other and collects their problems.
type checker struct {
	index    int
	entry    *Entry
	services map[string]int
	prefixes map[string]int
	problems []Problem
}

// addIf adds a problem if bad is true.
func (c *checker) addIf(bad bool, field, reason string) { c.addConflict(bad, field, reason, -1) }

// addConflict adds a problem that involves the entry at index other if bad is true.
func (c *checker) addConflict(bad bool, field, reason string, other int) {
	if bad {
		c.problems = append(c.problems, Problem{c.index, c.entry.Service, field, reason, other})
	}
}

func (c *checker) checkIdentity() {
	e := c.entry
	c.addIf(!serviceNamePattern.MatchString(e.Service), "service", "must be a name of lower-case letters, digits, dots and hyphens")
	c.addIf(strings.TrimSpace(e.Owner) == "", "owner", "must be set")
	c.addIf(!slices.Contains([]Class{ClassProtected, ClassStandard, ClassBulk}, e.Class),
		"class", "must be protected, standard or bulk")
	other, taken := c.services[e.Service]
	c.addConflict(taken && e.Service != "", "service", "the name is also used", other)
	if !taken {
		c.services[e.Service] = c.index
	}
	encoded, err := e.Encode()
	c.addIf(err != nil || len(encoded) > maxEntryBytes, "service", fmt.Sprintf("the entry must be below %d bytes", maxEntryBytes))
}

func (c *checker) checkRoutes() {
	c.addIf(len(c.entry.Routes) == 0, "routes", "needs at least one route")
	for i, r := range c.entry.Routes {
		field := fmt.Sprintf("routes[%d].prefix", i)
		clean := strings.TrimSuffix(r.Prefix, "/")
		c.addIf(!strings.HasPrefix(r.Prefix, "/"), field, "must begin with /")
		c.addIf(strings.HasPrefix(clean, "/") && path.Clean(clean) != clean, field, "must not contain //, . or ..")
		c.addIf(strings.ContainsAny(r.Prefix, "?# "), field, "must not contain a query, a fragment or a space")
		other, taken := c.prefixes[clean]
		c.addConflict(taken, field, fmt.Sprintf("overlaps: the prefix %s is also a route", r.Prefix), other)
		if !taken {
			c.prefixes[clean] = c.index
		}
		for j, method := range r.IdempotentMethods {
			c.addIf(!slices.Contains(knownMethods, method), fmt.Sprintf("routes[%d].idempotent_methods[%d]", i, j),
				fmt.Sprintf("%q is not one of %s", method, strings.Join(knownMethods, ", ")))
		}
	}
}

func (c *checker) checkLimits() {
	l := c.entry.Limits
	c.addIf(l.RequestTimeout <= 0 || l.RequestTimeout > duration.Duration(maxRequestTimeout), "limits.request_timeout",
		fmt.Sprintf("must be above 0 and at most %s", maxRequestTimeout))
	c.checkRange("limits.max_request_bytes", l.MaxRequestBytes, 1, maxBodyBytes)
	c.checkRange("limits.max_answer_bytes", l.MaxAnswerBytes, 1, maxBodyBytes)
	c.checkRange("limits.slots_per_backend", int64(l.SlotsPerBackend), 1, maxSlots)
	c.checkRange("limits.queue_length", int64(l.QueueLength), 1, maxQueueLength)
	c.checkRange("limits.connections_per_backend", int64(l.ConnectionsPerBackend), 1, maxSlots)
	c.checkRange("limits.retry_percent", int64(l.RetryPercent), 0, 100)
	c.addIf(c.entry.Spill.BytesPerSecond < 0, "spill.bytes_per_second", "must not be negative")
}

func (c *checker) checkRange(field string, value, low, high int64) {
	c.addIf(value < low || value > high, field, fmt.Sprintf("must be between %d and %d", low, high))
}

func (c *checker) checkHealth() {
	h := c.entry.Health
	c.checkRange("health.floor_percent", int64(h.FloorPercent), 1, 100)
	c.addIf(h.Detection != DetectionQuick && h.Detection != DetectionCareful, "health.detection", "must be quick or careful")
	c.addIf(h.ProbePath != "" && !strings.HasPrefix(h.ProbePath, "/"), "health.probe_path", "must begin with /")
}
