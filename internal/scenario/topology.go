package scenario

import (
	"fmt"
	"time"

	"github.com/primroseladder/primroseladder/internal/fleet"
)

// regionNames are the names of the regions. A topology uses the first ones.
var regionNames = []string{"central", "occidente", "perth", "goldfields"}

// topology describes the fleet that "start" builds.
type topology struct {
	regions int
	zones   int
	entries int
	// hasRelays is false if processes connect to each other directly. Then links cannot be changed.
	hasRelays bool
	// hasDistances sets delays and, between regions, a bandwidth limit on the links, as in the users' networks: see setDistances.
	hasDistances bool
	services     []serviceSpec
}

// serviceSpec describes a service and its backend servers.
type serviceSpec struct {
	name     string
	backends int
	// slots is the number of requests that one backend server runs at the same time.
	slots       int
	serviceTime time.Duration
	// answerBytes is the mean length of an answer in bytes.
	answerBytes int
	// connectionCost and probeCost are the times that a backend server spends on a new connection and on a probe.
	connectionCost time.Duration
	probeCost      time.Duration
}

// locate returns the region and zone of the i-th VM. VMs are distributed round-robin over regions, then zones.
func (t topology) locate(i int) (region, zone string) {
	region = regionNames[i%t.regions]
	zone = fmt.Sprintf("%s-%c", region, 'a'+(i/t.regions)%t.zones)
	return region, zone
}

// vms returns the VM list of the topology without addresses.
func (t topology) vms() []fleet.VM {
	var out []fleet.VM
	for i := range t.entries {
		region, zone := t.locate(i)
		out = append(out, fleet.VM{
			Name: fmt.Sprintf("entry-%d", i), Role: fleet.RoleEntry, State: fleet.StateLive, Region: region, Zone: zone,
		})
	}
	for _, s := range t.services {
		for i := range s.backends {
			region, zone := t.locate(i)
			out = append(out, fleet.VM{
				Name: fmt.Sprintf("%s-%d", s.name, i), Role: fleet.RoleBackendServer, State: fleet.StateLive,
				Region: region, Zone: zone, Service: s.name,
			})
		}
	}
	return out
}

// totalSlots returns how many requests all backend servers of a service together run at the same time.
func (t topology) totalSlots(service string) int {
	for _, s := range t.services {
		if s.name == service {
			return s.backends * s.slots
		}
	}
	return 0
}
