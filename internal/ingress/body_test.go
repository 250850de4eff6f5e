package ingress_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/rs/zerolog"
	"pgregory.net/rapid"

	"github.com/primroseladder/primroseladder/internal/callerconn"
	"github.com/primroseladder/primroseladder/internal/dispatch"
	"github.com/primroseladder/primroseladder/internal/ingress"
	"github.com/primroseladder/primroseladder/internal/membudget"
	"github.com/primroseladder/primroseladder/internal/poison"
	"github.com/primroseladder/primroseladder/internal/roster"
	"github.com/primroseladder/primroseladder/internal/route"
)

// recordingDispatcher records the requests that it receives.
type recordingDispatcher struct {
	mu       sync.Mutex
	received []*dispatch.Request
}

func (d *recordingDispatcher) Do(_ context.Context, r *dispatch.Request) dispatch.Result {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.received = append(d.received, r)
	return dispatch.Result{Outcome: dispatch.NotRun}
}

// take returns the requests received so far and forgets them.
func (d *recordingDispatcher) take() []*dispatch.Request {
	d.mu.Lock()
	defer d.mu.Unlock()
	out := d.received
	d.received = nil
	return out
}

// serveCallers serves callers' connections as a gateway does.
func serveCallers(t *testing.T, d ingress.Dispatcher, awaitTable func(context.Context) *route.Table) string {
	return serveCallersWith(t, d, awaitTable, nil)
}

func serveCallersWith(
	t *testing.T, d ingress.Dispatcher, awaitTable func(context.Context) *route.Table, memory *membudget.Budget,
) string {
	handler := newHandler(d, func(o *ingress.Options) { o.AwaitTable = awaitTable })
	server := callerconn.NewServer(callerconn.Options{
		Handler: handler, Prepare: handler.Prepare, MayOverlap: handler.MayOverlap, BodyLimits: handler.BodyLimits,
		IsClosing: func() bool { return false }, ReadHeaderTimeout: time.Second, IdleTimeout: time.Second, UnusedTimeout: time.Second,
		WriteTimeout: time.Second, MaxHeaderBytes: 1 << 16, MaxPending: 16, MaxPendingBytes: 1 << 20, Memory: memory, Log: zerolog.Nop(),
	})
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	qt.Assert(t, err, qt.IsNil)
	go server.Serve(listener)
	t.Cleanup(func() {
		ctx, cancel := context.WithCancel(context.Background())
		cancel()
		_ = server.Shutdown(ctx)
	})
	return listener.Addr().String()
}

func tableWithBodyLimit(limit int64) *route.Table {
	return route.NewTable(&route.Config{Limits: route.Limits{MaxBodyBytes: limit, MaxHeaderBytes: 4096}, Routes: []route.Route{{
		Name: "r", Host: "h", Prefix: "/x/", Timeout: time.Second, MaxAttempts: 1, Shares: []route.Share{{Service: "s", Weight: 1}},
	}}}, nil)
}

// TestConfigurationThatArrivesMeanwhileCutsNoBody guards against a body of which only the first byte, or as much as an older
// limit allows, was read before a configuration came into force and that was then forwarded as if it were whole.
func TestConfigurationThatArrivesMeanwhileCutsNoBody(t *testing.T) {
	for _, first := range []*route.Table{nil, tableWithBodyLimit(4)} {
		c := qt.New(t)
		d := &recordingDispatcher{}
		var mu sync.Mutex
		asked := 0
		address := serveCallers(t, d, func(context.Context) *route.Table {
			mu.Lock()
			defer mu.Unlock()
			if asked++; asked == 1 {
				return first
			}
			return tableWithBodyLimit(100)
		})
		response, _ := exchange(t, address, "POST /x/1 HTTP/1.1\r\nHost: h\r\nX-Id: 7\r\nContent-Length: 10\r\n\r\n0123456789")
		for _, r := range d.take() {
			c.Check(string(r.Body), qt.Equals, "0123456789")
		}
		if first == nil {
			c.Check(response.StatusCode, qt.Equals, http.StatusServiceUnavailable)
		}
	}
}

