package run_test

import (
	"bytes"
	"context"
	"net/http"
	"net/http/httptest"
	"runtime"
	"runtime/metrics"
	"slices"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/primroseladder/primroseladder/internal/duration"
	"github.com/primroseladder/primroseladder/internal/outcome"
)

// TestLargeAnswersShareTheMemory guards against an entry that keeps the unfinished answers of many faulty backend servers, each within
// the limit of its service, until it runs out of memory. The requests may have run.
func TestLargeAnswersShareTheMemory(t *testing.T) {
	const requests, sent = 96, 4<<20 - 64<<10
	body := bytes.Repeat([]byte("x"), sent)
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_, _ = w.Write(body)
		_ = http.NewResponseController(w).Flush()
		<-r.Context().Done()
	}))
	defer server.Close()
	e := testEntry()
	e.Limits.RequestTimeout = duration.Duration(3 * time.Second)
	runner := newRunner(e, slices.Repeat([]string{address(server)}, requests/e.Limits.SlotsPerBackend)...)
	before, most := liveBytes(), uint64(0)
	var wait sync.WaitGroup
	for range requests {
		wait.Go(func() {
			r := newRequest(e, false, "body")
			r.Deadline = time.Now().Add(3 * time.Second)
			qt.Check(t, runner.Run(context.Background(), r).Outcome, qt.Not(qt.Equals), outcome.Done)
		})
	}
	for range 20 {
		time.Sleep(100 * time.Millisecond)
		most = max(most, liveBytes())
	}
	wait.Wait()
	grown := (most - min(before, most)) >> 20
	t.Logf("the heap grew by %d MiB", grown)
	// 128 MiB for answers, and the buffers of both sides.
	qt.Check(t, grown < 192, qt.IsTrue, qt.Commentf("the heap grew by %d MiB", grown))
}

// liveBytes returns the size of the objects that a garbage collection finds in use.
func liveBytes() uint64 {
	runtime.GC()
	live := []metrics.Sample{{Name: "/gc/heap/live:bytes"}}
	metrics.Read(live)
	return live[0].Value.Uint64()
}
