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
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/rs/zerolog"

	"github.com/primroseladder/primroseladder/internal/backend"
	"github.com/primroseladder/primroseladder/internal/dispatch"
	"github.com/primroseladder/primroseladder/internal/ingress"
	"github.com/primroseladder/primroseladder/internal/route"
)

// scriptedDispatcher records the requests that it receives and returns the result of do.
type scriptedDispatcher struct {
	do       func(ctx context.Context, r *dispatch.Request) dispatch.Result
	received []*dispatch.Request
}

func (s *scriptedDispatcher) Do(ctx context.Context, r *dispatch.Request) dispatch.Result {
	s.received = append(s.received, r)
	return s.do(ctx, r)
}

var headers = ingress.Headers{RequestID: "X-Id", DeadlineMS: "X-Deadline", Organisation: "X-Organisation", Internal: []string{"X-Internal"}}

func table(context.Context) *route.Table {
	return route.NewTable(&route.Config{Limits: route.Limits{MaxBodyBytes: 10, MaxHeaderBytes: 200}, Routes: []route.Route{{
		Name: "r", Host: "h", Prefix: "/x/", Timeout: time.Second, MaxAttempts: 1, Shares: []route.Share{{Service: "s", Weight: 1}},
	}}}, nil)
}

func never() bool { return false }

// newHandler returns a handler that takes all requests, except for what change sets.
func newHandler(d ingress.Dispatcher, change func(*ingress.Options)) *ingress.Handler {
	o := ingress.Options{
		Headers: headers, AwaitTable: table, IsEnding: never, IsOverloaded: never, Dispatcher: d,
		RecordResult: func(string, dispatch.Result, time.Duration) {}, Rates: ingress.NewRates(), Log: zerolog.Nop(),
	}
	change(&o)
	return ingress.NewHandler(o)
}

func serve(t *testing.T, d *scriptedDispatcher, table func(context.Context) *route.Table) string {
	return serveWith(t, d, table, never)
}

func serveWith(
	t *testing.T, d *scriptedDispatcher, table func(context.Context) *route.Table, isOverloaded func() bool,
) string {
	handler := newHandler(d, func(o *ingress.Options) { o.AwaitTable, o.IsOverloaded = table, isOverloaded })
	server := httptest.NewServer(handler)
	t.Cleanup(server.Close)
	return strings.TrimPrefix(server.URL, "http://")
}

// exchange sends raw bytes on a new connection and returns the response and its body.
func exchange(t *testing.T, address, raw string) (*http.Response, string) {
	conn, err := net.Dial("tcp", address)
	qt.Assert(t, err, qt.IsNil)
	defer conn.Close()
	_, err = io.WriteString(conn, raw)
	qt.Assert(t, err, qt.IsNil)
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	qt.Assert(t, err, qt.IsNil)
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	qt.Assert(t, err, qt.IsNil)
	return response, string(body)
}

const get = "GET /x/1?q=%2F HTTP/1.1\r\nHost: h\r\nX-Id: 7\r\n"

// TestStatusOfEachOutcome checks the status, body and Retry-After of each outcome: 503 is sent only for requests that have
// not run.
func TestStatusOfEachOutcome(t *testing.T) {
	answered := &backend.Answer{Status: 418, Header: http.Header{"X-Signature": {"s"}}, Body: backend.Body{[]byte("body")}}
	tests := []struct {
		result     dispatch.Result
		status     int
		body       string
		retryAfter string
	}{
		{dispatch.Result{Outcome: dispatch.Answered, Answer: answered}, 418, "body", ""},
		{dispatch.Result{Outcome: dispatch.NotRun, Reason: "busy", RetryAfter: 1500 * time.Millisecond}, 503, "busy\n", "1.500"},
		{dispatch.Result{Outcome: dispatch.NotRun, Reason: "busy"}, 503, "busy\n", "0.050"},
		{dispatch.Result{Outcome: dispatch.Unknown, Reason: "lost"}, 502, "lost\n", ""},
		{dispatch.Result{Outcome: dispatch.TimedOut, Reason: "late"}, 504, "late\n", ""},
	}
	for _, test := range tests {
		d := &scriptedDispatcher{do: func(context.Context, *dispatch.Request) dispatch.Result { return test.result }}
		response, body := exchange(t, serve(t, d, table), get+"\r\n")
		qt.Check(t, response.StatusCode, qt.Equals, test.status)
		qt.Check(t, body, qt.Equals, test.body)
		qt.Check(t, response.Header.Get("Retry-After"), qt.Equals, test.retryAfter)
	}
}