// arrivedRequest is a request as a caller sends it, or as it arrives at a backend server.
type arrivedRequest struct{ id, method, uri, body string }

// recordingServer is a backend server that records what arrives.
type recordingServer struct {
	mu      sync.Mutex
	arrived []arrivedRequest
}

// ServeHTTP implements http.Handler.
func (s *recordingServer) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	s.mu.Lock()
	s.arrived = append(s.arrived, arrivedRequest{r.Header.Get("X-Id"), r.Method, r.RequestURI, string(body)})
	s.mu.Unlock()
	w.Header().Set("X-Id", r.Header.Get("X-Id"))
	w.Header().Set("X-Signature", "s")
}

func (s *recordingServer) take() []arrivedRequest {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := s.arrived
	s.arrived = nil
	return out
}

// newDispatcher returns a dispatcher that sends over TCP to the backend server at the address.
func newDispatcher(address string) *dispatch.Dispatcher {
	d := dispatch.New(dispatch.Options{
		Zone: "a", Region: "r", Regions: map[string]string{"a": "r"}, Log: zerolog.Nop(),
		Protocol:      dispatch.Protocol{RequestID: "X-Id", DeadlineMS: "X-Deadline", Signature: "X-Signature", ExpectedInstance: "X-Expected"},
		ShareEvidence: func(dispatch.Evidence) {}, ShareCrash: func(poison.Crash) {},
		RetryAllowance: func(string) float64 { return 0 },
	})
	d.Update(map[string][]roster.Server{"s": {{ID: "i-1", Service: "s", Zone: "a", Slots: 100, Address: address}}}, nil)
	return d
}

// TestRequestsArriveUnchanged sends random requests, framed by a length or in chunks, in pieces of random sizes and pipelined, from
// a caller's socket to a backend server's, and guards against one that arrives with another method, target, id or body.
func TestRequestsArriveUnchanged(t *testing.T) {
	server := &recordingServer{}
	backendServer := httptest.NewServer(server)
	t.Cleanup(backendServer.Close)
	d := newDispatcher(strings.TrimPrefix(backendServer.URL, "http://"))
	address := serveCallers(t, d, func(context.Context) *route.Table { return tableWithBodyLimit(1 << 16) })
	rapid.Check(t, func(rt *rapid.T) {
		var requests []arrivedRequest
		var raw strings.Builder
		for n := range rapid.IntRange(1, 4).Draw(rt, "requests") {
			s := arrivedRequest{
				id: fmt.Sprint("id", n), method: rapid.SampledFrom([]string{"GET", "POST", "PUT", "DELETE"}).Draw(rt, "method"),
				uri:  "/x/" + rapid.StringMatching(`[a-z0-9/._-]{0,20}(\?[a-z0-9=&]{0,20})?`).Draw(rt, "uri"),
				body: rapid.StringMatching(`[ -~\r\n]{0,300}`).Draw(rt, "body"),
			}
			requests = append(requests, s)
			fmt.Fprintf(&raw, "%s %s HTTP/1.1\r\nHost: h\r\nX-Id: %s\r\n", s.method, s.uri, s.id)
			if rapid.Bool().Draw(rt, "chunked") {
				raw.WriteString("Transfer-Encoding: chunked\r\n\r\n")
				for rest := s.body; rest != ""; {
					size := rapid.IntRange(1, len(rest)).Draw(rt, "chunk")
					fmt.Fprintf(&raw, "%x\r\n%s\r\n", size, rest[:size])
					rest = rest[size:]
				}
				raw.WriteString("0\r\n\r\n")
			} else {
				fmt.Fprintf(&raw, "Content-Length: %d\r\n\r\n%s", len(s.body), s.body)
			}
		}
		conn, err := net.Dial("tcp", address)
		if err != nil {
			rt.Fatal(err)
		}
		defer conn.Close()
		go func() {
			for rest := raw.String(); rest != ""; {
				size := min(len(rest), 1+len(rest)*7919%97)
				_, _ = io.WriteString(conn, rest[:size])
				rest = rest[size:]
			}
		}()
		reader := bufio.NewReader(conn)
		for range requests {
			response, err := http.ReadResponse(reader, nil)
			if err != nil {
				rt.Fatal(err)
			}
			_, _ = io.Copy(io.Discard, response.Body)
		}
		received := server.take()
		if len(received) != len(requests) {
			rt.Fatalf("%d of %d requests arrived", len(received), len(requests))
		}
		for i, r := range received {
			if r != requests[i] {
				rt.Fatalf("sent %q, arrived as %q", requests[i], r)
			}
		}
	})
}

