package gateway_test

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/rs/zerolog"
	"go.uber.org/fx"
	"go.uber.org/fx/fxtest"

	"github.com/primroseladder/primroseladder/internal/gateway"
	"github.com/primroseladder/primroseladder/internal/kv"
	"github.com/primroseladder/primroseladder/internal/kv/kvtest"
	"github.com/primroseladder/primroseladder/internal/listen/listentest"
	"github.com/primroseladder/primroseladder/internal/roster"
	"github.com/primroseladder/primroseladder/internal/route"
)

// codec is a gateway.Codec. The value of the configuration is its version, and that of a backend server its address.
type codec struct{}

func (codec) IsConfig(key string) bool { return key == "config" }

func (codec) ServerID(key string) (string, bool) { return strings.CutPrefix(key, "servers/") }

func (codec) DecodeConfig(value []byte) (*route.Config, error) {
	out := &route.Config{
		Services: []route.Service{{Name: "s", MaxConnections: 100}},
		Limits:   route.Limits{MaxBodyBytes: 1000, MaxHeaderBytes: 4096},
		Routes: []route.Route{{
			Name: "r", Host: "h", Prefix: "/", Kind: route.NonIdempotent, Timeout: 5 * time.Second, TargetLatency: time.Second,
			MaxAttempts: 2, Shares: []route.Share{{Service: "s", Weight: 1}},
		}},
	}
	if err := json.Unmarshal(value, &out.Version); err != nil {
		return nil, err
	}
	return out, out.Validate()
}

func (codec) DecodeServer(item kv.Item) (roster.Server, error) {
	id, _ := strings.CutPrefix(item.Key, "servers/")
	return roster.Server{ID: id, Service: "s", Zone: "a", Slots: 4, Address: string(item.Value)}, nil
}

func (codec) IsNewer(a, b kv.Item) bool { return string(a.Value) > string(b.Value) }

// startGateway starts a gateway that uses the given store and listens on loopback addresses.
func startGateway(t *testing.T, store kv.Store) (*gateway.Settings, *fxtest.App) {
	s := &gateway.Settings{
		VM: "vm-1", Zone: "a", Region: "r", Regions: map[string]string{"a": "r"}, CallerListen: listentest.FreeAddress(t),
		ReadyListen: listentest.FreeAddress(t), DirectoryListen: listentest.FreeAddress(t),
		MetricsListen: listentest.FreeAddress(t), PeerListen: listentest.FreeAddress(t), Cores: 1, LinkMbps: 1000,
		Grace: 5 * time.Second, MaxAnswerTTL: 5 * time.Second, RetryRatio: 0.2, RetryWindow: 10 * time.Second, RetrySlack: 10,
	}
	p := &gateway.Platform{
		Settings: gateway.NewLiveSettings(s), Store: store, Codec: codec{},
		Headers: gateway.Headers{
			RequestID: "X-Id", DeadlineMS: "X-Deadline", Signature: "X-Signature", ExpectedInstance: "X-Expected",
			NotExecuted: "X-Not-Executed", Instance: "X-Instance",
		},
		Paths:      gateway.Paths{Ready: "/ready", Resolve: "/resolve"},
		StoreCalls: func() int64 { return 0 }, LogLinesDropped: func() int64 { return 0 },
		NewDirectory: func(addresses func(string, string) ([]string, time.Duration)) http.Handler {
			return http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
				list, _ := addresses("h", "a")
				_, _ = io.WriteString(w, strings.Join(list, " "))
			})
		},
	}
	app := fxtest.New(t, gateway.Module(p, zerolog.Nop()), fx.NopLogger)
	app.RequireStart()
	return s, app
}