// TestInvalidRequestsAreNotForwarded checks the requests that are refused before they reach the dispatcher.
func TestInvalidRequestsAreNotForwarded(t *testing.T) {
	tests := []struct {
		name, raw string
		table     func(context.Context) *route.Table
		status    int
	}{
		{"no configuration yet", get + "\r\n", func(context.Context) *route.Table { return nil }, 503},
		{"no route", strings.Replace(get, "/x/", "/y/", 1) + "\r\n", table, 404},
		{"no request id", strings.Replace(get, "X-Id: 7\r\n", "", 1) + "\r\n", table, 400},
		{"unreadable deadline", get + "X-Deadline: soon\r\n\r\n", table, 400},
		{"header too long", get + "X-Long: " + strings.Repeat("x", 200) + "\r\n\r\n", table, 431},
		{"body too long", get + "Content-Length: 11\r\n\r\n01234567890", table, 413},
		{"body that does not arrive", get + "X-Deadline: 100\r\nContent-Length: 5\r\n\r\n01", table, 408},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			d := &scriptedDispatcher{}
			response, _ := exchange(t, serve(t, d, test.table), test.raw)
			qt.Check(t, response.StatusCode, qt.Equals, test.status)
			qt.Check(t, d.received, qt.HasLen, 0)
		})
	}
}

// TestHeaderLimitIsExact checks that a header of exactly the limit is accepted and one byte more is rejected.
func TestHeaderLimitIsExact(t *testing.T) {
	const limit = 200
	for _, test := range []struct{ size, status int }{{limit, 502}, {limit + 1, 431}} {
		d := &scriptedDispatcher{do: func(context.Context, *dispatch.Request) dispatch.Result {
			return dispatch.Result{Outcome: dispatch.Unknown}
		}}
		const long, end = "X-Long: ", "\r\n\r\n"
		raw := get + long + strings.Repeat("x", test.size-len(get)-len(long)-len(end)) + end
		response, _ := exchange(t, serve(t, d, table), raw)
		qt.Check(t, response.StatusCode, qt.Equals, test.status, qt.Commentf("%d bytes", test.size))
	}
}

// TestRequestIsForwardedUnchanged checks the target, body, deadline and headers of a forwarded request. Internal and
// hop-by-hop headers are removed.
func TestRequestIsForwardedUnchanged(t *testing.T) {
	c := qt.New(t)
	d := &scriptedDispatcher{do: func(context.Context, *dispatch.Request) dispatch.Result { return dispatch.Result{} }}
	d.do = func(context.Context, *dispatch.Request) dispatch.Result {
		return dispatch.Result{Outcome: dispatch.Unknown}
	}
	raw := strings.Replace(get, "GET", "PUT", 1) + "X-Internal: forged\r\nX-Own: kept\r\nConnection: X-Hop\r\nX-Hop: 1\r\n" +
		"X-Deadline: 900\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n2\r\nde\r\n0\r\n\r\n"
	exchange(t, serve(t, d, table), raw)
	c.Assert(d.received, qt.HasLen, 1)
	r := d.received[0]
	c.Check(fmt.Sprint(r.Method, " ", r.URI, " ", string(r.Body)), qt.Equals, "PUT /x/1?q=%2F abcde")
	c.Check(r.CallerDeadline.Sub(r.Arrival), qt.Equals, 900*time.Millisecond)
	c.Check(r.Header.Get("X-Own"), qt.Equals, "kept")
	for _, name := range []string{"X-Internal", "X-Hop", "Connection", "Transfer-Encoding"} {
		c.Check(r.Header.Get(name), qt.Equals, "", qt.Commentf("%s", name))
	}
}

