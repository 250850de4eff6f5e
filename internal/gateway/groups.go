package gateway

import (
	"sync"
	"time"

	"github.com/primroseladder/primroseladder/internal/membership"
	"github.com/primroseladder/primroseladder/internal/route"
)

// Groups knows which VMs share evidence on a service, and what part of its retries this VM may use.
type Groups struct {
	settings *LiveSettings
	fleet    *membership.Fleet
	table    func() *route.Table

	mu     sync.Mutex
	groups map[string]group
}

// group is what follows for one service from the VMs and routes of a moment.
type group struct {
	at time.Time
	// localAddresses are where the other VMs of the region that serve the service take datagrams.
	localAddresses []string
	// remoteAddresses are the same in the other regions.
	remoteAddresses []string
	// memberCount is how many VMs of the whole fleet serve it.
	memberCount  int
	includesSelf bool
}

// groupLifetime is how long a group is used before it is worked out anew: shorter than a VM may be silent unnoticed.
const groupLifetime = 200 * time.Millisecond

// NewGroups returns the groups of the fleet.
func NewGroups(s *LiveSettings, f *membership.Fleet) *Groups {
	return &Groups{settings: s, fleet: f, table: func() *route.Table { return nil }, groups: map[string]group{}}
}

// SetTableSource sets where the routes in force come from.
func (g *Groups) SetTableSource(table func() *route.Table) { g.table = table }

// LocalAddresses returns where the other VMs of the region that serve a service take datagrams.
func (g *Groups) LocalAddresses(service string) []string { return g.get(service).localAddresses }

// RemoteAddresses returns where the VMs of other regions that serve a service take datagrams.
func (g *Groups) RemoteAddresses(service string) []string { return g.get(service).remoteAddresses }

// dividedSlackShare is the part of the fleet's retries above the ratio that the VMs divide which serve a service. The rest
// covers what each of them may save up.
const dividedSlackShare = 0.8

// RetryAllowance returns how many requests above the ratio this VM may send once more to a service in a window. A VM that
// does not serve the service has none, and lives on what its requests earn.
func (g *Groups) RetryAllowance(service string) float64 {
	current := g.get(service)
	if !current.includesSelf {
		return 0
	}
	return g.settings.Get().RetrySlack * dividedSlackShare / float64(current.memberCount)
}

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
	for _, host := range table.HostsOf(service) {
		for zone := range g.settings.Get().Regions {
			for _, m := range g.fleet.Serving(host, zone, now) {
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
