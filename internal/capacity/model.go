// Package capacity estimates what the system costs at its target size. Benchmarks load real state of a catalogue and a VM
// list at two or more sizes. The page generator extrapolates their slopes and compares them with the limits of a node.
package capacity

import (
	"fmt"

	"github.com/primroseladder/primroseladder/internal/catalogue"
	"github.com/primroseladder/primroseladder/internal/fleet"
)

// Size is the size of a fleet.
type Size struct {
	EntryVMs       int
	BackendServers int
	Services       int
	Routes         int
	Organisations  int
	Regions        int
	Zones          int
}

// Target is the size that the system has to support.
var Target = Size{
	EntryVMs: 5_200, BackendServers: 120_000, Services: 6_900, Routes: 78_000,
	Organisations: 1_200_000, Regions: 10, Zones: 34,
}

// The rates at the target, of the whole fleet.
const (
	RequestsPerSecond  = 1_500_000
	ChangesPerDay      = 70_000
	ReplacementsPerDay = 6_600
	FailuresPerDay     = 130
	SecondsPerDay      = 86_400
)

// The limits of the control work of a node (share of a core, memory, bytes a second), of the calls to the platform's store a
// second, and of the time until a change is in force everywhere.
const (
	CoreShareLimit      = 0.015
	MemoryLimitBytes    = 64 << 20
	BytesPerSecondLimit = 4 << 10
	StoreWritesLimit    = 300
	StoreReadsLimit     = 2_000
	InForceLimitSeconds = 6
)

// ScaledDown returns the size with all numbers divided by n, except the numbers of regions and zones.
func (s Size) ScaledDown(n int) Size {
	s.EntryVMs /= n
	s.BackendServers /= n
	s.Services /= n
	s.Routes /= n
	s.Organisations /= n
	return s
}

// ServiceName returns the name of service i.
func ServiceName(i int) string { return fmt.Sprintf("service-%05d", i) }

// Entry returns the catalogue entry of service i with its share of the routes.
func (s Size) Entry(i int) *catalogue.Entry {
	e := &catalogue.Entry{Service: ServiceName(i), Owner: fmt.Sprintf("team-%03d", i%300)}
	for r := i; r < s.Routes; r += s.Services {
		e.Routes = append(e.Routes, catalogue.Route{Prefix: fmt.Sprintf("/%s/part-%02d", e.Service, r/s.Services)})
	}
	e.ApplyDefaults()
	return e
}

// Entries returns the whole catalogue.
func (s Size) Entries() []*catalogue.Entry {
	entries := make([]*catalogue.Entry, 0, s.Services)
	for i := range s.Services {
		entries = append(entries, s.Entry(i))
	}
	return entries
}

// Encode encodes entries as they are in a change of the catalogue.
func Encode(entries []*catalogue.Entry) ([]catalogue.EncodedEntry, error) {
	out := make([]catalogue.EncodedEntry, 0, len(entries))
	for _, e := range entries {
		content, err := e.Encode()
		if err != nil {
			return nil, err
		}
		out = append(out, catalogue.EncodedEntry{Service: e.Service, Content: content})
	}
	return out, nil
}

// location returns the region and the zone of VM i.
func (s Size) location(i int) (region, zone string) {
	zoneNumber := i % s.Zones
	region = fmt.Sprintf("region-%02d", zoneNumber%s.Regions)
	return region, fmt.Sprintf("%s-%d", region, zoneNumber/s.Regions)
}

// EntryVM returns entry VM i.
func (s Size) EntryVM(i int) fleet.VM {
	region, zone := s.location(i)
	host := fmt.Sprintf("10.%d.%d.%d", i%200, i/200%250, i%250)
	return fleet.VM{
		Name: fmt.Sprintf("entry-%05d", i), Role: fleet.RoleEntry, State: fleet.StateLive, Region: region, Zone: zone,
		CallerAddress: host + ":8000", EntryAddress: host + ":8001", KeeperAddress: host + ":8002",
		KeeperCallerAddress: host + ":8003",
	}
}

// BackendServer returns backend server i. The servers of one service are distributed over all zones in turn.
func (s Size) BackendServer(i int) fleet.VM {
	region, zone := s.location(i / s.Services)
	return fleet.VM{
		Name: fmt.Sprintf("backend-%06d", i), Role: fleet.RoleBackendServer, State: fleet.StateLive, Region: region,
		Zone: zone, Service: ServiceName(i % s.Services), Address: fmt.Sprintf("11.%d.%d.%d:9000", i%200, i/200%250, i%250),
	}
}

// VMs returns the whole VM list.
func (s Size) VMs() []fleet.VM {
	vms := make([]fleet.VM, 0, s.EntryVMs+s.BackendServers)
	for i := range s.EntryVMs {
		vms = append(vms, s.EntryVM(i))
	}
	for i := range s.BackendServers {
		vms = append(vms, s.BackendServer(i))
	}
	return vms
}