// get sends a request and returns the status and the body of its response, or status 0 and the error if there is none.
func get(address, path, id string) (int, string) {
	r, err := http.NewRequest(http.MethodGet, "http://"+address+path, nil)
	if err != nil {
		return 0, err.Error()
	}
	r.Host = "h"
	r.Header.Set("X-Id", id)
	response, err := http.DefaultClient.Do(r)
	if err != nil {
		return 0, err.Error()
	}
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	if err != nil {
		return 0, err.Error()
	}
	return response.StatusCode, string(body)
}

// newBackendServer starts a backend server that answers each request with its id once released is closed. It returns its
// address.
func newBackendServer(t *testing.T, released <-chan struct{}) string {
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		<-released
		w.Header().Set("X-Id", r.Header.Get("X-Id"))
		w.Header().Set("X-Signature", "s")
		fmt.Fprint(w, "answer to "+r.Header.Get("X-Id"))
	}))
	t.Cleanup(server.Close)
	return strings.TrimPrefix(server.URL, "http://")
}

// waitFor polls until a condition is met, and fails the test if it is not met within the bound.
func waitFor(t *testing.T, bound time.Duration, what string, isMet func() bool) {
	t.Helper()
	for end := time.Now().Add(bound); !isMet(); time.Sleep(10 * time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("%s: condition not met within %v", what, bound)
		}
	}
}

// TestServesSoonAfterStart checks that a VM without a configuration is not ready and refuses requests, that it serves once
// it has one, and that a VM that starts while the store contains everything, as after a power failure of all VMs, serves
// within a second.
func TestServesSoonAfterStart(t *testing.T) {
	c := qt.New(t)
	store := kvtest.New()
	released := make(chan struct{})
	close(released)
	store.Put("servers/i-1", newBackendServer(t, released))
	s, app := startGateway(t, store.Client())
	defer app.RequireStop()
	status, _ := get(s.ReadyListen, "/ready", "")
	c.Check(status, qt.Equals, http.StatusServiceUnavailable)
	status, _ = get(s.CallerListen, "/1", "early")
	c.Check(status, qt.Equals, http.StatusServiceUnavailable)
	store.Put("config", "1")
	waitFor(t, 2*time.Second, "ready", func() bool {
		status, _ := get(s.ReadyListen, "/ready", "")
		return status == http.StatusOK
	})
	status, body := get(s.CallerListen, "/1", "7")
	c.Check(status, qt.Equals, http.StatusOK)
	c.Check(body, qt.Equals, "answer to 7")

	second, app2 := startGateway(t, store.Client())
	defer app2.RequireStop()
	waitFor(t, time.Second, "served after a start", func() bool {
		status, _ := get(second.CallerListen, "/1", "8")
		return status == http.StatusOK
	})
}

// TestPlannedStop checks that a stopping VM is reported not ready at once, still serves new connections, and completes the
// requests in flight.
func TestPlannedStop(t *testing.T) {
	c := qt.New(t)
	store := kvtest.New()
	released := make(chan struct{})
	store.Put("servers/i-1", newBackendServer(t, released))
	store.Put("config", "1")
	s, app := startGateway(t, store.Client())
	waitFor(t, 2*time.Second, "ready", func() bool {
		status, _ := get(s.ReadyListen, "/ready", "")
		return status == http.StatusOK
	})
	answers := make(chan string, 2)
	send := func(id string) {
		status, body := get(s.CallerListen, "/1", id)
		answers <- fmt.Sprint(status, " ", body)
	}
	go send("before")
	time.Sleep(100 * time.Millisecond)
	stopped := make(chan error, 1)
	go func() { stopped <- app.Stop(context.Background()) }()
	waitFor(t, 500*time.Millisecond, "not ready", func() bool {
		status, _ := get(s.ReadyListen, "/ready", "")
		return status == http.StatusServiceUnavailable
	})
	go send("after")
	time.Sleep(100 * time.Millisecond)
	close(released)
	for range 2 {
		c.Check(<-answers, qt.Matches, "200 answer to (before|after)")
	}
	c.Check(<-stopped, qt.IsNil)
	status, _ := get(s.CallerListen, "/1", "late")
	c.Check(status, qt.Equals, 0)
}

