package gateway

import (
	"cmp"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"github.com/primroseladder/primroseladder/internal/allowance"
	"github.com/primroseladder/primroseladder/internal/membership"
	"github.com/primroseladder/primroseladder/internal/vmpeer"
)

const (
	// maxCounters is how many VMs count the requests of organisations, divided evenly among the regions. Each of them reports to all
	// others.
	maxCounters = 8
	// minRegionCounters is how many of them each region has at least, also if there are then more than maxCounters.
	minRegionCounters = 2
	// defaultQuotaWindow applies where the settings name no Settings.QuotaWindow.
	defaultQuotaWindow = 5 * time.Second
	// countersLifetime is how long the list of counters is cached.
	countersLifetime = 500 * time.Millisecond
)

// counters chooses the VMs that count the requests of organisations: the largest ones, which get most of the callers.
type counters struct {
	settings *Settings
	fleet    *membership.Fleet

	mu   sync.Mutex
	at   time.Time
	list []allowance.Counter
}

func (c *counters) get() []allowance.Counter {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := time.Now()
	if !c.at.IsZero() && now.Sub(c.at) < countersLifetime {
		return c.list
	}
	regions := map[string]bool{}
	for _, region := range c.settings.Regions {
		regions[region] = true
	}
	perRegion := max(minRegionCounters, maxCounters/max(1, len(regions)))
	c.at, c.list = now, nil
	for _, m := range c.fleet.View(now).Largest(perRegion, c.settings.Zone) {
		c.list = append(c.list, allowance.Counter{Address: m.PeerAddress, IsSelf: m.Name == c.settings.VM})
	}
	return c.list
}

func newAllowances(
	s *Settings, endpoint *vmpeer.Endpoint, f *membership.Fleet, state *State, log zerolog.Logger,
) *allowance.Service {
	c := &counters{settings: s, fleet: f}
	out := allowance.NewService(allowance.Options{
		Limits:      allowance.Limits{Window: cmp.Or(s.QuotaWindow, defaultQuotaWindow), Over: s.QuotaOver, Slack: s.QuotaSlack},
		Incarnation: uint64(time.Now().UnixNano()), Counters: c.get, IsNeeded: state.limitsOrganisations, Sender: endpoint, Log: log,
	})
	endpoint.SetAllowances(out)
	return out
}