// TestDisconnectedCallerCancelsTheRequest checks that a request is cancelled when its caller closes the connection, within
// the half second after which work must have stopped.
func TestDisconnectedCallerCancelsTheRequest(t *testing.T) {
	ended := make(chan struct{})
	d := &scriptedDispatcher{do: func(ctx context.Context, _ *dispatch.Request) dispatch.Result {
		<-ctx.Done()
		close(ended)
		return dispatch.Result{Outcome: dispatch.Unknown}
	}}
	conn, err := net.Dial("tcp", serve(t, d, table))
	qt.Assert(t, err, qt.IsNil)
	_, err = io.WriteString(conn, strings.Replace(get, "GET", "POST", 1)+"Content-Length: 3\r\n\r\nabc")
	qt.Assert(t, err, qt.IsNil)
	time.Sleep(50 * time.Millisecond)
	qt.Assert(t, conn.Close(), qt.IsNil)
	select {
	case <-ended:
	case <-time.After(500 * time.Millisecond):
		t.Fatal("the request was not cancelled within half a second after the caller disconnected")
	}
}

// TestRates checks that requests at 100 a second give about that rate, and that a host without requests is not reported.
func TestRates(t *testing.T) {
	r := ingress.NewRates()
	start := time.Unix(1000, 0)
	for n := range 1000 {
		r.Count("h", start.Add(time.Duration(n)*10*time.Millisecond))
	}
	end := start.Add(10 * time.Second)
	got := r.Get(end)["h"]
	qt.Check(t, got > 90 && got < 110, qt.IsTrue, qt.Commentf("%g", got))
	qt.Check(t, r.Get(end.Add(time.Minute)), qt.HasLen, 0)
}

// TestOverloadedVMRefusesAtOnce guards against requests that a saturated VM takes and holds until their time limit: it refuses
// them as not run, and counts them as load.
func TestOverloadedVMRefusesAtOnce(t *testing.T) {
	c := qt.New(t)
	d := &scriptedDispatcher{do: func(context.Context, *dispatch.Request) dispatch.Result {
		return dispatch.Result{Outcome: dispatch.Unknown}
	}}
	isOverloaded := true
	address := serveWith(t, d, table, func() bool { return isOverloaded })
	response, _ := exchange(t, address, get+"\r\n")
	c.Check(response.StatusCode, qt.Equals, http.StatusServiceUnavailable)
	c.Check(response.Header.Get("Retry-After"), qt.Equals, "0.050")
	c.Check(d.received, qt.HasLen, 0)
	isOverloaded = false
	response, _ = exchange(t, address, get+"\r\n")
	c.Check(response.StatusCode, qt.Equals, http.StatusBadGateway)
}

// TestTimeCountsFromBeforeALateRead guards against requests that a VM which runs late sends on after their callers' deadline: it has
// read them late, and their time had begun before.
func TestTimeCountsFromBeforeALateRead(t *testing.T) {
	c := qt.New(t)
	const lag = 240 * time.Millisecond
	var left time.Duration
	d := &scriptedDispatcher{do: func(_ context.Context, r *dispatch.Request) dispatch.Result {
		left = time.Until(r.CallerDeadline)
		return dispatch.Result{Outcome: dispatch.Unknown}
	}}
	handler := newHandler(d, func(o *ingress.Options) { o.Lag = func() time.Duration { return lag } })
	server := httptest.NewServer(handler)
	t.Cleanup(server.Close)
	exchange(t, strings.TrimPrefix(server.URL, "http://"), get+"X-Deadline: 900\r\n\r\n")
	c.Check(left > 0 && left <= 900*time.Millisecond-lag, qt.IsTrue, qt.Commentf("%v", left))
}

// TestRateOfAHostThatBecomesBusy guards against a load that is reported too low for seconds after it has begun, also after a pause.
func TestRateOfAHostThatBecomesBusy(t *testing.T) {
	r := ingress.NewRates()
	for _, start := range []time.Time{time.Unix(1000, 0), time.Unix(1060, 0)} {
		for n := range 50 {
			r.Count("h", start.Add(time.Duration(n)*10*time.Millisecond))
		}
		got := r.Get(start.Add(500 * time.Millisecond))["h"]
		qt.Check(t, got > 80 && got < 120, qt.IsTrue, qt.Commentf("%g", got))
	}
}
