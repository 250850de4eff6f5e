package client_test

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/primroseladder/primroseladder/client"
	"github.com/primroseladder/primroseladder/internal/listen/listentest"
)

// reply is how the fake entry answers one send.
type reply struct {
	outcome, reason string
	status          int
	// lose closes the connection without an answer.
	lose bool
	// statusLine, if it is set, replaces the status line of the answer.
	statusLine string
	// header holds further headers of the answer.
	header map[string]string
}

// fakeSystem is a keeper and an entry in one server. It sends the replies in order, repeats the last one, and records the
// numbers of the sends.
type fakeSystem struct {
	mu              sync.Mutex
	replies         []reply
	sends           []string
	addressRequests int
	// addresses are returned to callers ahead of the server's own address.
	addresses []string
	keepMS    int
}

func (f *fakeSystem) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if r.URL.Path == "/v1/addresses" {
		f.addressRequests++
		addresses := append(append([]string(nil), f.addresses...), r.Host)
		_ = json.NewEncoder(w).Encode(map[string]any{"addresses": addresses, "keep_ms": f.keepMS})
		return
	}
	f.sends = append(f.sends, r.Header.Get("Primrose-Send-Number")+"/"+r.Header.Get("Primrose-Not-Run-Through"))
	next := f.replies[min(len(f.sends), len(f.replies))-1]
	if next.lose {
		panic(http.ErrAbortHandler)
	}
	if next.outcome != "" {
		w.Header().Set("Primrose-Outcome", next.outcome)
	}
	w.Header().Set("Primrose-Reason", next.reason)
	for name, value := range next.header {
		w.Header().Set(name, value)
	}
	if next.statusLine != "" {
		conn, _, err := w.(http.Hijacker).Hijack()
		if err == nil {
			_, _ = fmt.Fprintf(conn, "%s\r\nPrimrose-Outcome: %s\r\nContent-Length: 0\r\n\r\n", next.statusLine, next.outcome)
			_ = conn.Close()
		}
		return
	}
	w.WriteHeader(next.status)
}

// sent returns the recorded numbers of the sends.
func (f *fakeSystem) sent() []string {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.sends
}

func (f *fakeSystem) clearSends() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.sends = nil
}

func TestSends(t *testing.T) {
	done := reply{outcome: "done", status: 200}
	refused := reply{outcome: "not-run", reason: "overload", status: 429, header: map[string]string{"Primrose-Retry-After-Ms": "1"}}
	lost := reply{lose: true}
	for _, test := range []struct {
		name    string
		replies []reply
		body    string
		// sends holds "SEND-NUMBER/NOT-RUN-THROUGH" of each send.
		sends   []string
		outcome string
	}{
		{"served", []reply{done}, "b", []string{"1/"}, "done"},
		{"refused and sent anew", []reply{refused, refused, done}, "b", []string{"1/", "2/1", "3/2"}, "done"},
		{"refused to the end", []reply{refused}, "b", []string{"1/", "2/1", "3/2", "4/3"}, "not-run"},
		{"answer lost, then remembered", []reply{lost, done}, "b", []string{"1/", "2/"}, "done"},
		{"answer of status zero", []reply{{outcome: "done", statusLine: "HTTP/1.1 000 What"}, done}, "b", []string{"1/", "2/"}, "done"},
		{"answer of status 999", []reply{{outcome: "not-run", status: 999}, done}, "b", []string{"1/", "2/"}, "done"},
		{"answer lost without a body", []reply{lost, done}, "", []string{"1/", "2/"}, "done"},
		{"all answers lost", []reply{lost}, "b", []string{"1/", "2/", "3/", "4/"}, "unknown"},
		{"refused, then the answer lost", []reply{refused, lost, done}, "b", []string{"1/", "2/1", "3/1"}, "done"},
		{
			"unknown that another VM may know",
			[]reply{{outcome: "unknown", reason: "peer-lost", status: 502}, done},
			"b",
			[]string{"1/", "2/"},
			"done",
		},
		{"unknown that stays", []reply{{outcome: "unknown", reason: "peer-lost", status: 502}}, "b", []string{"1/", "2/"}, "unknown"},
		{"unknown for good", []reply{{outcome: "unknown", reason: "lost-answer", status: 502}}, "b", []string{"1/"}, "unknown"},
		{"an answer of something else", []reply{{status: 200}}, "b", []string{"1/"}, "unknown"},
		{
			"a redirect is the answer",
			[]reply{{outcome: "done", status: 302, header: map[string]string{"Location": "/elsewhere"}}},
			"b",
			[]string{"1/"},
			"done",
		},
	} {
		t.Run(test.name, func(t *testing.T) {
			f := &fakeSystem{replies: test.replies, keepMS: 60_000}
			server := httptest.NewServer(f)
			defer server.Close()
			c := client.New(client.Settings{Keepers: []string{server.URL}, RetryRefused: true})
			// A first request leaves an idle connection. On a reused connection net/http may resend a request by itself.
			warm(t, f, c)
			result, err := c.Do(context.Background(), client.Request{
				Service: "s", Method: http.MethodPost, Target: "/s", Key: client.NewKey(), Body: []byte(test.body), Timeout: time.Second,
			})
			qt.Assert(t, err, qt.IsNil)
			qt.Check(t, result.Outcome, qt.Equals, test.outcome)
			qt.Check(t, f.sent(), qt.DeepEquals, test.sends)
			qt.Check(t, result.Sends, qt.Equals, len(test.sends))
			qt.Check(t, result.Status != 0 || result.Outcome == "unknown", qt.IsTrue)
		})
	}
}

