package scenario

import (
	"fmt"
	"time"

	"github.com/primroseladder/primroseladder/internal/fleet"
)

// regionNames are the names of the regions in their order.
var regionNames = []string{"central", "occidente", "perth", "goldfields"}

// topology is the fleet that "start" builds.
type topology struct {
	regions  int
	zones    int
	entries  int
	hasLinks bool
	// hasDistances gives links the delays and the bound between regions of the users' networks.
	hasDistances bool
	services     []serviceSpec
}

// serviceSpec is one service with its backend servers.
type serviceSpec struct {
	name        string
	backends    int
	slots       int
	serviceTime time.Duration
	// answerBytes is the mean length of an answer.
	answerBytes int
	// connectionCost and probeCost are the times that a new connection and a probe take.
	connectionCost time.Duration
	probeCost      time.Duration
}

// locate returns region and zone of the i-th VM. VMs go round over all zones.
func (t topology) locate(i int) (region, zone string) {
	region = regionNames[i%t.regions]
	zone = fmt.Sprintf("%s-%c", region, 'a'+(i/t.regions)%t.zones)
	return region, zone
}

// vms returns the VM list without addresses.
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

// totalSlots returns how many requests the backend servers of a service run at a time.
func (t topology) totalSlots(service string) int {
	for _, s := range t.services {
		if s.name == service {
			return s.backends * s.slots
		}
	}
	return 0
}
