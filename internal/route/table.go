package route

import (
	"cmp"
	"slices"
	"strings"
	"sync"
)

// Table looks up routes by host and path. It is safe for concurrent use.
type Table struct {
	Config *Config
	// hosts holds the targets of each lower-case host, those with the longest prefix first.
	hosts map[string][]*Target
	// hostsByService holds the hosts with a route to each service.
	hostsByService map[string][]string
}

// Target is a route of a table with the state of its traffic split.
type Target struct {
	*Route
	mu sync.Mutex
	// credits holds the current weight of each share in the smooth weighted round robin.
	credits []float64
	// total is the sum of the weights.
	total float64
}

// NewTable returns the table of a valid configuration. The old table may be nil. If old has a route with the same host,
// prefix and shares, the new route takes over the state of its split, so that a new version does not restart the split.
func NewTable(c *Config, old *Table) *Table {
	t := &Table{Config: c, hosts: map[string][]*Target{}, hostsByService: map[string][]string{}}
	for i := range c.Routes {
		r := &c.Routes[i]
		host := strings.ToLower(r.Host)
		t.hosts[host] = append(t.hosts[host], newTarget(r, old))
	}
	for _, targets := range t.hosts {
		slices.SortFunc(targets, func(a, b *Target) int { return cmp.Compare(len(b.Prefix), len(a.Prefix)) })
	}
	t.indexServices()
	return t
}

func newTarget(r *Route, old *Table) *Target {
	t := &Target{Route: r, credits: make([]float64, len(r.Shares))}
	for _, s := range r.Shares {
		t.total += s.Weight
	}
	if old == nil {
		return t
	}
	for _, previous := range old.hosts[strings.ToLower(r.Host)] {
		if previous.Prefix == r.Prefix && slices.Equal(previous.Shares, r.Shares) {
			previous.mu.Lock()
			copy(t.credits, previous.credits)
			previous.mu.Unlock()
		}
	}
	return t
}

// Find returns the route of the host with the longest prefix that matches the path, or nil. The host is not case-sensitive.
func (t *Table) Find(host, path string) *Target {
	for _, target := range t.hosts[strings.ToLower(host)] {
		if strings.HasPrefix(path, target.Prefix) {
			return target
		}
	}
	return nil
}

// HostsOf returns the hosts that have a route to the service.
func (t *Table) HostsOf(service string) []string { return t.hostsByService[service] }

func (t *Table) indexServices() {
	for host, targets := range t.hosts {
		for _, target := range targets {
			for _, s := range target.Shares {
				if !slices.Contains(t.hostsByService[s.Service], host) {
					t.hostsByService[s.Service] = append(t.hostsByService[s.Service], host)
				}
			}
		}
	}
}

// LeadsTo reports whether requests of the route may go to the service.
func (t *Target) LeadsTo(service string) bool {
	return slices.ContainsFunc(t.Shares, func(s Share) bool { return s.Service == service && s.Weight > 0 })
}

// NextService returns the service for the next request by smooth weighted round robin: the number of requests that a service
// gets differs from its exact share by at most one.
func (t *Target) NextService() string {
	if len(t.Shares) == 1 {
		return t.Shares[0].Service
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	best := 0
	for i, s := range t.Shares {
		t.credits[i] += s.Weight
		if t.credits[i] > t.credits[best] {
			best = i
		}
	}
	t.credits[best] -= t.total
	return t.Shares[best].Service
}
