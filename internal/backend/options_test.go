package backend

import (
	"context"
	"net/http"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/primroseladder/primroseladder/internal/header"
)

// newLenientPool returns a pool with the options that the gateway uses.
func newLenientPool(address string) *Pool {
	o := NewPool(address, 4).options
	o.AllowUnframed, o.SkipMismatched = true, true
	return NewPoolWithOptions(address, o)
}

// TestUnframedAnswers checks that an answer without a declared end is accepted only after a clean close of its connection.
func TestUnframedAnswers(t *testing.T) {
	const unframed = "HTTP/1.1 200 OK\r\n" + ownID + "\r\nbody"
	t.Run("clean close", func(t *testing.T) {
		c := qt.New(t)
		peer := newRawPeer(t, func(*http.Request, string, int) (string, bool) { return unframed, true })
		pool := newLenientPool(peer.address())
		answer, err := pool.Do(context.Background(), newRequest("own", http.MethodPost, "in"))
		c.Assert(err, qt.IsNil)
		c.Check(string(answer.Body.Bytes()), qt.Equals, "body")
		c.Check(pool.OpenConns(), qt.Equals, 0)
	})
	t.Run("reset", func(t *testing.T) {
		c := qt.New(t)
		pool := newLenientPool(newResettingPeer(t, unframed))
		_, err := pool.Do(context.Background(), newRequest("own", http.MethodPost, "in"))
		c.Assert(err, qt.IsNotNil)
		c.Check(MayHaveStarted(err), qt.IsTrue)
	})
	t.Run("no end", func(t *testing.T) {
		c := qt.New(t)
		peer := newRawPeer(t, func(*http.Request, string, int) (string, bool) { return unframed, false })
		ctx, cancel := context.WithTimeout(context.Background(), 200*time.Millisecond)
		defer cancel()
		_, err := newLenientPool(peer.address()).Do(ctx, newRequest("own", http.MethodPost, "in"))
		c.Assert(err, qt.IsNotNil)
		c.Check(MayHaveStarted(err), qt.IsTrue)
	})
}

// TestMismatchedAnswers checks that late answers to an earlier request are skipped, up to a limit, and that a connection
// that carried one is not reused. It guards against bytes of a faulty backend server that belong to no request and are returned to the
// next caller of the connection as its answer (DENIED): without an ID, only the first answer of a connection counts.
func TestMismatchedAnswers(t *testing.T) {
	own := func(r *http.Request) string { return okAnswer(r.Header.Get(header.RequestID), "own body") }
	late := okAnswer("earlier", "late body")
	tests := []struct {
		name string
		// second returns the bytes that the peer sends for the second request on a connection.
		second func(r *http.Request) string
		isOwn  bool
	}{
		{"a late answer before the expected one", func(r *http.Request) string { return late + own(r) }, true},
		{"two of them", func(r *http.Request) string { return late + late + own(r) }, true},
		{"more than may be skipped", func(r *http.Request) string { return late + late + late + own(r) }, false},
		{"a success without a request id", func(*http.Request) string {
			return "HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\nx"
		}, false},
		{"an error without a request id before the expected answer", func(r *http.Request) string {
			return "HTTP/1.1 400 Bad Request\r\nContent-Length: 1\r\n\r\nx" + own(r)
		}, false},
		{"a refusal without a request id", func(*http.Request) string {
			return "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 1\r\n\r\nx"
		}, false},
		{"a late answer without a length", func(r *http.Request) string {
			return "HTTP/1.1 200 OK\r\n" + header.RequestID + ": earlier\r\n\r\n" + own(r)
		}, false},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			peer := newRawPeer(t, func(r *http.Request, _ string, nth int) (string, bool) {
				if nth == 0 {
					return own(r), false
				}
				return test.second(r), false
			})
			pool := newLenientPool(peer.address())
			ctx, cancel := context.WithTimeout(context.Background(), 400*time.Millisecond)
			defer cancel()
			_, err := pool.Do(ctx, newRequest("first", http.MethodPost, ""))
			c.Assert(err, qt.IsNil)
			answer, err := pool.Do(ctx, newRequest("second", http.MethodPost, ""))
			// A connection that carried an answer to another request is not reused.
			c.Check(pool.HasIdle(), qt.IsFalse)
			if !test.isOwn {
				c.Assert(err, qt.IsNotNil)
				c.Check(MayHaveStarted(err), qt.IsTrue)
				return
			}
			c.Assert(err, qt.IsNil)
			c.Check(string(answer.Body.Bytes()), qt.Equals, "own body")
		})
	}
}