// warm sends one request so that the client has cached addresses and an idle connection, and clears the recorded sends.
func warm(t *testing.T, f *fakeSystem, c *client.Client) {
	t.Helper()
	f.mu.Lock()
	scripted := f.replies
	f.replies = []reply{{outcome: "done", status: 200}}
	f.mu.Unlock()
	_, err := c.Do(context.Background(), client.Request{Service: "s", Method: http.MethodGet, Target: "/s"})
	qt.Assert(t, err, qt.IsNil)
	f.mu.Lock()
	f.replies, f.sends = scripted, nil
	f.mu.Unlock()
}

// TestRefusedConnectionIsNoSend checks that an attempt at an address at which nothing listens does not use a send number.
func TestRefusedConnectionIsNoSend(t *testing.T) {
	f := &fakeSystem{
		replies: []reply{{outcome: "done", status: 200}}, addresses: []string{listentest.FreeAddress(t)}, keepMS: 60_000,
	}
	server := httptest.NewServer(f)
	defer server.Close()
	for range 20 {
		f.clearSends()
		c := client.New(client.Settings{Keepers: []string{server.URL}})
		result, err := c.Do(context.Background(), client.Request{Service: "s", Method: http.MethodPost, Target: "/s", Key: "k"})
		qt.Assert(t, err, qt.IsNil)
		qt.Assert(t, result.Outcome, qt.Equals, "done")
		qt.Assert(t, f.sent(), qt.DeepEquals, []string{"1/"})
	}
}

// TestAddressesAreCached checks that address lists are used for their lifetime, that a list with lifetime 0 is fetched each time,
// and that an unreachable keeper is skipped.
func TestAddressesAreCached(t *testing.T) {
	for _, test := range []struct{ keepMS, want int }{{60_000, 1}, {0, 3}} {
		f := &fakeSystem{replies: []reply{{outcome: "done", status: 200}}, keepMS: test.keepMS}
		server := httptest.NewServer(f)
		c := client.New(client.Settings{Keepers: []string{"http://127.0.0.1:1", server.URL}})
		for range 3 {
			_, err := c.Do(context.Background(), client.Request{Service: "s", Method: http.MethodGet, Target: "/s"})
			qt.Assert(t, err, qt.IsNil)
		}
		qt.Check(t, f.addressRequests, qt.Equals, test.want)
		server.Close()
		if test.keepMS == 0 {
			continue
		}
		_, err := client.New(client.Settings{Keepers: []string{server.URL}}).Do(context.Background(), client.Request{Service: "s"})
		qt.Check(t, strings.Contains(err.Error(), client.ErrNoAddress.Error()), qt.IsTrue)
	}
}
