package backend

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"runtime"
	"runtime/metrics"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/primroseladder/primroseladder/internal/membudget"
)

// newEndlessPeer starts a backend server that reads the head of a request and answers with start, followed by piece until
// the connection is closed.
func newEndlessPeer(tb testing.TB, start, piece string, pause time.Duration) (address string) {
	address, _ = newCountingEndlessPeer(tb, start, piece, pause)
	return address
}

// newCountingEndlessPeer is newEndlessPeer with a count of the requests that the backend server has read.
func newCountingEndlessPeer(tb testing.TB, start, piece string, pause time.Duration) (address string, read *atomic.Int32) {
	read = &atomic.Int32{}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	qt.Assert(tb, err, qt.IsNil)
	tb.Cleanup(func() { _ = listener.Close() })
	bytes := []byte(piece)
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go func() {
				defer conn.Close()
				if _, err := conn.Read(make([]byte, 1024)); err != nil {
					return
				}
				read.Add(1)
				_, err := io.WriteString(conn, start)
				for ; err == nil; time.Sleep(pause) {
					_, err = conn.Write(bytes)
				}
			}()
		}
	}()
	return listener.Addr().String(), read
}

// newPatientPool returns a pool for a test in which many connections are opened at once on a busy machine: a request whose connection
// is not made in time has not started, and shows nothing.
func newPatientPool(address string, maxConns int, memory *membudget.Budget) *Pool {
	options := newLenientPool("").options
	options.MaxConns, options.Memory, options.Dialer = maxConns, memory, &net.Dialer{Timeout: endlessTestLimit}
	return NewPoolWithOptions(address, options)
}

// endlessTestLimit is the time limit of the requests of such a test. They are cancelled once all of them have reached the backend
// server.
const endlessTestLimit = 30 * time.Second

// TestEndlessAnswers sends bytes that are no answer without end, fast and one piece at a time. Each attempt ends by the size
// limits or by the deadline, counts as one that may have started, and its connection is closed.
func TestEndlessAnswers(t *testing.T) {
	const chunkedHead = "HTTP/1.1 200 OK\r\n" + ownID + "Transfer-Encoding: chunked\r\n\r\n"
	tests := []struct{ name, start, piece string }{
		{"no status line", "", "x"},
		{"header lines", "HTTP/1.1 200 OK\r\n", "A: b\r\n"},
		{"header value", "HTTP/1.1 200 OK\r\nA: ", "x"},
		{"informational answers", "", "HTTP/1.1 103 Early Hints\r\n\r\n"},
		{"unframed body", "HTTP/1.1 200 OK\r\n" + ownID + "\r\n", "x"},
		{"long body", "HTTP/1.1 200 OK\r\n" + ownID + "Content-Length: 9000000000\r\n\r\n", "x"},
		{"chunks", chunkedHead, "1\r\nx\r\n"},
		{"chunk extension", chunkedHead + "1;", "x"},
		{"trailer", chunkedHead + "0\r\n", "A: b\r\n"},
		{"answers to other requests", "", okAnswer("earlier", "late body")},
	}
	for _, test := range tests {
		for _, isSlow := range []bool{false, true} {
			name, piece, pause := test.name, strings.Repeat(test.piece, 1000), time.Duration(0)
			if isSlow {
				name, piece, pause = name+", slow", test.piece, 5*time.Millisecond
			}
			t.Run(name, func(t *testing.T) {
				t.Parallel()
				c := qt.New(t)
				pool := newLenientPool(newEndlessPeer(t, test.start, piece, pause))
				ctx, cancel := context.WithTimeout(context.Background(), 500*time.Millisecond)
				defer cancel()
				r := newRequest("own", http.MethodPost, "in")
				r.MaxAnswerBytes = 1 << 20
				began := time.Now()
				_, err := pool.Do(ctx, r)
				c.Assert(err, qt.IsNotNil)
				c.Check(MayHaveStarted(err), qt.IsTrue)
				c.Check(time.Since(began) < 2*time.Second, qt.IsTrue)
				c.Check(pool.OpenConns(), qt.Equals, 0)
			})
		}
	}
}

