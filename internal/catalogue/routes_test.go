package catalogue_test

import (
	"fmt"
	"testing"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"github.com/primroseladder/primroseladder/internal/catalogue"
)

func TestFindTakesTheLongestPrefix(t *testing.T) {
	c := qt.New(t)
	table := catalogue.NewRouteTable([]*catalogue.Entry{
		{Service: "orders", Routes: []catalogue.Route{{Prefix: "/orders"}, {Prefix: "/orders/bulk/"}}},
		{Service: "front", Routes: []catalogue.Route{{Prefix: "/"}}},
	})
	for path, prefix := range map[string]string{
		"/orders": "/orders", "/orders/1": "/orders", "/orders/bulk": "/orders/bulk/", "/orders/bulk/2": "/orders/bulk/",
		"/ordersX": "/", "/": "/",
	} {
		_, route, found := table.Find(path)
		c.Check(found, qt.IsTrue)
		c.Check(route.Prefix, qt.Equals, prefix, qt.Commentf("path %s", path))
	}
}

// TestWithEqualsRebuild modifies a table step by step and compares it with one that is built from all entries. It also
// checks that the previous table does not change.
func TestWithEqualsRebuild(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		all := map[string]*catalogue.Entry{}
		table := catalogue.NewRouteTable(nil)
		for range rapid.IntRange(1, 12).Draw(t, "steps") {
			before, count := table, len(table.Services())
			entries := rapid.SliceOfNDistinct(rapid.Custom(drawEntry), 0, 3, serviceOf).Draw(t, "entries")
			removed := rapid.SliceOfN(rapid.Custom(drawService), 0, 2).Draw(t, "removed")
			for _, name := range removed {
				delete(all, name)
			}
			for _, e := range entries {
				all[e.Service] = e
			}
			table = table.With(entries, removed)
			checkEqual(t, table, all)
			if len(before.Services()) != count {
				t.Fatalf("the previous table changed")
			}
		}
	})
}

func serviceOf(e *catalogue.Entry) string { return e.Service }

func drawService(t *rapid.T) string {
	return fmt.Sprintf("s%d", rapid.IntRange(0, 5).Draw(t, "service"))
}

// drawEntry draws an entry whose routes no other service has, as Validate requires.
func drawEntry(t *rapid.T) *catalogue.Entry {
	e := &catalogue.Entry{Service: drawService(t)}
	for _, part := range rapid.SliceOfNDistinct(rapid.IntRange(0, 5), 0, 4, rapid.ID).Draw(t, "parts") {
		e.Routes = append(e.Routes, catalogue.Route{Prefix: fmt.Sprintf("/%s/%d", e.Service, part)})
	}
	return e
}

func checkEqual(t *rapid.T, table *catalogue.RouteTable, all map[string]*catalogue.Entry) {
	var list []*catalogue.Entry
	for _, e := range all {
		list = append(list, e)
	}
	rebuilt := catalogue.NewRouteTable(list)
	if len(table.Services()) != len(all) {
		t.Fatalf("%d services, want %d", len(table.Services()), len(all))
	}
	for service := range 6 {
		for part := range 6 {
			path := fmt.Sprintf("/s%d/%d/x", service, part)
			got, route, found := table.Find(path)
			want, wantRoute, wantFound := rebuilt.Find(path)
			if got != want || found != wantFound || route.Prefix != wantRoute.Prefix {
				t.Fatalf("%s: got %v %v, want %v %v", path, got, found, want, wantFound)
			}
		}
	}
}

// TestEncodedRoutesKeepTheirMethods checks that encoding and decoding do not change which methods of a route are
// idempotent, also for an empty list of methods.
func TestEncodedRoutesKeepTheirMethods(t *testing.T) {
	methods := []string{"GET", "HEAD", "OPTIONS", "PUT", "DELETE", "POST", "PATCH"}
	var defaults catalogue.Entry
	defaults.Routes = []catalogue.Route{{Prefix: "/default"}}
	defaults.ApplyDefaults()
	rapid.Check(t, func(t *rapid.T) {
		drawn := rapid.SliceOfDistinct(rapid.SampledFrom(methods), rapid.ID).Draw(t, "methods")
		e := &catalogue.Entry{Service: "s", Routes: []catalogue.Route{
			{Prefix: "/drawn", IdempotentMethods: drawn},
			{Prefix: "/none", IdempotentMethods: []string{}},
			{Prefix: "/nil"},
			defaults.Routes[0],
		}}
		content, err := e.Encode()
		if err != nil {
			t.Fatal(err)
		}
		got, err := catalogue.DecodeEntry(content)
		if err != nil {
			t.Fatal(err)
		}
		for i, route := range e.Routes {
			for _, method := range methods {
				if got.Routes[i].IsIdempotent(method) != route.IsIdempotent(method) {
					t.Fatalf("%s %s: idempotent is %t after decoding", route.Prefix, method, got.Routes[i].IsIdempotent(method))
				}
			}
		}
	})
}
