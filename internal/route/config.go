// Package route maps a request to its route and to the service that runs it. A configuration is immutable; each version
// gets a Table of its own.
package route

import (
	"errors"
	"fmt"
	"strings"
	"time"

	"github.com/primroseladder/primroseladder/internal/organisation"
)

// Kind states whether requests of a route can be run more than once.
type Kind int

// The kinds of routes.
const (
	// NonIdempotent requests run at most once.
	NonIdempotent Kind = iota
	// Idempotent requests can be run more than once.
	Idempotent
)

// Share is a service and its weight in a traffic split. A service gets requests in proportion to its weight.
type Share struct {
	Service string
	Weight  float64
}

// Route sets how requests to a host and path prefix are handled.
type Route struct {
	Name string
	Host string
	// Prefix begins and ends with a slash.
	Prefix string
	Kind   Kind
	// Timeout is the maximum time from the arrival of a request to its final answer.
	Timeout time.Duration
	// TargetLatency is the latency within which an answer has its full value for the caller.
	TargetLatency time.Duration
	// Priority is the rank of the route's requests; 0 is the highest.
	Priority int
	// MaxAttempts is the maximum number of backend servers that one request is sent to.
	MaxAttempts int
	// IsPublic is set if requests need no key although the configuration has organisations.
	IsPublic bool
	// Shares are the services among which requests are split; most routes have one.
	Shares []Share
}

// Service holds the settings of one service.
type Service struct {
	Name string
	// MaxConnections is the number of connections that one backend server accepts from all callers together.
	MaxConnections int
}

// Limits restrict the requests and connections of callers.
type Limits struct {
	MaxHeaderBytes int
	MaxBodyBytes   int64
	HeaderTimeout  time.Duration
	IdleTimeout    time.Duration
}

// Config is one complete version of the configuration.
type Config struct {
	Version  uint64
	Routes   []Route
	Services []Service
	Limits   Limits
	// Organisations are those whose keys callers must send, except on public routes. If it is nil, requests carry no keys.
	Organisations *organisation.Directory
}

// Validate returns the first error of each invalid route, joined, or nil.
func (c *Config) Validate() error {
	services := map[string]bool{}
	for _, s := range c.Services {
		services[s.Name] = true
	}
	var faults []error
	for _, r := range c.Routes {
		if err := r.check(services); err != nil {
			faults = append(faults, fmt.Errorf("route %q: %w", r.Name, err))
		}
	}
	return errors.Join(faults...)
}

// check returns the first error of the route. The map holds the names of the configured services.
func (r *Route) check(services map[string]bool) error {
	switch {
	case r.Host == "":
		return errors.New("host is missing")
	case !strings.HasPrefix(r.Prefix, "/") || !strings.HasSuffix(r.Prefix, "/"):
		return fmt.Errorf("prefix %q must begin and end with a slash", r.Prefix)
	case r.Timeout <= 0:
		return errors.New("timeout must be positive")
	case r.MaxAttempts < 1:
		return fmt.Errorf("maximum number of attempts is %d, must be positive", r.MaxAttempts)
	case len(r.Shares) == 0:
		return errors.New("service is missing")
	}
	total := 0.0
	for _, s := range r.Shares {
		if !services[s.Service] {
			return fmt.Errorf("service %q does not exist", s.Service)
		}
		if s.Weight < 0 {
			return fmt.Errorf("service %q has the negative weight %g", s.Service, s.Weight)
		}
		total += s.Weight
	}
	if total <= 0 {
		return errors.New("no service has a positive weight")
	}
	return nil
}
