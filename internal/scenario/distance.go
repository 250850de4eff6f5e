package scenario

import (
	"time"

	"github.com/primroseladder/primroseladder/internal/standin/link"
)

// Delays one way between two places.
const (
	delayBetweenZones   = time.Millisecond
	delayBetweenRegions = 12 * time.Millisecond
	delayToCallers      = 3 * time.Millisecond
)

// regionLinkBytesPerSecond is what all traffic from one region to another shares in bytes a second: 30 Mbit/s.
const regionLinkBytesPerSecond = 30 * 125_000

// location is where a VM, the platform or a caller stands.
type location struct{ region, zone string }

// setDistances gives each link its delay and all links between two regions one pipe each way. The platform stands
// in the first region.
func (f *Fleet) setDistances() {
	locations := map[string]location{nameCallers: {}}
	for _, vm := range f.vms {
		locations[vm.Name] = location{vm.Region, vm.Zone}
	}
	platformLocation := location{regionNames[0], ""}
	locations[nameStore], locations[nameList] = platformLocation, platformLocation
	pipes := map[endpoints]*link.Pipe{}
	for ends := range f.network.directions {
		from, to := locations[ends.from], locations[ends.to]
		baseline := baselineLink{delay: delayBetween(from, to)}
		if from.region != "" && to.region != "" && from.region != to.region {
			regions := endpoints{from.region, to.region}
			if pipes[regions] == nil {
				pipes[regions] = link.NewPipe(regionLinkBytesPerSecond)
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
