package callerconn_test

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/rs/zerolog"

	"github.com/primroseladder/primroseladder/internal/callerconn"
)

// testServer is a Server on a loopback address. Requests run until their gate is opened.
type testServer struct {
	*callerconn.Server
	address   string
	isClosing atomic.Bool

	mu        sync.Mutex
	gates     map[string]chan struct{}
	started   []string
	cancelled []string
}

const (
	maxPending     = 4
	maxHeaderBytes = 8 << 10
	maxBodyBytes   = 64
	bodyTimeout    = 300 * time.Millisecond
	headerTimeout  = 300 * time.Millisecond
	unusedTimeout  = 200 * time.Millisecond
)

func newTestServer(t *testing.T) *testServer {
	s := &testServer{gates: map[string]chan struct{}{}}
	s.Server = callerconn.NewServer(callerconn.Options{
		Handler: s, MayOverlap: func(r *http.Request) bool { return r.Method == http.MethodGet },
		BodyLimits:        func(*http.Request) (int64, time.Duration) { return maxBodyBytes, bodyTimeout },
		IsClosing:         s.isClosing.Load,
		ReadHeaderTimeout: headerTimeout, IdleTimeout: time.Second, UnusedTimeout: unusedTimeout, WriteTimeout: time.Second,
		MaxHeaderBytes: maxHeaderBytes, MaxPending: maxPending, MaxPendingBytes: 1 << 20, Log: zerolog.Nop(),
	})
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	qt.Assert(t, err, qt.IsNil)
	s.address = listener.Addr().String()
	go s.Serve(listener)
	t.Cleanup(func() {
		ctx, cancel := context.WithCancel(context.Background())
		cancel()
		_ = s.Shutdown(ctx)
	})
	return s
}

// gate returns the channel that is closed when the request with the path may end.
func (s *testServer) gate(path string) chan struct{} {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.gates[path] == nil {
		s.gates[path] = make(chan struct{})
	}
	return s.gates[path]
}

func (s *testServer) open(paths ...string) {
	for _, path := range paths {
		close(s.gate(path))
	}
}

func (s *testServer) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	s.started = append(s.started, r.URL.Path)
	s.mu.Unlock()
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBodyBytes))
	var tooLarge *http.MaxBytesError
	switch {
	case errors.As(err, &tooLarge):
		w.WriteHeader(http.StatusRequestEntityTooLarge)
		return
	case err != nil:
		w.WriteHeader(http.StatusRequestTimeout)
		return
	}
	select {
	case <-s.gate(r.URL.Path):
	case <-r.Context().Done():
		s.mu.Lock()
		s.cancelled = append(s.cancelled, r.URL.Path)
		s.mu.Unlock()
		return
	}
	fmt.Fprintf(w, "%s %s%s", r.Method, r.URL.Path, body)
}

func (s *testServer) startedPaths() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return strings.Join(s.started, " ")
}

func (s *testServer) cancelledCount() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.cancelled)
}

// caller is a connection to a testServer.
type caller struct {
	*net.TCPConn
	t      *testing.T
	reader *bufio.Reader
}

func (s *testServer) dial(t *testing.T) *caller {
	conn, err := net.Dial("tcp", s.address)
	qt.Assert(t, err, qt.IsNil)
	t.Cleanup(func() { _ = conn.Close() })
	return &caller{conn.(*net.TCPConn), t, bufio.NewReader(conn)}
}

func (c *caller) send(raw string) {
	_, err := io.WriteString(c, raw)
	qt.Assert(c.t, err, qt.IsNil)
}

// answer reads an answer and returns its status, its body, and "close" if it is the last one.
func (c *caller) answer() string {
	c.t.Helper()
	_ = c.SetReadDeadline(time.Now().Add(3 * time.Second))
	response, err := http.ReadResponse(c.reader, nil)
	if err != nil {
		return err.Error()
	}
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	qt.Assert(c.t, err, qt.IsNil)
	out := strings.TrimSpace(fmt.Sprint(response.StatusCode, " ", string(body)))
	if response.Close {
		out += " close"
	}
	return out
}

// isClosed reports whether the server closes the connection without a further answer.
func (c *caller) isClosed() bool {
	_ = c.SetReadDeadline(time.Now().Add(2 * time.Second))
	_, err := c.reader.ReadByte()
	return errors.Is(err, io.EOF)
}

func get(paths ...string) string {
	out := ""
	for _, path := range paths {
		out += "GET " + path + " HTTP/1.1\r\nHost: h\r\n\r\n"
	}
	return out
}

func post(path, body string) string {
	return fmt.Sprintf("POST %s HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n\r\n%s", path, len(body), body)
}