// TestCutRequestNeverArrives cuts requests after each byte and guards against one that reaches a backend server although its
// caller has not sent all of it.
func TestCutRequestNeverArrives(t *testing.T) {
	server := &recordingServer{}
	backendServer := httptest.NewServer(server)
	t.Cleanup(backendServer.Close)
	d := newDispatcher(strings.TrimPrefix(backendServer.URL, "http://"))
	address := serveCallers(t, d, func(context.Context) *route.Table { return tableWithBodyLimit(1 << 16) })
	for _, raw := range []string{
		"POST /x/1 HTTP/1.1\r\nHost: h\r\nX-Id: 7\r\nContent-Length: 10\r\n\r\n0123456789",
		"POST /x/1 HTTP/1.1\r\nHost: h\r\nX-Id: 7\r\nTransfer-Encoding: chunked\r\n\r\n4\r\n0123\r\n6\r\n456789\r\n0\r\n\r\n",
		"GET /x/1 HTTP/1.1\r\nHost: h\r\nX-Id: 7\r\n\r\n",
	} {
		for end := range raw {
			conn, err := net.Dial("tcp", address)
			qt.Assert(t, err, qt.IsNil)
			_, err = io.WriteString(conn, raw[:end])
			qt.Assert(t, err, qt.IsNil)
			qt.Assert(t, conn.(*net.TCPConn).CloseWrite(), qt.IsNil)
			_, _ = io.Copy(io.Discard, conn)
			conn.Close()
			qt.Check(t, server.take(), qt.HasLen, 0, qt.Commentf("cut after %q", raw[:end]))
		}
	}
}

// dispatcherFunc answers requests that arrive at the same time.
type dispatcherFunc func(context.Context, *dispatch.Request) dispatch.Result

func (f dispatcherFunc) Do(ctx context.Context, r *dispatch.Request) dispatch.Result {
	return f(ctx, r)
}

// TestBodiesShareTheMemory sends more and larger bodies at a time than the memory holds. Those that do not fit are refused as not run,
// without being read, and small requests beside them are served.
func TestBodiesShareTheMemory(t *testing.T) {
	c := qt.New(t)
	const limit = 1 << 20
	memory := membudget.New(limit)
	release := make(chan struct{})
	d := dispatcherFunc(func(_ context.Context, r *dispatch.Request) dispatch.Result {
		if len(r.Body) > 1000 {
			<-release
		}
		return dispatch.Result{Outcome: dispatch.Unknown, Reason: "served"}
	})
	address := serveCallersWith(t, d, func(context.Context) *route.Table { return tableWithBodyLimit(limit) }, memory)
	post := func(size int) int {
		raw := fmt.Sprintf("POST /x/1 HTTP/1.1\r\nHost: h\r\nX-Id: 7\r\nContent-Length: %d\r\n\r\n%s", size, strings.Repeat("x", size))
		response, _ := exchange(t, address, raw)
		return response.StatusCode
	}
	held := make(chan int)
	go func() { held <- post(600_000) }()
	for memory.Used() < 600_000 {
		time.Sleep(time.Millisecond)
	}
	c.Check(post(600_000), qt.Equals, http.StatusServiceUnavailable)
	c.Check(post(900), qt.Equals, http.StatusBadGateway)
	close(release)
	c.Check(<-held, qt.Equals, http.StatusBadGateway)
	// The memory of a body is given back once its answer has been written.
	for memory.Used() > 0 {
		time.Sleep(time.Millisecond)
	}
	c.Check(post(600_000), qt.Equals, http.StatusBadGateway)
}
