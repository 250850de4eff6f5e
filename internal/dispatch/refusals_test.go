package dispatch_test

import (
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/primroseladder/primroseladder/internal/route"
)

// TestUnhealthyServersAreAvoidedWhileAllRefuseAPart answers the load of a service whose servers all refuse more than half of their
// requests for 8 s, while a third of them also fail nine tenths of what they run: they are avoided as they are without refusals,
// where they get less than a tenth of the requests.
func TestUnhealthyServersAreAvoidedWhileAllRefuseAPart(t *testing.T) {
	const from, to = 4 * time.Second, 12 * time.Second
	synctest.Test(t, func(t *testing.T) {
		s := newSim(t, 18, route.NonIdempotent, true)
		for i, server := range s.servers {
			server.refusing = between(from, to, 0.55)
			if i < 6 {
				server.failing = between(from, to, 0.9)
			}
		}
		s.load(100, to)
		unhealthy, all := 0, 0
		for i, server := range s.servers {
			for _, at := range server.arrived {
				if at < from+time.Second {
					continue
				}
				all++
				if i < 6 {
					unhealthy++
				}
			}
		}
		t.Logf("%d of %d requests went to the unhealthy backend servers", unhealthy, all)
		qt.Check(t, unhealthy < all/10, qt.IsTrue)
	})
}