// settle is long enough for a server to start the requests that it has received.
const settle = 100 * time.Millisecond

func waitFor(t *testing.T, within time.Duration, what string, isMet func() bool) {
	t.Helper()
	for end := time.Now().Add(within); !isMet(); time.Sleep(5 * time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("%s: condition not met within %v", what, within)
		}
	}
}

// TestPipelinedRequestsRunSideBySide checks that idempotent requests run at the same time, and that their answers are
// returned in order although the first one ends last.
func TestPipelinedRequestsRunSideBySide(t *testing.T) {
	s := newTestServer(t)
	c := s.dial(t)
	c.send(get("/1", "/2", "/3"))
	waitFor(t, time.Second, "started", func() bool { return len(s.startedPaths()) == len("/1 /2 /3") })
	s.open("/3", "/2")
	time.Sleep(settle)
	s.open("/1")
	for _, path := range []string{"/1", "/2", "/3"} {
		qt.Check(t, c.answer(), qt.Equals, "200 GET "+path)
	}
}

// TestOtherRequestsWaitForTheirTurn checks that a request that may not be repeated starts once all requests before it are
// answered, and that an idempotent one behind it does not wait for it.
func TestOtherRequestsWaitForTheirTurn(t *testing.T) {
	s := newTestServer(t)
	c := s.dial(t)
	c.send(get("/1") + post("/2", "body") + get("/3"))
	waitFor(t, time.Second, "started", func() bool { return strings.Contains(s.startedPaths(), "/3") })
	time.Sleep(settle)
	qt.Check(t, strings.Contains(s.startedPaths(), "/2"), qt.IsFalse)
	s.open("/1", "/2", "/3")
	qt.Check(t, c.answer(), qt.Equals, "200 GET /1")
	qt.Check(t, c.answer(), qt.Equals, "200 POST /2body")
	qt.Check(t, c.answer(), qt.Equals, "200 GET /3")
}

// TestLeavingCallerCancelsAllItsRequests checks that requests are cancelled within half a second after their caller has
// closed a connection on which further requests wait, also more than may be read.
func TestLeavingCallerCancelsAllItsRequests(t *testing.T) {
	tests := []struct {
		name, raw string
		cancelled int
	}{
		{"one request", get("/1"), 1},
		{"pipelined", get("/1", "/2"), 2},
		{"a further one that waits for its turn", get("/1") + post("/2", "body"), 1},
		{"more than may be pending", get("/1", "/2", "/3", "/4", "/5", "/6"), maxPending},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			s := newTestServer(t)
			c := s.dial(t)
			c.send(test.raw)
			time.Sleep(settle)
			_ = c.Close()
			waitFor(t, 500*time.Millisecond, "cancelled", func() bool { return s.cancelledCount() == test.cancelled })
			time.Sleep(settle)
			qt.Check(t, len(strings.Fields(s.startedPaths())), qt.Equals, test.cancelled)
		})
	}
}

// TestPendingRequestsAreBounded checks that a connection has no more than the maximum number of requests pending, and that
// the others are read as answers are written.
func TestPendingRequestsAreBounded(t *testing.T) {
	s := newTestServer(t)
	c := s.dial(t)
	c.send(get("/1", "/2", "/3", "/4", "/5", "/6"))
	time.Sleep(settle)
	qt.Check(t, len(strings.Fields(s.startedPaths())), qt.Equals, maxPending)
	for n := 1; n <= 6; n++ {
		s.open(fmt.Sprintf("/%d", n))
		qt.Check(t, c.answer(), qt.Equals, fmt.Sprintf("200 GET /%d", n))
	}
}

// TestClosingAnswersWhatWasStarted begins a planned stop while requests of one connection run. Those that were started are
// answered, the last of them announces the close, and none behind it is started.
func TestClosingAnswersWhatWasStarted(t *testing.T) {
	s := newTestServer(t)
	c := s.dial(t)
	c.send(get("/1", "/2") + post("/3", "body"))
	time.Sleep(settle)
	s.isClosing.Store(true)
	s.open("/1")
	qt.Check(t, c.answer(), qt.Equals, "200 GET /1")
	s.open("/2", "/3")
	qt.Check(t, c.answer(), qt.Equals, "200 GET /2 close")
	qt.Check(t, c.isClosed(), qt.IsTrue)
	qt.Check(t, strings.Contains(s.startedPaths(), "/3"), qt.IsFalse)
}

