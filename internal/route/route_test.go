package route_test

import (
	"math"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"github.com/primroseladder/primroseladder/internal/route"
)

func config(routes ...route.Route) *route.Config {
	for i := range routes {
		routes[i].Timeout, routes[i].MaxAttempts = time.Second, 1
		if routes[i].Shares == nil {
			routes[i].Shares = []route.Share{{Service: "s", Weight: 1}}
		}
	}
	return &route.Config{Version: 1, Routes: routes, Services: []route.Service{{Name: "s"}, {Name: "t"}}}
}

func TestLongestPrefixOfTheHostWins(t *testing.T) {
	table := route.NewTable(config(
		route.Route{Name: "short", Host: "a.example", Prefix: "/x/"},
		route.Route{Name: "long", Host: "a.example", Prefix: "/x/y/"},
		route.Route{Name: "other", Host: "b.example", Prefix: "/"},
	), nil)
	tests := []struct{ host, path, want string }{
		{"a.example", "/x/y/z", "long"},
		{"a.example", "/x/yz", "short"},
		{"A.Example", "/x/", "short"},
		{"a.example", "/x", ""},
		{"b.example", "/x/y/z", "other"},
		{"c.example", "/", ""},
	}
	for _, test := range tests {
		got := ""
		if target := table.Find(test.host, test.path); target != nil {
			got = target.Name
		}
		qt.Check(t, got, qt.Equals, test.want, qt.Commentf("%s%s", test.host, test.path))
	}
}

func TestValidateNamesTheFault(t *testing.T) {
	tests := []struct {
		change func(r *route.Route)
		want   string
	}{
		{func(r *route.Route) { r.Host = "" }, `route "r": host is missing`},
		{func(r *route.Route) { r.Prefix = "/x" }, `route "r": prefix "/x" must begin and end with a slash`},
		{func(r *route.Route) { r.Timeout = 0 }, `route "r": timeout must be positive`},
		{func(r *route.Route) { r.Shares = nil }, `route "r": service is missing`},
		{func(r *route.Route) { r.Shares = []route.Share{{Service: "u", Weight: 1}} }, `route "r": service "u" does not exist`},
		{func(r *route.Route) { r.Shares = []route.Share{{Service: "s"}} }, `route "r": no service has a positive weight`},
	}
	for _, test := range tests {
		c := config(route.Route{Name: "r", Host: "h", Prefix: "/"})
		test.change(&c.Routes[0])
		qt.Check(t, c.Validate(), qt.ErrorMatches, test.want)
	}
}

// TestSharesAreExactToOneRequest checks that the number of requests for each service of a split differs from its share by at
// most one, also across a new version of the configuration that does not change the split.
func TestSharesAreExactToOneRequest(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		weight := float64(rapid.IntRange(1, 99).Draw(rt, "weight"))
		c := config(route.Route{Name: "r", Host: "h", Prefix: "/", Shares: []route.Share{
			{Service: "s", Weight: weight}, {Service: "t", Weight: 100 - weight},
		}})
		table := route.NewTable(c, nil)
		count := 0
		requests := rapid.IntRange(1, 300).Draw(rt, "requests")
		rebuildAt := rapid.IntRange(0, 300).Draw(rt, "renewed at")
		for n := range requests {
			if n == rebuildAt {
				table = route.NewTable(c, table)
			}
			if table.Find("h", "/").NextService() == "s" {
				count++
			}
		}
		if want := weight / 100 * float64(requests); math.Abs(float64(count)-want) > 1 {
			rt.Fatalf("%d of %d requests, want %.1f", count, requests, want)
		}
	})
}
