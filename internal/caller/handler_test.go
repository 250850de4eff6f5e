package caller_test

import (
	"bufio"
	"bytes"
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/primroseladder/primroseladder/internal/caller"
	"github.com/primroseladder/primroseladder/internal/catalogue"
	"github.com/primroseladder/primroseladder/internal/header"
	"github.com/primroseladder/primroseladder/internal/outcome"
	"github.com/primroseladder/primroseladder/internal/request"
	"github.com/primroseladder/primroseladder/internal/snapshot"
)

// echoServer answers each request with its own body, and records the last request.
type echoServer struct{ last *request.Request }

func (e *echoServer) Serve(_ context.Context, r *request.Request) *request.Response {
	e.last = r
	return &request.Response{
		Outcome: outcome.Done, Status: http.StatusOK, Body: r.Body,
		Header: http.Header{"Connection": {"x-hop"}, "X-Hop": {"1"}, "Primrose-Outcome": {"unknown"}, "X-Own": {"1"}},
	}
}

func newHandler() (*caller.Handler, *echoServer) {
	e := &catalogue.Entry{Service: "deposits", Owner: "finance", Routes: []catalogue.Route{{Prefix: "/deposits"}}}
	e.Limits.MaxRequestBytes = 10
	e.ApplyDefaults()
	holder := snapshot.NewHolder()
	holder.ApplyCatalogue(snapshot.CatalogueUpdate{Revision: 1, Complete: true, Entries: []*catalogue.Entry{e}})
	server := &echoServer{}
	return caller.NewHandler(server, holder), server
}

// do parses a raw HTTP request and passes it to the handler.
func do(t testing.TB, h http.Handler, raw string) *http.Response {
	t.Helper()
	req, err := http.ReadRequest(bufio.NewReader(strings.NewReader(raw)))
	qt.Assert(t, err, qt.IsNil)
	w := httptest.NewRecorder()
	h.ServeHTTP(w, req)
	return w.Result()
}

func TestBadInputIsNotRun(t *testing.T) {
	tests := []struct {
		name, raw string
		want      int
	}{
		{"no route", "GET /other HTTP/1.1\r\nHost: x\r\n\r\n", 404},
		{"prefix inside a segment", "GET /depositsx HTTP/1.1\r\nHost: x\r\n\r\n", 404},
		{"dot segments", "GET /deposits/%2e%2e/admin HTTP/1.1\r\nHost: x\r\n\r\n", 400},
		{"body too long", "POST /deposits HTTP/1.1\r\nHost: x\r\nContent-Length: 11\r\n\r\n12345678901", 413},
		{"body cut short", "POST /deposits HTTP/1.1\r\nHost: x\r\nContent-Length: 9\r\n\r\n123", 400},
		{"upgrade", "GET /deposits HTTP/1.1\r\nHost: x\r\nConnection: upgrade\r\nUpgrade: websocket\r\n\r\n", 400},
		{"send number without key", "POST /deposits HTTP/1.1\r\nHost: x\r\nPrimrose-Send-Number: 1\r\n\r\n", 400},
		{"send number 0", "POST /deposits HTTP/1.1\r\nHost: x\r\nIdempotency-Key: k\r\nPrimrose-Send-Number: 0\r\n\r\n", 400},
		{"two keys", "POST /deposits HTTP/1.1\r\nHost: x\r\nIdempotency-Key: k\r\nIdempotency-Key: l\r\n\r\n", 400},
		{
			"not run through the send itself",
			"POST /deposits HTTP/1.1\r\nHost: x\r\nIdempotency-Key: k\r\nPrimrose-Send-Number: 2\r\nPrimrose-Not-Run-Through: 2\r\n\r\n",
			400,
		},
		{"unclear mark", "POST /deposits HTTP/1.1\r\nHost: x\r\nPrimrose-Non-Idempotent: maybe\r\n\r\n", 400},
		{"timeout in words", "GET /deposits HTTP/1.1\r\nHost: x\r\nPrimrose-Timeout-Ms: soon\r\n\r\n", 400},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			handler, server := newHandler()
			response := do(t, handler, test.raw)
			c.Assert(response.StatusCode, qt.Equals, test.want)
			c.Assert(response.Header.Get(header.Outcome), qt.Equals, "not-run")
			c.Assert(server.last, qt.IsNil)
		})
	}
}

