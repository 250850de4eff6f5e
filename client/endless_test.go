package client

import (
	"context"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/primroseladder/primroseladder/internal/header"
	"github.com/primroseladder/primroseladder/internal/outcome"
)

// TestEndlessAnswerIsUnknown guards against a caller that keeps all bytes of an answer without end until it runs out of memory. The
// request may have run.
func TestEndlessAnswerIsUnknown(t *testing.T) {
	c := qt.New(t)
	var sent atomic.Int64
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/v1/addresses" {
			_ = json.NewEncoder(w).Encode(map[string]any{"addresses": []string{r.Host}, "keep_ms": 1000})
			return
		}
		w.Header().Set(header.Outcome, string(outcome.Done))
		for piece := []byte(strings.Repeat("x", 64<<10)); ; sent.Add(int64(len(piece))) {
			if _, err := w.Write(piece); err != nil {
				return
			}
		}
	}))
	c.Cleanup(server.Close)
	const limit = 1 << 20
	client := New(Settings{Keepers: []string{server.URL}, MaxAnswerBytes: limit, MaxSends: 1})
	ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
	defer cancel()
	result, err := client.Do(ctx, Request{Service: "s", Method: http.MethodPost, Target: "/s", Key: "key-1", Body: []byte("b")})
	c.Assert(err, qt.IsNil)
	c.Check(result.Outcome, qt.Equals, string(outcome.Unknown))
	c.Check(sent.Load() < 20*limit, qt.IsTrue, qt.Commentf("%d bytes sent", sent.Load()))
}
