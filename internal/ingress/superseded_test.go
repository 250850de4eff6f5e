package ingress_test

import (
	"context"
	"net/http"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/primroseladder/primroseladder/internal/dispatch"
	"github.com/primroseladder/primroseladder/internal/ingress"
	"github.com/primroseladder/primroseladder/internal/organisation"
	"github.com/primroseladder/primroseladder/internal/route"
)

// tableOf returns the table of a version whose route for /x/ leads to a service, and whose only organisation holds a key. Without a
// service there is no route.
func tableOf(version uint64, service, key string) *route.Table {
	directory, err := organisation.NewDirectory([]organisation.Organisation{{
		Name: "parish", Keys: []organisation.Digest{organisation.DigestOf(key)},
	}})
	if err != nil {
		panic(err)
	}
	config := &route.Config{Version: version, Limits: route.Limits{MaxHeaderBytes: 1000}, Organisations: directory}
	if service != "" {
		config.Routes = []route.Route{{
			Name: "r", Host: "h", Prefix: "/x/", Timeout: time.Second, MaxAttempts: 1, Shares: []route.Share{{Service: service, Weight: 1}},
		}}
	}
	return route.NewTable(config, nil)
}

// TestWaitingRequestsFollowTheConfigurationInForce guards against requests that wait for long before they are sent and are then
// handled by a configuration, or with a key, that is no longer in force (CONFIG): where it makes a difference, they are decided on again.
func TestWaitingRequestsFollowTheConfigurationInForce(t *testing.T) {
	tests := []struct {
		name     string
		inForce  *route.Table
		mayServe bool
		status   int
		// services are those that the request is sent to, or would be if it were still allowed.
		services []string
	}{
		{"nothing has changed", nil, true, http.StatusBadGateway, []string{"old"}},
		{"another version, the same way", tableOf(2, "old", "k1"), true, http.StatusBadGateway, []string{"old"}},
		{"the route leads elsewhere", tableOf(2, "new", "k1"), true, http.StatusBadGateway, []string{"old", "new"}},
		{"the route is gone", tableOf(2, "", "k1"), true, http.StatusNotFound, []string{"old"}},
		{"the key was taken away", tableOf(2, "old", "k2"), true, http.StatusUnauthorized, []string{"old"}},
		{"the keys may be old", nil, false, http.StatusServiceUnavailable, []string{"old"}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			current, keys := tableOf(1, "old", "k1"), ingress.KeyState{MayServe: true, IsCurrent: true}
			var services []string
			d := &scriptedDispatcher{do: func(_ context.Context, r *dispatch.Request) dispatch.Result {
				services = append(services, r.Service)
				// The request waits, and the VM hears of a change.
				if test.inForce != nil {
					current = test.inForce
				}
				keys.MayServe = test.mayServe
				if !r.IsStillAllowed() {
					return dispatch.Result{Outcome: dispatch.NotRun, IsSuperseded: true}
				}
				return dispatch.Result{Outcome: dispatch.Unknown}
			}}
			address := serveKeyed(t, d, func(o *ingress.Options) {
				o.AwaitTable = func(context.Context) *route.Table { return current }
				o.KeyState = func(uint64) ingress.KeyState { return keys }
			})
			response, _ := exchange(t, address, get+"Authorization: Bearer k1\r\n\r\n")
			c.Check(response.StatusCode, qt.Equals, test.status)
			c.Check(services, qt.DeepEquals, test.services)
		})
	}
}
