package ingress_test

import (
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/primroseladder/primroseladder/internal/dispatch"
	"github.com/primroseladder/primroseladder/internal/ingress"
	"github.com/primroseladder/primroseladder/internal/organisation"
	"github.com/primroseladder/primroseladder/internal/route"
)

// keyedTable has an organisation with the key k1 and a higher priority than its routes, one of which is public.
func keyedTable(context.Context) *route.Table {
	directory, err := organisation.NewDirectory([]organisation.Organisation{{
		Name: "parish", Keys: []organisation.Digest{organisation.DigestOf("k1")}, HasPriority: true, Priority: 1, PerSecond: 5,
	}})
	if err != nil {
		panic(err)
	}
	routes := []route.Route{{Name: "keyed", Prefix: "/x/", Priority: 3}, {Name: "public", Prefix: "/public/", Priority: 2, IsPublic: true}}
	for i := range routes {
		routes[i].Host, routes[i].Timeout, routes[i].MaxAttempts = "h", time.Second, 1
		routes[i].Shares = []route.Share{{Service: "s", Weight: 1}}
	}
	return route.NewTable(&route.Config{
		Limits: route.Limits{MaxBodyBytes: 10, MaxHeaderBytes: 1000}, Routes: routes, Organisations: directory,
	}, nil)
}

// countedAllowance accepts a number of requests.
type countedAllowance struct{ left, given int }

func (a *countedAllowance) Take(*organisation.Organisation, time.Time) (organisation.Verdict, time.Duration) {
	a.left--
	if a.left < 0 {
		return organisation.Exceeded, 700 * time.Millisecond
	}
	return organisation.Within, 0
}

func (a *countedAllowance) GiveBack(string, time.Time) { a.given++ }

func serveKeyed(t *testing.T, d *scriptedDispatcher, change func(*ingress.Options)) string {
	server := httptest.NewServer(newHandler(d, func(o *ingress.Options) {
		o.AwaitTable = keyedTable
		change(o)
	}))
	t.Cleanup(server.Close)
	return strings.TrimPrefix(server.URL, "http://")
}

func refusing(context.Context, *dispatch.Request) dispatch.Result {
	return dispatch.Result{Outcome: dispatch.NotRun, Reason: "busy"}
}

// TestBackendServersLearnTheOrganisationAndNeverTheKey sends requests whose headers try to name another organisation.
func TestBackendServersLearnTheOrganisationAndNeverTheKey(t *testing.T) {
	c := qt.New(t)
	d := &scriptedDispatcher{do: refusing}
	address := serveKeyed(t, d, func(*ingress.Options) {})
	for _, key := range []string{"Authorization: Bearer k1\r\n", "AUTHORIZATION: bearer  k1\r\n"} {
		exchange(t, address, get+key+"x-organisation: forged\r\nX-ORGANISATION: again\r\n\r\n")
		got := d.received[len(d.received)-1]
		c.Check(got.Header.Values("X-Organisation"), qt.DeepEquals, []string{"parish"})
		c.Check(got.Header.Values("Authorization"), qt.HasLen, 0)
		c.Check(got.Organisation, qt.Equals, "parish")
		c.Check(got.Priority, qt.Equals, 1)
	}
}

func TestRequestsWithoutAKnownKeyAreRejected(t *testing.T) {
	c := qt.New(t)
	d := &scriptedDispatcher{do: refusing}
	address := serveKeyed(t, d, func(*ingress.Options) {})
	for _, key := range []string{
		"", "Authorization: Bearer k2\r\n", "Authorization: Basic k1\r\n", "Authorization: Bearer\r\n", "Authorization: k1\r\n",
		"Authorization: Bearer k1\r\nAuthorization: Bearer k2\r\n", "Authorization: Bearer k1\r\nauthorization: Bearer k1\r\n",
	} {
		response, body := exchange(t, address, get+key+"\r\n")
		c.Check(response.StatusCode, qt.Equals, http.StatusUnauthorized, qt.Commentf("%q", key))
		c.Check(response.Header.Get("WWW-Authenticate"), qt.Equals, "Bearer")
		c.Check(strings.Contains(body, "k1") || strings.Contains(body, "k2"), qt.IsFalse)
	}
	c.Check(d.received, qt.HasLen, 0)
}

func TestPublicRoutesNeedNoKey(t *testing.T) {
	c := qt.New(t)
	d := &scriptedDispatcher{do: refusing}
	address := serveKeyed(t, d, func(o *ingress.Options) { o.KeyState = func(uint64) ingress.KeyState { return ingress.KeyState{} } })
	exchange(t, address, strings.Replace(get, "/x/", "/public/", 1)+"Authorization: Bearer k1\r\nX-Organisation: forged\r\n\r\n")
	c.Assert(d.received, qt.HasLen, 1)
	c.Check(d.received[0].Header.Values("X-Organisation"), qt.HasLen, 0)
	c.Check(d.received[0].Header.Values("Authorization"), qt.HasLen, 0)
	c.Check(d.received[0].Priority, qt.Equals, 2)
	response, _ := exchange(t, address, get+"Authorization: Bearer k1\r\n\r\n")
	c.Check(response.StatusCode, qt.Equals, http.StatusServiceUnavailable)
	c.Check(response.Header.Get("Retry-After"), qt.Not(qt.Equals), "")
}

