package scenario

import (
	"time"

	"github.com/primroseladder/primroseladder/internal/standin/link"
)

// One-way delays between two locations.
const (
	delayBetweenZones   = time.Millisecond
	delayBetweenRegions = 12 * time.Millisecond
	delayToCallers      = 3 * time.Millisecond
)

// regionLinkBytesPerSecond is the bandwidth that all traffic from one region to another shares: 30 Mbit/s.
const regionLinkBytesPerSecond = 30 * 125_000

// location is the region and zone of a VM or of the platform. Callers have the zero value.
type location struct{ region, zone string }

// setDistances sets the delay of each link, and makes all links from one region to another share one bandwidth limit per
// direction. The platform is in the first region.
func (f *Fleet) setDistances() {
	locations := map[string]location{nameCallers: {}}
	for _, vm := range f.vms {
		locations[vm.Name] = location{vm.Region, vm.Zone}
	}
	platformLocation := location{regionNames[0], ""}
	locations[nameStore], locations[nameList] = platformLocation, platformLocation
	pipes := map[endpoints]*link.RateLimiter{}
	for ends := range f.network.directions {
		from, to := locations[ends.from], locations[ends.to]
		baseline := baselineLink{delay: delayBetween(from, to)}
		if from.region != "" && to.region != "" && from.region != to.region {
			regions := endpoints{from.region, to.region}
			if pipes[regions] == nil {
				pipes[regions] = link.NewRateLimiter(regionLinkBytesPerSecond)
			}
			baseline.pipe = pipes[regions]
		}
		f.network.baseline[ends] = baseline
	}
	f.network.clearFaults()
}

func delayBetween(from, to location) time.Duration {
	switch {
	case from.region == "" || to.region == "":
		return delayToCallers
	case from.region != to.region:
		return delayBetweenRegions
	case from.zone != to.zone:
		return delayBetweenZones
	default:
		return 0
	}
}