// TestLastAnswerIsNotResetByFurtherRequests sends requests that are never read behind one that closes the connection. It
// guards against closing the socket with unread bytes, which resets it and discards the answer at the caller.
func TestLastAnswerIsNotResetByFurtherRequests(t *testing.T) {
	s := newTestServer(t)
	for range 20 {
		c := s.dial(t)
		s.mu.Lock()
		s.gates = map[string]chan struct{}{}
		s.mu.Unlock()
		c.send("GET /1 HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n" + strings.Repeat(get("/2"), 1000))
		time.Sleep(5 * time.Millisecond)
		s.open("/1")
		time.Sleep(20 * time.Millisecond)
		qt.Check(t, c.answer(), qt.Equals, "200 GET /1 close")
		qt.Check(t, c.isClosed(), qt.IsTrue)
	}
	qt.Check(t, strings.Contains(s.startedPaths(), "/2"), qt.IsFalse)
}

// TestShutdownUnderLoad shuts down while callers are idle, pipeline, read slowly, have closed their sending side, or have
// sent nothing. Requests that were started are answered, and the others do not delay the stop.
func TestShutdownUnderLoad(t *testing.T) {
	s := newTestServer(t)
	idle, pipelined, halfClosed, unused, partial := s.dial(t), s.dial(t), s.dial(t), s.dial(t), s.dial(t)
	s.open("/idle")
	idle.send(get("/idle"))
	qt.Check(t, idle.answer(), qt.Equals, "200 GET /idle")
	pipelined.send(get("/1", "/2"))
	halfClosed.send(get("/half"))
	_ = halfClosed.CloseWrite()
	partial.send("GET /partial HT")
	time.Sleep(settle)
	s.isClosing.Store(true)
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	stopped := make(chan error, 1)
	began := time.Now()
	go func() { stopped <- s.Shutdown(ctx) }()
	qt.Check(t, idle.isClosed(), qt.IsTrue)
	qt.Check(t, unused.isClosed(), qt.IsTrue)
	time.Sleep(settle)
	s.open("/1", "/2")
	qt.Check(t, pipelined.answer(), qt.Equals, "200 GET /1")
	qt.Check(t, pipelined.answer(), qt.Equals, "200 GET /2 close")
	_ = pipelined.Close()
	qt.Check(t, partial.answer(), qt.Equals, "408 close")
	_ = partial.Close()
	qt.Check(t, <-stopped, qt.IsNil)
	qt.Check(t, time.Since(began) < 1500*time.Millisecond, qt.IsTrue, qt.Commentf("%v", time.Since(began)))
	_, err := net.Dial("tcp", s.address)
	qt.Check(t, err, qt.IsNotNil)
}

// TestShutdownEndsWithItsContext checks that a request that does not end holds up a shutdown only until its context ends.
func TestShutdownEndsWithItsContext(t *testing.T) {
	s := newTestServer(t)
	c := s.dial(t)
	c.send(get("/1"))
	time.Sleep(settle)
	ctx, cancel := context.WithTimeout(context.Background(), settle)
	defer cancel()
	qt.Check(t, s.Shutdown(ctx), qt.ErrorIs, context.DeadlineExceeded)
	waitFor(t, time.Second, "cancelled", func() bool { return s.cancelledCount() == 1 })
	qt.Check(t, c.isClosed(), qt.IsTrue)
}

// TestInvalidRequests checks the answers to requests that are not passed on, or not completely: each closes the connection
// and leaves the answers to earlier requests as they are.
func TestInvalidRequests(t *testing.T) {
	long := strings.Repeat("x", 2*maxHeaderBytes)
	tests := []struct{ name, raw, want string }{
		{"not HTTP", "hello\r\n\r\n", "400 close"},
		{"another protocol", "PRI * HTTP/2.0\r\n\r\n", "400 close"},
		{"no host", "GET / HTTP/1.1\r\n\r\n", "400 close"},
		{"a header name with a space", "GET / HTTP/1.1\r\nHost: h\r\nA B: c\r\n\r\n", "400 close"},
		{"a control character in a value", "GET / HTTP/1.1\r\nHost: h\r\nA: b\x01c\r\n\r\n", "400 close"},
		{"contradicting lengths", "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 1\r\nContent-Length: 2\r\n\r\nab", "400 close"},
		{"header too long", "GET / HTTP/1.1\r\nHost: h\r\nA: " + long + "\r\n\r\n", "431 close"},
		{"header that does not arrive", "GET / HTTP/1.1\r\nHost: h\r\n", "408 close"},
		{"body too long", post("/b", strings.Repeat("x", maxBodyBytes+1)), "413 close"},
		{"body that does not arrive", "POST /b HTTP/1.1\r\nHost: h\r\nContent-Length: 9\r\n\r\nab", "408 close"},
		{"chunk that does not arrive", "POST /b HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nab", "408 close"},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			s := newTestServer(t)
			s.open("/1")
			c := s.dial(t)
			c.send(get("/1") + test.raw)
			qt.Check(t, c.answer(), qt.Equals, "200 GET /1")
			qt.Check(t, c.answer(), qt.Equals, test.want)
			qt.Check(t, c.isClosed(), qt.IsTrue)
		})
	}
}

