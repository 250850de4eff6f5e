// Package route finds the route of a request and the service that carries it out. A configuration is immutable; a newer
// version gives a new Table.
package route

import (
	"errors"
	"fmt"
	"strings"
	"time"
)

// Kind tells whether requests of a route may be run more than once.
type Kind int

// The kinds of routes.
const (
	// NonIdempotent requests run at most once.
	NonIdempotent Kind = iota
	// Idempotent requests may be run again.
	Idempotent
)

// Share is a service with its weight in a split.
type Share struct {
	Service string
	Weight  float64
}

// Route says where requests to a host and prefix go.
type Route struct {
	Name string
	Host string
	// Prefix begins and ends with a slash.
	Prefix string
	Kind   Kind
	// Timeout is the longest time until the final answer.
	Timeout time.Duration
	// TargetLatency is the time in which an answer is worth most to its caller.
	TargetLatency time.Duration
	// Priority is the rank of the route's requests; 0 is the highest.
	Priority int
	// MaxAttempts is how many backend servers one request may be sent to.
	MaxAttempts int
	// Shares are the services that requests are divided among; most routes have one.
	Shares []Share
}

// Service is a service of the configuration.
type Service struct {
	Name string
	// MaxConnections is how many connections one backend server takes from all callers together.
	MaxConnections int
}

// Limits bound what a caller may send.
type Limits struct {
	MaxHeaderBytes int
	MaxBodyBytes   int64
	HeaderTimeout  time.Duration
	IdleTimeout    time.Duration
}

// Config is one version of the configuration, whole.
type Config struct {
	Version  uint64
	Routes   []Route
	Services []Service
	Limits   Limits
}

// Validate returns all faults of the configuration.
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

func (r *Route) check(services map[string]bool) error {
	switch {
	case r.Host == "":
		return errors.New("has no host")
	case !strings.HasPrefix(r.Prefix, "/") || !strings.HasSuffix(r.Prefix, "/"):
		return fmt.Errorf("prefix %q does not begin and end with a slash", r.Prefix)
	case r.Timeout <= 0:
		return errors.New("has no timeout")
	case r.MaxAttempts < 1:
		return fmt.Errorf("allows %d attempts", r.MaxAttempts)
	case len(r.Shares) == 0:
		return errors.New("has no service")
	}
	total := 0.0
	for _, s := range r.Shares {
		if !services[s.Service] {
			return fmt.Errorf("names service %q, which does not exist", s.Service)
		}
		if s.Weight < 0 {
			return fmt.Errorf("gives service %q the weight %g", s.Service, s.Weight)
		}
		total += s.Weight
	}
	if total <= 0 {
		return errors.New("has no weight above 0")
	}
	return nil
}
