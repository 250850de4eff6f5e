package client

import (
	"context"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/primroseladder/primroseladder/internal/header"
	"github.com/primroseladder/primroseladder/internal/outcome"
)

// TestLostAnswerIsUnknown checks that the outcome is unknown instead of not-run if the answer to the first send is lost
// and the second send is refused: the first may have run.
func TestLostAnswerIsUnknown(t *testing.T) {
	for _, key := range []string{"", "key-1"} {
		c := qt.New(t)
		var requests atomic.Int64 // atomic: each send has its own connection, hence its own goroutine
		server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			if r.URL.Path == "/v1/addresses" {
				_ = json.NewEncoder(w).Encode(map[string]any{"addresses": []string{r.Host}, "keep_ms": 1000})
				return
			}
			if requests.Add(1) == 1 {
				panic(http.ErrAbortHandler)
			}
			w.Header().Set(header.Outcome, string(outcome.NotRun))
			w.WriteHeader(http.StatusTooManyRequests)
		}))
		c.Cleanup(server.Close)
		client := New(Settings{Keepers: []string{server.URL}})
		result, err := client.Do(context.Background(), Request{
			Service: "s", Method: http.MethodPost, Target: "/s", Key: key, Body: []byte(strings.Repeat("b", 10)),
		})
		c.Assert(err, qt.IsNil)
		c.Check(result.Outcome, qt.Equals, string(outcome.Unknown))
		c.Check(requests.Load(), qt.Equals, int64(2))
	}
}
