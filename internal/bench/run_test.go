package bench_test

import (
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/primroseladder/primroseladder/internal/bench"
	"github.com/primroseladder/primroseladder/internal/header"
)

// TestRunCountsWhatTheServerAnswers checks the counts of a run against a server that refuses every fifth request, for both
// kinds of requests.
func TestRunCountsWhatTheServerAnswers(t *testing.T) {
	for _, nonIdempotent := range []bool{false, true} {
		c := qt.New(t)
		var mu sync.Mutex
		received, refused := 0, int64(0)
		keys := map[string]bool{}
		server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			_, _ = io.Copy(io.Discard, r.Body)
			mu.Lock()
			defer mu.Unlock()
			received++
			keys[r.Header.Get(header.IdempotencyKey)] = true
			if received%5 == 0 {
				refused++
				w.Header().Set(header.Reason, "overload")
				w.WriteHeader(http.StatusServiceUnavailable)
			}
		}))
		r := bench.Run(t.Context(), bench.Plan{
			Addresses: []string{strings.TrimPrefix(server.URL, "http://")}, Path: "/x", Rate: 500,
			Duration: 200 * time.Millisecond, Connections: 4, NonIdempotent: nonIdempotent, Seed: 1,
		})
		server.Close()
		c.Check(r.Done+r.Failed, qt.Equals, int64(received))
		c.Check(r.Failed, qt.Equals, refused)
		c.Check(r.Reasons["overload"], qt.Equals, refused)
		c.Check(r.Latency.TotalCount(), qt.Equals, r.Done)
		if nonIdempotent {
			c.Check(keys, qt.HasLen, received)
		}
		c.Check(r.Done > 0 && refused > 0, qt.IsTrue)
	}
}
