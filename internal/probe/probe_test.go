package probe

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
)

// fakeBoard counts the reports of a prober.
type fakeBoard struct {
	quiet time.Duration

	mu                            sync.Mutex
	unreachable, failed, draining int
}

func (b *fakeBoard) TimeSinceWork(string) time.Duration { return b.quiet }
func (b *fakeBoard) RecordVerification(_ string, reachable bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if !reachable {
		b.unreachable++
	}
}

func (b *fakeBoard) RecordProbeFailure(string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.failed++
}

func (b *fakeBoard) SetDraining(string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.draining++
}

func TestProbeReportsResultToBoard(t *testing.T) {
	c := qt.New(t)
	status := http.StatusOK
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Backend-Draining", "true")
		w.WriteHeader(status)
	}))
	address := strings.TrimPrefix(server.URL, "http://")
	board := &fakeBoard{}
	p := New(nil)
	target := Target{Backend: "deposits-0", Address: address, Path: "/health", Board: board}
	p.probe(context.Background(), target)
	c.Assert([]int{board.unreachable, board.failed, board.draining}, qt.DeepEquals, []int{0, 0, 1})
	status = http.StatusInternalServerError
	p.probe(context.Background(), target)
	c.Assert([]int{board.unreachable, board.failed}, qt.DeepEquals, []int{0, 1})
	server.Close()
	p.probe(context.Background(), target)
	c.Assert(board.unreachable, qt.Equals, 1)
}

// TestProbeWithoutAValidStatusFails checks that a status which HTTP does not allow is no sign of health.
func TestProbeWithoutAValidStatusFails(t *testing.T) {
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		if conn, _, err := w.(http.Hijacker).Hijack(); err == nil {
			_, _ = io.WriteString(conn, "HTTP/1.1 000 What\r\nContent-Length: 0\r\n\r\n")
			_ = conn.Close()
		}
	}))
	defer server.Close()
	board := &fakeBoard{}
	New(nil).probe(context.Background(), Target{
		Backend: "deposits-0", Address: strings.TrimPrefix(server.URL, "http://"), Path: "/health", Board: board,
	})
	qt.Check(t, board.failed, qt.Equals, 1)
}

// TestProbesAreRare checks over two minutes that a backend server without requests is probed at most every five seconds, and
// that one with recent requests is not probed.
func TestProbesAreRare(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		quiet, busy := &fakeBoard{quiet: time.Hour}, &fakeBoard{quiet: time.Second}
		p := New(func() []Target {
			return []Target{
				{Backend: "quiet", Address: "invalid", Board: quiet}, {Backend: "busy", Address: "invalid", Board: busy},
			}
		})
		ctx, cancel := context.WithTimeout(t.Context(), 2*time.Minute)
		defer cancel()
		p.Run(ctx)
		synctest.Wait()
		c.Assert(quiet.unreachable >= 20 && quiet.unreachable <= 24, qt.IsTrue, qt.Commentf("%d probes", quiet.unreachable))
		c.Assert(busy.unreachable, qt.Equals, 0)
	})
}