// TestRefusedResendIsUnknown guards against a caller that takes the refusal of a second send as proof that the work has not
// run, and starts it again: the first send may have run, so the outcome must be unknown.
func TestRefusedResendIsUnknown(t *testing.T) {
	const key = "Idempotency-Key: k\r\n"
	for _, test := range []struct{ name, headers, want string }{
		{"first send", key + "Primrose-Send-Number: 1\r\n", "not-run"},
		{"first send after a refusal", key + "Primrose-Send-Number: 3\r\nPrimrose-Not-Run-Through: 2\r\n", "not-run"},
		{"second send", key + "Primrose-Send-Number: 2\r\n", "unknown"},
		{"without numbers", key, "unknown"},
		{"without key", "", "not-run"},
	} {
		t.Run(test.name, func(t *testing.T) {
			handler, _ := newHandler()
			response := do(t, handler, "POST /deposits HTTP/1.1\r\nHost: x\r\n"+test.headers+"Content-Length: 11\r\n\r\n12345678901")
			qt.Assert(t, response.StatusCode, qt.Equals, 413)
			qt.Assert(t, response.Header.Get(header.Outcome), qt.Equals, test.want)
		})
	}
}

// TestHopByHopHeadersAreRemoved checks that hop-by-hop headers and Primrose headers of a backend server do not reach the caller.
func TestHopByHopHeadersAreRemoved(t *testing.T) {
	c := qt.New(t)
	handler, _ := newHandler()
	response := do(t, handler, "GET /deposits/7?x=1 HTTP/1.1\r\nHost: x\r\n\r\n")
	c.Assert(response.Header.Get("X-Hop"), qt.Equals, "")
	c.Assert(response.Header.Get("X-Own"), qt.Equals, "1")
	c.Assert(response.Header.Values(header.Outcome), qt.DeepEquals, []string{"done"})
}

// TestNonIdempotentHeaderOnlyRestricts checks that the header can mark a request non-idempotent, but never idempotent.
func TestNonIdempotentHeaderOnlyRestricts(t *testing.T) {
	for mark, idempotent := range map[string]bool{
		"": true, "Primrose-Non-Idempotent: true\r\n": false, "Primrose-Non-Idempotent: false\r\n": true,
	} {
		handler, server := newHandler()
		do(t, handler, "GET /deposits HTTP/1.1\r\nHost: x\r\n"+mark+"\r\n")
		qt.Assert(t, server.last.Idempotent, qt.Equals, idempotent)
		do(t, handler, "POST /deposits HTTP/1.1\r\nHost: x\r\n"+mark+"\r\n")
		qt.Assert(t, server.last.Idempotent, qt.IsFalse)
	}
}

// FuzzHandler checks that every request that net/http can parse gets the outcome done if and only if it reached the server.
func FuzzHandler(f *testing.F) {
	f.Add([]byte("POST /deposits HTTP/1.1\r\nHost: x\r\nIdempotency-Key: k\r\nPrimrose-Send-Number: 1\r\nContent-Length: 2\r\n\r\nab"))
	f.Add([]byte("GET /deposits/%2e HTTP/1.1\r\nHost: x\r\nPrimrose-Timeout-Ms: 99999999999\r\n\r\n"))
	f.Add([]byte("POST /deposits HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\nContent-Length: 3\r\n\r\n1\r\na\r\n0\r\n\r\n"))
	f.Fuzz(func(t *testing.T, raw []byte) {
		req, err := http.ReadRequest(bufio.NewReader(bytes.NewReader(raw)))
		if err != nil {
			return
		}
		handler, server := newHandler()
		w := httptest.NewRecorder()
		handler.ServeHTTP(w, req)
		result := w.Result().Header.Get(header.Outcome)
		if served := server.last != nil; served != (result == "done") {
			t.Fatalf("served %t with outcome %q", served, result)
		}
	})
}
