package gateway

import (
	"sync"
	"time"

	"github.com/primroseladder/primroseladder/internal/membership"
	"github.com/primroseladder/primroseladder/internal/route"
)

// Groups determines the VMs that serve each service. They share evidence on its backend servers and divide its retries.
// It implements vmpeer.Groups and is safe for concurrent use once SetTableSource has been called.
type Groups struct {
	settings *LiveSettings
	fleet    *membership.Fleet
	table    func() *route.Table

	mu     sync.Mutex
	groups map[string]group
}

// group describes the VMs that serve one service.
type group struct {
	// at is the time at which the group was determined.
	at time.Time
	// localAddresses are the peer addresses of the other VMs of the local region that serve the service.
	localAddresses []string
	// remoteAddresses are the peer addresses of the VMs of other regions that serve the service.
	remoteAddresses []string
	// memberCount is the number of VMs of the whole fleet that serve the service, at least 1.
	memberCount int
	// includesSelf is set if this VM serves the service.
	includesSelf bool
}

// groupLifetime is how long a group is cached. It is shorter than the time after which a silent VM is detected.
const groupLifetime = 200 * time.Millisecond

// NewGroups returns the groups of the fleet. They are empty until SetTableSource is called.
func NewGroups(s *LiveSettings, f *membership.Fleet) *Groups {
	return &Groups{settings: s, fleet: f, table: func() *route.Table { return nil }, groups: map[string]group{}}
}

// SetTableSource sets the function that returns the routes in force, or nil before the first configuration. It must be
// called before the Groups are used by several goroutines.
func (g *Groups) SetTableSource(table func() *route.Table) { g.table = table }

// LocalAddresses returns the peer addresses of the other VMs of the local region that serve a service.
func (g *Groups) LocalAddresses(service string) []string { return g.get(service).localAddresses }

// RemoteAddresses returns the peer addresses of the VMs of other regions that serve a service.
func (g *Groups) RemoteAddresses(service string) []string { return g.get(service).remoteAddresses }

// Serves reports whether this VM serves a service.
func (g *Groups) Serves(service string) bool { return g.get(service).includesSelf }

// dividedSlackShare is the share of Settings.RetrySlack that is divided among the VMs that serve a service. The rest
// covers the unused retries that each of them may accumulate.
const dividedSlackShare = 0.8

// RetryAllowance returns how many retries in a Settings.RetryWindow this VM may send to a service in addition to
// Settings.RetryRatio. It is 0 for a VM that does not serve the service: such a VM has only the retries that its requests
// earn by the ratio.
func (g *Groups) RetryAllowance(service string) float64 {
	current := g.get(service)
	if !current.includesSelf {
		return 0
	}
	return g.settings.Get().RetrySlack * dividedSlackShare / float64(current.memberCount)
}

// RegionRetryAllowance returns the sum of RetryAllowance over the VMs of the local region.
func (g *Groups) RegionRetryAllowance(service string) float64 {
	return g.RetryAllowance(service) * float64(1+len(g.get(service).localAddresses))
}

// get returns the group of a service, at most groupLifetime old.
func (g *Groups) get(service string) group {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := time.Now()
	known, found := g.groups[service]
	if found && now.Sub(known.at) < groupLifetime {
		return known
	}
	known = g.build(service, now)
	g.groups[service] = known
	return known
}

func (g *Groups) build(service string, now time.Time) group {
	out := group{at: now, memberCount: 1}
	table := g.table()
	if table == nil {
		return out
	}
	members := map[string]membership.Member{}
	view := g.fleet.View(now)
	for _, host := range table.HostsOf(service) {
		for zone := range g.settings.Get().Regions {
			for _, m := range view.Serving(host, zone) {
				members[m.Name] = m
			}
		}
	}
	_, out.includesSelf = members[g.settings.Get().VM]
	out.memberCount = max(1, len(members))
	for name, m := range members {
		switch {
		case m.Region != g.settings.Get().Region:
			out.remoteAddresses = append(out.remoteAddresses, m.PeerAddress)
		case name != g.settings.Get().VM:
			out.localAddresses = append(out.localAddresses, m.PeerAddress)
		}
	}
	return out
}
