package vmpeer

import (
	"bytes"
	"compress/gzip"
	"io"
	"net/http"
	"net/http/httptest"
	"runtime"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/primroseladder/primroseladder/internal/kv"
	"github.com/primroseladder/primroseladder/internal/mirror"
	"github.com/primroseladder/primroseladder/internal/periodic"
)

// TestFeedRoundTrip checks the transfer of the full copy, which is compressed, and of later changes, which are not.
func TestFeedRoundTrip(t *testing.T) {
	c := qt.New(t)
	copied := mirror.NewCopy(func([]kv.Item) {}, nil)
	server := httptest.NewServer(FeedHandler(mirror.NewFeed(copied)))
	defer server.Close()
	copied.AdoptFull([]kv.Item{{Key: "a", Value: bytes.Repeat([]byte("x"), 10_000), Revision: 3}}, kv.Position{Revision: 3}, time.Now())

	f := NewFetcher()
	address := server.Listener.Addr().String()
	full, err := f.Fetch(t.Context(), address, kv.Position{Revision: 0})
	c.Assert(err, qt.IsNil)
	c.Check(full, qt.DeepEquals, copied.Since(kv.Position{Revision: 0}, time.Now()))

	copied.Adopt(kv.Changes{Items: []kv.Item{{Key: "b", Value: []byte("y"), Revision: 4}}, Revision: 4}, time.Now())
	later, err := f.Fetch(t.Context(), address, kv.Position{Revision: 3})
	c.Assert(err, qt.IsNil)
	c.Check(later.Entries, qt.HasLen, 1)
	c.Check(later, qt.DeepEquals, copied.Since(kv.Position{Revision: 3}, time.Now()))
}

// TestLargeChangesAreCompressedAndServedToFew checks that large changes, such as a configuration with many routes, are
// compressed, and that a feed which is serving its maximum number of them rejects further requests for them at once.
func TestLargeChangesAreCompressedAndServedToFew(t *testing.T) {
	c := qt.New(t)
	copied := mirror.NewCopy(func([]kv.Item) {}, nil)
	feed := mirror.NewFeed(copied)
	server := httptest.NewServer(FeedHandler(feed))
	defer server.Close()
	large := bytes.Repeat([]byte("route "), 20_000)
	copied.Adopt(kv.Changes{Items: []kv.Item{{Key: "config", Value: large, Revision: 4}}, Revision: 4}, time.Now())

	request, err := http.NewRequest(http.MethodGet, server.URL+changesPath+"?after=3", nil)
	c.Assert(err, qt.IsNil)
	request.Header.Set("Accept-Encoding", "gzip")
	response, err := http.DefaultTransport.RoundTrip(request)
	c.Assert(err, qt.IsNil)
	defer response.Body.Close()
	sent, err := io.ReadAll(response.Body)
	c.Assert(err, qt.IsNil)
	c.Check(len(sent) < len(large)/10, qt.IsTrue, qt.Commentf("%d bytes", len(sent)))

	f := NewFetcher()
	address := server.Listener.Addr().String()
	var changes mirror.Changes
	err = periodic.Poll(time.Second, func() (err error) {
		changes, err = f.Fetch(t.Context(), address, kv.Position{Revision: 3})
		return err
	})
	c.Assert(err, qt.IsNil)
	c.Check(changes, qt.DeepEquals, copied.Since(kv.Position{Revision: 3}, time.Now()))
	time.Sleep(100 * time.Millisecond)
	err = feed.Serve(kv.Position{Revision: 3}, func(mirror.Changes) error {
		return feed.Serve(kv.Position{Revision: 3}, func(mirror.Changes) error {
			_, err := f.Fetch(t.Context(), address, kv.Position{Revision: 3})
			c.Check(err, qt.ErrorIs, mirror.ErrBusy)
			return nil
		})
	})
	c.Check(err, qt.IsNil)
}

// TestFullCopyIsServedToFew checks that a feed which is serving its maximum number of full copies rejects further requests
// for the full copy at once, still serves later changes, and serves full copies again afterwards.
func TestFullCopyIsServedToFew(t *testing.T) {
	c := qt.New(t)
	feed := mirror.NewFeed(mirror.NewCopy(func([]kv.Item) {}, nil))
	server := httptest.NewServer(FeedHandler(feed))
	defer server.Close()
	f := NewFetcher()
	address := server.Listener.Addr().String()

	err := feed.Serve(kv.Position{Revision: 0}, func(mirror.Changes) error {
		return feed.Serve(kv.Position{Revision: 0}, func(mirror.Changes) error {
			_, err := f.Fetch(t.Context(), address, kv.Position{Revision: 0})
			c.Check(err, qt.ErrorIs, mirror.ErrBusy)
			_, err = f.Fetch(t.Context(), address, kv.Position{Revision: 1})
			c.Check(err, qt.IsNil)
			return nil
		})
	})
	c.Assert(err, qt.IsNil)
	err = periodic.Poll(time.Second, func() error {
		_, err := f.Fetch(t.Context(), address, kv.Position{Revision: 0})
		return err
	})
	c.Check(err, qt.IsNil)
}

// TestEndlessChangesAreNotKept guards against a VM that keeps what another VM sends without end, compressed or not, until it runs out
// of memory.
func TestEndlessChangesAreNotKept(t *testing.T) {
	start, piece := compress(t, []byte(`{"Entries":[{"Key":"`)), compress(t, bytes.Repeat([]byte("x"), 1<<20))
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Encoding", "gzip")
		_, err := w.Write(start)
		_ = http.NewResponseController(w).Flush()
		for err == nil {
			_, err = w.Write(piece)
		}
	}))
	defer server.Close()
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	_, err := NewFetcher().Fetch(t.Context(), server.Listener.Addr().String(), kv.Position{})
	runtime.ReadMemStats(&after)
	// On a slow machine the time limit of the fetch comes first.
	qt.Check(t, err, qt.ErrorMatches, `.*(the changes exceed 67108864 bytes|deadline exceeded).*`)
	// A buffer that grows by doubling is allocated four times its size in all, and what decompresses takes a part of the rest.
	qt.Check(t, after.TotalAlloc-before.TotalAlloc < 5*maxCopyBytes, qt.IsTrue, qt.Commentf("%d MB", (after.TotalAlloc-before.TotalAlloc)>>20))
}

// compress returns data as one gzip member. Members may follow each other.
func compress(t *testing.T, data []byte) []byte {
	var out bytes.Buffer
	w := gzip.NewWriter(&out)
	_, err := w.Write(data)
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, w.Close(), qt.IsNil)
	return out.Bytes()
}
