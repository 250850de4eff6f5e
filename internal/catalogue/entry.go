// Package catalogue holds the operators' configuration: one entry for each service, and the changes that led to it.
// It does no input or output besides reading files: package store stores the changes, and package keeper distributes
// them.
package catalogue

import (
	"encoding/json"
	"net/http"
	"slices"
	"strings"
	"time"

	"github.com/primroseladder/primroseladder/internal/duration"
)

// Class is the priority of a service when capacity is short.
type Class string

// The classes, from the one that is served first to the one that is refused first.
const (
	ClassProtected Class = "protected"
	ClassStandard  Class = "standard"
	ClassBulk      Class = "bulk"
)

// DetectionPolicy chooses between quick detection of unhealthy backend servers and few false ejections.
type DetectionPolicy string

// The detection policies.
const (
	DetectionQuick   DetectionPolicy = "quick"
	DetectionCareful DetectionPolicy = "careful"
)

// Defaults of the fields of an entry.
const (
	DefaultRequestTimeout        = 5 * time.Second
	DefaultMaxRequestBytes       = 1 << 20
	DefaultMaxAnswerBytes        = 4 << 20
	DefaultSlotsPerBackend       = 4
	DefaultQueueLength           = 256
	DefaultConnectionsPerBackend = 360
	DefaultFloorPercent          = 60
	DefaultRetryPercent          = 10
)

// Entry is the configuration of one service of backend servers.
type Entry struct {
	// Service is the unique name of the service.
	Service string `yaml:"service" json:"service"`
	// Owner is the team that is responsible for the service.
	Owner string `yaml:"owner" json:"owner"`
	// Class is protected, standard or bulk. Default standard.
	Class Class `yaml:"class" json:"class"`
	// Routes are the path prefixes whose requests go to the service.
	Routes []Route `yaml:"routes" json:"routes"`
	// Limits bound the requests and connections of the service.
	Limits Limits `yaml:"limits" json:"limits"`
	// Health configures how the health of backend servers is assessed.
	Health Health `yaml:"health" json:"health"`
	// Spill allows requests to be run in other regions.
	Spill Spill `yaml:"spill,omitempty" json:"spill"`
}

// Route is a path prefix with the methods that are idempotent under it.
type Route struct {
	// Prefix matches whole path segments. The longest matching prefix applies.
	Prefix string `yaml:"prefix" json:"prefix"`
	// IdempotentMethods are the methods whose requests may be run more than once. Default GET, HEAD, OPTIONS, PUT, DELETE.
	IdempotentMethods []string `yaml:"idempotent_methods" json:"idempotent_methods,omitzero"`
}

// Limits bound the requests and connections of a service.
type Limits struct {
	// RequestTimeout is the maximum duration of a request. Default 5s.
	RequestTimeout duration.Duration `yaml:"request_timeout" json:"request_timeout"`
	// MaxRequestBytes is the maximum size of a request body in bytes. Default 1 MiB.
	MaxRequestBytes int64 `yaml:"max_request_bytes" json:"max_request_bytes"`
	// MaxAnswerBytes is the maximum size of an answer body in bytes. Default 4 MiB.
	MaxAnswerBytes int64 `yaml:"max_answer_bytes" json:"max_answer_bytes"`
	// SlotsPerBackend is the number of requests that a backend server runs at a time. Default 4.
	SlotsPerBackend int `yaml:"slots_per_backend" json:"slots_per_backend"`
	// QueueLength is the maximum number of requests that wait in one entry. Default 256.
	QueueLength int `yaml:"queue_length" json:"queue_length"`
	// ConnectionsPerBackend is the maximum number of connections from all entries together to a backend server.
	// Default 360.
	ConnectionsPerBackend int `yaml:"connections_per_backend" json:"connections_per_backend"`
	// RetryPercent is the retry budget: the number of retries allowed for 100 successes. Default 10.
	RetryPercent int `yaml:"retry_percent" json:"retry_percent"`
}

// Health configures how the health of a service's backend servers is assessed.
type Health struct {
	// Detection is quick or careful. Default careful.
	Detection DetectionPolicy `yaml:"detection" json:"detection"`
	// FloorPercent is the minimum share of the live backend servers that is kept in service. Default 60.
	FloorPercent int `yaml:"floor_percent" json:"floor_percent"`
	// ProbePath is the path of the probes that are sent to a backend server without enough callers' requests to assess
	// its health. Default none: no probes.
	ProbePath string `yaml:"probe_path,omitempty" json:"probe_path"`
}

// Spill allows requests to be run in other regions if the local region lacks capacity.
type Spill struct {
	// BytesPerSecond is the budget of one entry for requests that are run in other regions. Default 0: no spill.
	BytesPerSecond int64 `yaml:"bytes_per_second,omitempty" json:"bytes_per_second"`
}

// defaultIdempotentMethods are the common methods that RFC 9110 defines as idempotent.
var defaultIdempotentMethods = []string{
	http.MethodGet, http.MethodHead, http.MethodOptions, http.MethodPut, http.MethodDelete,
}

// NewEntry returns an entry with the defaults.
func NewEntry() *Entry {
	e := &Entry{}
	e.ApplyDefaults()
	return e
}

// ApplyDefaults sets fields that have their zero value to the default.
func (e *Entry) ApplyDefaults() {
	setDefault(&e.Class, ClassStandard)
	setDefault(&e.Limits.RequestTimeout, duration.Duration(DefaultRequestTimeout))
	setDefault(&e.Limits.MaxRequestBytes, DefaultMaxRequestBytes)
	setDefault(&e.Limits.MaxAnswerBytes, DefaultMaxAnswerBytes)
	setDefault(&e.Limits.SlotsPerBackend, DefaultSlotsPerBackend)
	setDefault(&e.Limits.QueueLength, DefaultQueueLength)
	setDefault(&e.Limits.ConnectionsPerBackend, DefaultConnectionsPerBackend)
	setDefault(&e.Limits.RetryPercent, DefaultRetryPercent)
	setDefault(&e.Health.Detection, DetectionCareful)
	setDefault(&e.Health.FloorPercent, DefaultFloorPercent)
	e.applyRouteDefaults()
}

// applyRouteDefaults sets missing lists of idempotent methods to the default. An empty list stays empty.
func (e *Entry) applyRouteDefaults() {
	for i := range e.Routes {
		if e.Routes[i].IdempotentMethods == nil {
			e.Routes[i].IdempotentMethods = defaultIdempotentMethods
		}
	}
}

func setDefault[T comparable](field *T, value T) {
	var zero T
	if *field == zero {
		*field = value
	}
}

// IsIdempotent reports whether the catalogue allows the method to be run more than once.
func (r Route) IsIdempotent(method string) bool {
	return slices.Contains(r.IdempotentMethods, method)
}

// Matches reports whether the segments of the prefix are the first segments of path.
func (r Route) Matches(path string) bool {
	prefix := strings.TrimSuffix(r.Prefix, "/")
	if !strings.HasPrefix(path, prefix) {
		return false
	}
	return len(path) == len(prefix) || path[len(prefix)] == '/'
}

// Encode returns the JSON form of the entry. Equal entries have the same JSON form.
func (e *Entry) Encode() ([]byte, error) { return json.Marshal(e.withoutDefaultMethods()) }

// DecodeEntry decodes the JSON form of an entry.
func DecodeEntry(content []byte) (*Entry, error) {
	var e Entry
	if err := json.Unmarshal(content, &e); err != nil {
		return nil, err
	}
	e.restoreDefaultMethods()
	return &e, nil
}
