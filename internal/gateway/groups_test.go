package gateway_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"pgregory.net/rapid"

	"github.com/primroseladder/primroseladder/internal/gateway"
	"github.com/primroseladder/primroseladder/internal/membership"
	"github.com/primroseladder/primroseladder/internal/route"
)

// TestRetryAllowancesDoNotExceedTheSlack checks that the sum of the allowances of all VMs does not exceed RetrySlack, for
// fleets of any size whose VMs have received each other's heartbeats and a service that serves several hosts.
func TestRetryAllowancesDoNotExceedTheSlack(t *testing.T) {
	regions := map[string]string{"a": "r", "b": "r", "c": "q", "d": "q"}
	const slack = 60.0
	rapid.Check(t, func(rt *rapid.T) {
		members := drawMembers(rt, regions)
		table := newTable(rt, rapid.IntRange(1, 5).Draw(rt, "hosts"))
		sum := 0.0
		for _, self := range members {
			fleet := membership.New(self, regions, zerolog.Nop())
			for _, m := range members {
				fleet.Register(m)
				fleet.ReceiveHeartbeat(m, time.Now())
			}
			groups := gateway.NewGroups(gateway.NewLiveSettings(&gateway.Settings{
				VM: self.Name, Zone: self.Zone, Region: self.Region, Regions: regions, RetrySlack: slack,
			}), fleet)
			groups.SetTableSource(func() *route.Table { return table })
			sum += groups.RetryAllowance("s")
		}
		if sum <= 0 || sum > slack {
			rt.Fatalf("the allowances of %d VMs add up to %.1f retries, want above 0 and at most %.1f", len(members), sum, slack)
		}
	})
}

func drawMembers(rt *rapid.T, regions map[string]string) []membership.Member {
	size := rapid.IntRange(1, 40).Draw(rt, "VMs")
	out := make([]membership.Member, size)
	for i := range out {
		zone := rapid.SampledFrom([]string{"a", "b", "c", "d"}).Draw(rt, "zone")
		out[i] = membership.Member{
			Name: fmt.Sprintf("vm-%d", i), Zone: zone, Region: regions[zone], PeerAddress: fmt.Sprintf("10.0.0.%d:1", i+1),
			Capacity: rapid.Float64Range(40, 500).Draw(rt, "capacity"),
		}
	}
	return out
}

// newTable returns routes for the given number of hosts, whose requests all go to the service s.
func newTable(rt *rapid.T, hosts int) *route.Table {
	config := &route.Config{Version: 1, Services: []route.Service{{Name: "s"}}}
	for i := range hosts {
		config.Routes = append(config.Routes, route.Route{
			Name: fmt.Sprint(i), Host: fmt.Sprintf("h%d", i), Prefix: "/", Timeout: time.Second, MaxAttempts: 2,
			Shares: []route.Share{{Service: "s", Weight: 1}},
		})
	}
	if err := config.Validate(); err != nil {
		rt.Fatal(err)
	}
	return route.NewTable(config, nil)
}
