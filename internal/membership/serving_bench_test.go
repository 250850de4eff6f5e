package membership_test

import (
	"testing"
	"time"

	"github.com/rs/zerolog"

	"github.com/primroseladder/primroseladder/internal/membership"
)

// BenchmarkGroupsOfALargeFleet looks up the groups of three hosts in eight zones of 55 VMs, as a VM does several times a second for
// each service.
func BenchmarkGroupsOfALargeFleet(b *testing.B) {
	zones := []string{"a", "b", "c", "d", "e", "f", "g", "h"}
	inRegions := map[string]string{}
	for i, zone := range zones {
		inRegions[zone] = []string{"r", "q"}[i%2]
	}
	f := membership.New(member(0, "a"), inRegions, zerolog.Nop())
	for _, zone := range zones {
		for n := range 55 {
			m := member(n, zone)
			m.Region, m.Capacity = inRegions[zone], 80
			f.Register(m)
		}
	}
	for b.Loop() {
		view := f.View(time.Now())
		for _, zone := range zones {
			for _, host := range []string{"first", "second", "third"} {
				if len(view.Serving(host, zone)) == 0 {
					b.Fatalf("no VM serves %s in zone %s", host, zone)
				}
			}
		}
	}
}
