package caller

import (
	"io"
	"net/http"
	"net/http/httptest"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/primroseladder/primroseladder/internal/outcome"
	"github.com/primroseladder/primroseladder/internal/request"
)

// TestContentLength checks the Content-Length that a caller receives over a real connection.
func TestContentLength(t *testing.T) {
	declared := http.Header{"Content-Length": {"9999"}, "Transfer-Encoding": {"chunked"}}
	tests := []struct {
		name   string
		method string
		resp   request.Response
		length string
	}{
		{"body", http.MethodGet, request.Response{Status: 200, Header: declared, Body: []byte("body")}, "4"},
		{"no body", http.MethodGet, request.Response{Status: 200}, "0"},
		{"HEAD", http.MethodHead, request.Response{Status: 200, Header: declared}, "9999"},
		{"no content", http.MethodGet, request.Response{Status: 204, Header: declared}, ""},
		{"not modified", http.MethodGet, request.Response{Status: 304, Header: declared}, ""},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			test.resp.Outcome = outcome.Done
			server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
				writeResponse(w, "id", &test.resp)
			}))
			c.Cleanup(server.Close)
			req, err := http.NewRequest(test.method, server.URL, nil)
			c.Assert(err, qt.IsNil)
			resp, err := http.DefaultClient.Do(req)
			c.Assert(err, qt.IsNil)
			defer resp.Body.Close()
			body, err := io.ReadAll(resp.Body)
			c.Assert(err, qt.IsNil)
			c.Check(string(body), qt.Equals, string(test.resp.Body))
			c.Check(resp.Header.Get("Content-Length"), qt.Equals, test.length)
			c.Check(resp.Header.Get("Primrose-Outcome"), qt.Equals, "done")
		})
	}
}