// TestEndlessRequestsAreBounded sends a header and a body without end, one byte at a time and in large pieces. The
// connection is closed after the limits of time and size.
func TestEndlessRequestsAreBounded(t *testing.T) {
	tests := []struct{ name, start, piece string }{
		{"header", "GET / HTTP/1.1\r\nHost: h\r\n", "A: b\r\n"},
		{"header value", "GET / HTTP/1.1\r\nHost: h\r\nA: ", "x"},
		{"request line", "GET /", "x"},
		{"chunked body", "POST /b HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n", "1\r\nx\r\n"},
		{"chunk extension", "POST /b HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n1;", "x"},
		{"trailer", "POST /b HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n", "A: b\r\n"},
	}
	for _, test := range tests {
		for _, repeat := range []int{1, 1000} {
			t.Run(fmt.Sprintf("%s, %d", test.name, repeat), func(t *testing.T) {
				t.Parallel()
				s := newTestServer(t)
				c := s.dial(t)
				c.send(test.start)
				piece := []byte(strings.Repeat(test.piece, repeat))
				began := time.Now()
				for err := error(nil); err == nil && time.Since(began) < 3*time.Second; time.Sleep(time.Millisecond) {
					_, err = c.Write(piece)
				}
				qt.Check(t, time.Since(began) < 2*time.Second, qt.IsTrue, qt.Commentf("%v", time.Since(began)))
			})
		}
	}
}

// TestExpectContinue checks that the caller is told to send the body, after the answers to earlier requests.
func TestExpectContinue(t *testing.T) {
	s := newTestServer(t)
	s.open("/1", "/2")
	c := s.dial(t)
	c.send(get("/1") + "POST /2 HTTP/1.1\r\nHost: h\r\nExpect: 100-continue\r\nContent-Length: 4\r\n\r\n")
	qt.Check(t, c.answer(), qt.Equals, "200 GET /1")
	qt.Check(t, c.answer(), qt.Equals, "100")
	c.send("body")
	qt.Check(t, c.answer(), qt.Equals, "200 POST /2body")
}

// TestIdleConnectionsAreKeptAndClosed checks that a connection stays open between requests, and is closed after the idle
// timeout, which does not run while a request is pending.
func TestIdleConnectionsAreKeptAndClosed(t *testing.T) {
	s := newTestServer(t)
	c := s.dial(t)
	c.send(get("/1"))
	time.Sleep(1200 * time.Millisecond)
	s.open("/1", "/2")
	qt.Check(t, c.answer(), qt.Equals, "200 GET /1")
	time.Sleep(700 * time.Millisecond)
	c.send(get("/2"))
	qt.Check(t, c.answer(), qt.Equals, "200 GET /2")
	began := time.Now()
	qt.Check(t, c.isClosed(), qt.IsTrue)
	qt.Check(t, time.Since(began) > 800*time.Millisecond, qt.IsTrue, qt.Commentf("%v", time.Since(began)))
}

// TestPanicClosesOneConnection checks that a panic of the handler leaves the other connections as they are.
func TestPanicClosesOneConnection(t *testing.T) {
	isPanicking := http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/panic" {
			panic("fault")
		}
	})
	server := callerconn.NewServer(callerconn.Options{
		Handler: isPanicking, MayOverlap: func(*http.Request) bool { return true }, IsClosing: func() bool { return false },
		ReadHeaderTimeout: time.Second, IdleTimeout: time.Second, WriteTimeout: time.Second, MaxHeaderBytes: maxHeaderBytes,
		MaxPending: maxPending, MaxPendingBytes: 1, Log: zerolog.Nop(),
	})
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	qt.Assert(t, err, qt.IsNil)
	go server.Serve(listener)
	s := &testServer{address: listener.Addr().String()}
	broken, other := s.dial(t), s.dial(t)
	broken.send(get("/panic"))
	qt.Check(t, broken.answer(), qt.Not(qt.Matches), "[0-9].*")
	other.send(get("/"))
	qt.Check(t, other.answer(), qt.Equals, "200")
	qt.Check(t, server.Shutdown(t.Context()), qt.IsNil)
}