// TestAllowanceCountsOnlyWhatRan checks that requests over the allowance are told when to come again, and that a request that no
// backend server has run uses none of it.
func TestAllowanceCountsOnlyWhatRan(t *testing.T) {
	c := qt.New(t)
	allowance := &countedAllowance{left: 2}
	d := &scriptedDispatcher{do: refusing}
	address := serveKeyed(t, d, func(o *ingress.Options) { o.Allowances = allowance })
	request := get + "Authorization: Bearer k1\r\n\r\n"
	exchange(t, address, request)
	c.Check(allowance.given, qt.Equals, 1)
	d.do = func(context.Context, *dispatch.Request) dispatch.Result {
		return dispatch.Result{Outcome: dispatch.Unknown}
	}
	exchange(t, address, request)
	c.Check(allowance.given, qt.Equals, 1)
	response, _ := exchange(t, address, request)
	c.Check(response.StatusCode, qt.Equals, http.StatusTooManyRequests)
	c.Check(response.Header.Get("Retry-After"), qt.Equals, "0.700")
	c.Check(d.received, qt.HasLen, 2)
}

// TestUnknownKeyIsRejectedOnlyIfTheConfigurationIsCurrent checks that a key, or a public route, that may just have been added is no
// reason for a 401, which callers do not retry.
func TestUnknownKeyIsRejectedOnlyIfTheConfigurationIsCurrent(t *testing.T) {
	c := qt.New(t)
	d := &scriptedDispatcher{do: refusing}
	counted := map[ingress.KeyRefusal]int{}
	address := serveKeyed(t, d, func(o *ingress.Options) {
		o.KeyState = func(uint64) ingress.KeyState { return ingress.KeyState{MayServe: true} }
		o.CountRefusedKey = func(r ingress.KeyRefusal) { counted[r]++ }
	})
	for _, key := range []string{"", "Authorization: Bearer k2\r\n"} {
		response, _ := exchange(t, address, get+key+"\r\n")
		c.Check(response.StatusCode, qt.Equals, http.StatusServiceUnavailable)
	}
	c.Check(counted, qt.DeepEquals, map[ingress.KeyRefusal]int{ingress.RefusedNotCurrent: 2})
	exchange(t, address, get+"Authorization: Bearer k1\r\n\r\n")
	c.Check(d.received, qt.HasLen, 1)
}

// TestNewProofIsNotUsedForAnOlderConfiguration lets a VM that was cut off catch up while the body of a request is read. The request
// must not run by the keys that were in force when it came.
func TestNewProofIsNotUsedForAnOlderConfiguration(t *testing.T) {
	c := qt.New(t)
	d := &scriptedDispatcher{do: refusing}
	isProven := false
	handler := newHandler(d, func(o *ingress.Options) {
		o.AwaitTable = keyedTable
		o.KeyState = func(uint64) ingress.KeyState { return ingress.KeyState{MayServe: isProven} }
	})
	request := httptest.NewRequest(http.MethodGet, "/x/1", nil)
	request.Host = "h"
	request.Header.Set("X-Id", "1")
	request.Header.Set("Authorization", "Bearer k1")
	prepared := handler.Prepare(request)
	isProven = true
	response := httptest.NewRecorder()
	handler.ServeHTTP(response, prepared)
	c.Check(response.Code, qt.Equals, http.StatusServiceUnavailable)
	handler.ServeHTTP(httptest.NewRecorder(), handler.Prepare(request))
	c.Check(d.received, qt.HasLen, 1)
}

// unreachableAllowance can ask no VM.
type unreachableAllowance struct{ countedAllowance }

func (unreachableAllowance) Take(*organisation.Organisation, time.Time) (organisation.Verdict, time.Duration) {
	return organisation.Unconfirmed, 200 * time.Millisecond
}

// TestUnconfirmedAllowanceIsNotCalledUsedUp checks that a request is told the truth if no VM knows what its organisation has used.
func TestUnconfirmedAllowanceIsNotCalledUsedUp(t *testing.T) {
	c := qt.New(t)
	d := &scriptedDispatcher{do: refusing}
	address := serveKeyed(t, d, func(o *ingress.Options) { o.Allowances = &unreachableAllowance{} })
	response, _ := exchange(t, address, get+"Authorization: Bearer k1\r\n\r\n")
	c.Check(response.StatusCode, qt.Equals, http.StatusServiceUnavailable)
	c.Check(response.Header.Get("Retry-After"), qt.Equals, "0.200")
	c.Check(d.received, qt.HasLen, 0)
}