// TestEndlessBodiesShareTheMemory lets many backend servers send bodies without end at the same time. It guards against the
// process using the maximum size of an answer for each of them, which exceeds the memory of a small VM.
func TestEndlessBodiesShareTheMemory(t *testing.T) {
	const (
		requests    = 100
		answerLimit = 16 << 20
		memory      = 16 << 20
		// maxHeapGrowth leaves room for joining the parts of an answer, and for the first part and the buffers of each.
		maxHeapGrowth = 2*memory + requests*(128<<10)
	)
	c := qt.New(t)
	start := "HTTP/1.1 200 OK\r\n" + ownID + "\r\n"
	address, read := newCountingEndlessPeer(t, start, strings.Repeat("x", 64<<10), 0)
	budget := membudget.New(memory)
	pool := newPatientPool(address, requests, budget)
	ctx, cancel := context.WithTimeout(context.Background(), endlessTestLimit)
	defer cancel()
	before, most := heapBytes(), uint64(0)
	var wait sync.WaitGroup
	noMemory := make(chan error, requests)
	for range requests {
		wait.Go(func() {
			r := newRequest("own", http.MethodPost, "in")
			r.MaxAnswerBytes = answerLimit
			_, err := pool.Do(ctx, r)
			noMemory <- err
		})
	}
	for n := 0; n < 10 || read.Load() < requests; n++ {
		time.Sleep(50 * time.Millisecond)
		most = max(most, heapBytes())
	}
	cancel()
	wait.Wait()
	close(noMemory)
	turnedAway := 0
	for err := range noMemory {
		c.Check(MayHaveStarted(err), qt.IsTrue, qt.Commentf("%v", err))
		if errors.Is(err, membudget.ErrExhausted) {
			turnedAway++
		}
	}
	t.Logf("heap grew by %d MB, %d of %d answers exceeded the memory", (most-min(before, most))>>20, turnedAway, requests)
	c.Check(turnedAway > 0, qt.IsTrue)
	c.Check(most-min(before, most) < maxHeapGrowth, qt.IsTrue)
	c.Check(budget.Used(), qt.Equals, int64(0))
}

// TestEndlessHeadsShareTheMemory lets many backend servers send a head without end at the same time, most of what a head may have at
// once and then byte by byte. It guards against the heads of all connections together exhausting the memory of a small VM, which ends
// the requests of all its callers (LOST).
func TestEndlessHeadsShareTheMemory(t *testing.T) {
	const (
		requests = 400
		memory   = 4 << 20
		// freeBytes is what a connection may use besides: its two buffers, the part of a head that does not count, net/textproto's
		// table of up to 1,000 header values, and the sockets of both sides.
		freeBytes = 2*bufferBytes + headerMemoryFactor*bufferBytes + 1000*16 + 4<<10
	)
	const sentAtOnce = 60 << 10
	tests := []struct{ name, start, piece string }{
		{"header value", "HTTP/1.1 200 OK\r\nA: " + strings.Repeat("x", sentAtOnce), "x"},
		{"header lines", "HTTP/1.1 200 OK\r\n" + strings.Repeat("Some-Header: some value\r\n", sentAtOnce/25), "A: b\r\n"},
		{"head of an informational answer", "HTTP/1.1 103 Early Hints\r\n" + strings.Repeat("Some-Header: some value\r\n", sentAtOnce/25), "A: b\r\n"},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			address, read := newCountingEndlessPeer(t, test.start, test.piece, 100*time.Millisecond)
			budget := membudget.New(memory)
			pool := newPatientPool(address, requests, budget)
			ctx, cancel := context.WithTimeout(context.Background(), endlessTestLimit)
			defer cancel()
			before, most := heapBytes(), uint64(0)
			var wait sync.WaitGroup
			var turnedAway atomic.Int32
			for range requests {
				wait.Go(func() {
					_, err := pool.Do(ctx, newRequest("own", http.MethodPost, "in"))
					c.Check(MayHaveStarted(err), qt.IsTrue, qt.Commentf("%v", err))
					if errors.Is(err, membudget.ErrExhausted) {
						turnedAway.Add(1)
					}
				})
			}
			for n := 0; n < 15 || read.Load() < requests; n++ {
				time.Sleep(100 * time.Millisecond)
				most = max(most, heapBytes())
			}
			cancel()
			wait.Wait()
			grown := int64(most - min(before, most))
			t.Logf("heap grew by %d KiB, %d of %d answers exceeded the memory", grown>>10, turnedAway.Load(), requests)
			c.Check(turnedAway.Load() > 0, qt.IsTrue)
			c.Check(grown < memory+requests*freeBytes, qt.IsTrue)
			c.Check(budget.Used(), qt.Equals, int64(0))
		})
	}
}

// TestLargeBodyIsNotCopied guards against a large body taking its memory twice, once in the parts in which it is read, which are
// limited over all answers, and once joined.
func TestLargeBodyIsNotCopied(t *testing.T) {
	c := qt.New(t)
	const size = 3 << 20
	pool := newLenientPool(newEndlessPeer(t, "HTTP/1.1 200 OK\r\n"+ownID+"Content-Length: "+strconv.Itoa(size)+"\r\n\r\n", strings.Repeat("x", 1<<20), 0))
	r := newRequest("own", http.MethodPost, "in")
	r.MaxAnswerBytes = size
	answer, err := pool.Do(t.Context(), r)
	c.Assert(err, qt.IsNil)
	c.Check(answer.Body.Len(), qt.Equals, size)
	c.Check(len(answer.Body.Bytes()), qt.Equals, size)
	for _, part := range answer.Body {
		c.Check(cap(part) <= bodyChunkBytes, qt.IsTrue)
	}
}

// heapBytes returns the size of the objects that a garbage collection finds in use. Garbage that arises meanwhile does not
// count.
func heapBytes() uint64 {
	runtime.GC()
	live := []metrics.Sample{{Name: "/gc/heap/live:bytes"}}
	metrics.Read(live)
	return live[0].Value.Uint64()
}
