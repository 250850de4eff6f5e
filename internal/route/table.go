package route

import (
	"cmp"
	"slices"
	"strings"
	"sync"
)

// Table finds routes. It may be used by several goroutines.
type Table struct {
	Config *Config
	hosts  map[string][]*Target
	// hostsByService are the hosts by service.
	hostsByService map[string][]string
}

// Target is a route of a table with its state of division among services.
type Target struct {
	*Route
	mu sync.Mutex
	// credits hold for each share what it is owed.
	credits []float64
	total   float64
}

// NewTable returns the table of a checked configuration. A route that old has with the same shares goes on dividing
// where old has stopped, so that a new version does not begin its division anew.
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

// Find returns the route of the host with the longest prefix of the path. It returns nil where there is none.
func (t *Table) Find(host, path string) *Target {
	for _, target := range t.hosts[strings.ToLower(host)] {
		if strings.HasPrefix(path, target.Prefix) {
			return target
		}
	}
	return nil
}

// HostsOf returns the hosts with routes whose requests may go to a service.
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

// NextService returns the service of the next request, by smooth weighted round robin: over any run of requests each service
// has its share to within one request.
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
