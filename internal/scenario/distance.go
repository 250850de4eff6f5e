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

// regionLinkBytes is what all traffic from one region to another shares in bytes a second: 30 Mbit/s.
const regionLinkBytes = 30 * 125_000

// place is where a VM, the platform or a caller stands.
type place struct{ region, zone string }

// setDistances gives each link its delay and all links between two regions one pipe each way. The platform stands
// in the first region.
func (f *Fleet) setDistances() {
	places := map[string]place{nameCallers: {}}
	for _, vm := range f.vms {
		places[vm.Name] = place{vm.Region, vm.Zone}
	}
	platformPlace := place{regionNames[0], ""}
	places[nameStore], places[nameList] = platformPlace, platformPlace
	pipes := map[endpoints]*link.RateLimiter{}
	for ends := range f.network.directions {
		from, to := places[ends.from], places[ends.to]
		usual := usualLink{delay: delayBetween(from, to)}
		if from.region != "" && to.region != "" && from.region != to.region {
			between := endpoints{from.region, to.region}
			if pipes[between] == nil {
				pipes[between] = link.NewRateLimiter(regionLinkBytes)
			}
			usual.pipe = pipes[between]
		}
		f.network.usual[ends] = usual
	}
	f.network.heal()
}

func delayBetween(from, to place) time.Duration {
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