// TestPlannedStopDoesNotWaitForAnUnusedConnection opens a connection at the end of the linger time of a planned stop and
// sends nothing on it. It guards against a stop that waits for such a connection until the end of the grace time and then
// fails.
func TestPlannedStopDoesNotWaitForAnUnusedConnection(t *testing.T) {
	const lastMoment = 2700 * time.Millisecond
	c := qt.New(t)
	store := kvtest.New()
	store.Put("config", "1")
	s, app := startGateway(t, store.Client())
	stopped := make(chan error, 1)
	go func() { stopped <- app.Stop(context.Background()) }()
	time.Sleep(lastMoment)
	conn, err := net.Dial("tcp", s.CallerListen)
	c.Assert(err, qt.IsNil)
	defer conn.Close()
	began := time.Now()
	c.Check(<-stopped, qt.IsNil)
	c.Check(time.Since(began) < 1500*time.Millisecond, qt.IsTrue, qt.Commentf("%v", time.Since(began)))
}

// TestPlannedStopDoesNotWaitForOtherListeners opens connections to the listeners that do not serve requests, at the end of
// a planned stop, and sends nothing on them. It guards against a stop that outlasts the grace time: each of these listeners
// waited for such a connection for five seconds, one after the other.
func TestPlannedStopDoesNotWaitForOtherListeners(t *testing.T) {
	const lastMoment = 2700 * time.Millisecond
	c := qt.New(t)
	store := kvtest.New()
	store.Put("config", "1")
	s, app := startGateway(t, store.Client())
	stopped := make(chan error, 1)
	go func() { stopped <- app.Stop(context.Background()) }()
	time.Sleep(lastMoment)
	for _, address := range []string{s.DirectoryListen, s.ReadyListen, s.PeerListen, s.MetricsListen} {
		conn, err := net.Dial("tcp", address)
		c.Assert(err, qt.IsNil)
		defer conn.Close()
	}
	began := time.Now()
	c.Check(<-stopped, qt.IsNil)
	c.Check(time.Since(began) < 1500*time.Millisecond, qt.IsTrue, qt.Commentf("%v", time.Since(began)))
}

// TestPlannedStopRefusesWhatItCannotFinish guards against requests that come late in a planned stop, are passed on, and are cut
// with no answer when the process ends, although their backend server is still running them.
func TestPlannedStopRefusesWhatItCannotFinish(t *testing.T) {
	const late = 3300 * time.Millisecond
	c := qt.New(t)
	store := kvtest.New()
	released := make(chan struct{})
	defer close(released)
	store.Put("servers/i-1", newBackendServer(t, released))
	store.Put("config", "1")
	s, app := startGateway(t, store.Client())
	waitFor(t, 2*time.Second, "ready", func() bool {
		status, _ := get(s.ReadyListen, "/ready", "")
		return status == http.StatusOK
	})
	began := time.Now()
	stopped := make(chan error, 1)
	go func() { stopped <- app.Stop(context.Background()) }()
	time.Sleep(late - 700*time.Millisecond)
	conn, err := net.Dial("tcp", s.CallerListen)
	c.Assert(err, qt.IsNil)
	defer conn.Close()
	time.Sleep(time.Until(began.Add(late)))
	_, err = io.WriteString(conn, "GET /1 HTTP/1.1\r\nHost: h\r\nX-Id: late\r\n\r\n")
	c.Assert(err, qt.IsNil)
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	c.Assert(err, qt.IsNil)
	c.Check(response.StatusCode, qt.Equals, http.StatusServiceUnavailable)
	c.Check(response.Header.Get("Retry-After"), qt.Not(qt.Equals), "")
	c.Check(time.Since(began) < late+500*time.Millisecond, qt.IsTrue)
	c.Check(<-stopped, qt.IsNil)
}
