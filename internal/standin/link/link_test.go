package link

import (
	"io"
	"net"
	"strings"
	"syscall"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/primroseladder/primroseladder/internal/listen/listentest"
)

// timeout bounds the wait for an expected event.
const timeout = 3 * time.Second

// startEchoServer returns the address of a server that sends back what it receives.
func startEchoServer(c *qt.C) string { return startEchoServerAt(c, "127.0.0.1:0").Addr().String() }

// startEchoServerAt starts a server like startEchoServer at an address and returns its listener.
func startEchoServerAt(c *qt.C, address string) net.Listener {
	listener, err := net.Listen("tcp", address)
	c.Assert(err, qt.IsNil)
	c.Cleanup(func() { _ = listener.Close() })
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go func() {
				defer conn.Close()
				_, _ = io.Copy(conn, conn)
			}()
		}
	}()
	return listener
}

func newRelay(c *qt.C) (relay *Relay, forward, back *Direction) {
	forward, back = NewDirection("a", "b"), NewDirection("b", "a")
	relay, err := NewRelay(startEchoServer(c), forward, back)
	c.Assert(err, qt.IsNil)
	c.Cleanup(relay.Close)
	return relay, forward, back
}

func dial(c *qt.C, relay *Relay) net.Conn {
	conn, err := net.DialTimeout("tcp", relay.Address(), timeout)
	c.Assert(err, qt.IsNil)
	c.Cleanup(func() { _ = conn.Close() })
	return conn
}

func exchange(c *qt.C, conn net.Conn, text string) {
	_, err := io.WriteString(conn, text)
	c.Assert(err, qt.IsNil)
	c.Assert(receive(conn, len(text), timeout), qt.Equals, text)
}

// receive reads n bytes, or what arrives within the given time.
func receive(conn net.Conn, n int, within time.Duration) string {
	_ = conn.SetReadDeadline(time.Now().Add(within))
	buffer := make([]byte, n)
	got, _ := io.ReadFull(conn, buffer)
	return string(buffer[:got])
}

func TestRelayForwardsAndCountsBytes(t *testing.T) {
	c := qt.New(t)
	relay, forward, back := newRelay(c)
	conn := dial(c, relay)
	exchange(c, conn, "hello")
	c.Assert(conn.(*net.TCPConn).CloseWrite(), qt.IsNil)
	_, err := io.ReadAll(conn)
	c.Assert(err, qt.IsNil)
	c.Assert(forward.Bytes(), qt.Equals, int64(5))
	c.Assert(back.Bytes(), qt.Equals, int64(5))
}

func TestCutBlocksDirectionAndNewConnections(t *testing.T) {
	for _, isForward := range []bool{true, false} {
		c := qt.New(t)
		relay, forward, back := newRelay(c)
		conn := dial(c, relay)
		exchange(c, conn, "before")
		cut := back
		if isForward {
			cut = forward
		}
		cut.SetCut(true)
		_, err := io.WriteString(conn, "during")
		c.Assert(err, qt.IsNil)
		c.Assert(receive(conn, 1, 200*time.Millisecond), qt.Equals, "")
		_, err = net.DialTimeout("tcp", relay.Address(), 200*time.Millisecond)
		c.Assert(err, qt.ErrorMatches, ".*i/o timeout")
		if !isForward {
			c.Assert(forward.Bytes(), qt.Equals, int64(len("beforeduring")))
		}
		cut.SetCut(false)
		c.Assert(receive(conn, len("during"), timeout), qt.Equals, "during")
		exchange(c, dial(c, relay), "after")
	}
}

func TestDelayAndRateLimit(t *testing.T) {
	c := qt.New(t)
	relay, forward, back := newRelay(c)
	conn := dial(c, relay)
	forward.SetDelay(60 * time.Millisecond)
	begin := time.Now()
	exchange(c, conn, "x")
	c.Assert(time.Since(begin) >= 60*time.Millisecond, qt.IsTrue)
	forward.SetDelay(0)
	back.SetRateLimiter(NewRateLimiter(10_000))
	begin = time.Now()
	exchange(c, conn, string(make([]byte, 1000)))
	c.Assert(time.Since(begin) >= 90*time.Millisecond, qt.IsTrue)
}

func TestReset(t *testing.T) {
	c := qt.New(t)
	relay, _, _ := newRelay(c)
	conn := dial(c, relay)
	exchange(c, conn, "before")
	relay.Reset()
	_ = conn.SetReadDeadline(time.Now().Add(timeout))
	_, err := conn.Read(make([]byte, 1))
	c.Check(err, qt.ErrorIs, syscall.ECONNRESET)
	exchange(c, dial(c, relay), "after")
}

// TestRelayRefusesWhileNothingListens guards against relays that accept connections to a process that has ended: callers would
// count their requests as sent, although a machine would have refused the connections.
func TestRelayRefusesWhileNothingListens(t *testing.T) {
	c := qt.New(t)
	target := startEchoServerAt(c, listentest.FreeAddress(c))
	forward, back := NewDirection("a", "b"), NewDirection("b", "a")
	relay, err := NewRelay(target.Addr().String(), forward, back)
	c.Assert(err, qt.IsNil)
	c.Cleanup(relay.Close)
	for range 3 {
		exchange(c, dial(c, relay), "before")
		c.Assert(target.Close(), qt.IsNil)
		// The relay learns from the first connection that nothing listens, and resets it.
		if conn, err := net.DialTimeout("tcp", relay.Address(), timeout); err == nil {
			c.Check(receive(conn, 1, timeout), qt.Equals, "")
			_ = conn.Close()
		}
		awaitDialError(c, relay, "connection refused")
		cut(c, relay, forward, true)
		awaitDialError(c, relay, "i/o timeout")
		cut(c, relay, forward, false)
		awaitDialError(c, relay, "connection refused")
		target = startEchoServerAt(c, target.Addr().String())
		awaitDialError(c, relay, "")
	}
	exchange(c, dial(c, relay), "after")
}

// awaitDialError waits until connections to a relay fail with an error that ends in a text, or succeed if it is "".
func awaitDialError(c *qt.C, relay *Relay, text string) {
	c.Helper()
	var err error
	for end := time.Now().Add(timeout); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
		var conn net.Conn
		conn, err = net.DialTimeout("tcp", relay.Address(), 50*time.Millisecond)
		if err == nil {
			_ = conn.Close()
		}
		if err == nil && text == "" || err != nil && text != "" && strings.HasSuffix(err.Error(), text) {
			return
		}
	}
	c.Fatalf("connections still end with %v, expected %q", err, text)
}

// cut cuts or heals a direction and waits until the relay has applied it.
func cut(c *qt.C, relay *Relay, d *Direction, isCut bool) {
	d.SetCut(isCut)
	for end := time.Now().Add(timeout); !relay.HasAppliedCuts(); time.Sleep(time.Millisecond) {
		c.Assert(time.Now().Before(end), qt.IsTrue)
	}
}

// TestCutBlocksConnectionsDuringAccept cuts a direction right after the relay accepted a connection, when its accept loop is
// about to accept again. A cut relay fills its own accept queue, so that new connections hang. If the loop accepted the
// connections that fill the queue, the queue would have space, and new connections would not hang.
func TestCutBlocksConnectionsDuringAccept(t *testing.T) {
	const (
		relays = 8
		rounds = 25
	)
	for range relays {
		t.Run("", func(t *testing.T) {
			t.Parallel()
			c := qt.New(t)
			for range rounds {
				relay, forward, _ := newRelay(c)
				dial(c, relay)
				forward.SetCut(true)
				for !relay.HasAppliedCuts() {
					time.Sleep(time.Millisecond)
				}
				_, err := net.DialTimeout("tcp", relay.Address(), 50*time.Millisecond)
				c.Assert(err, qt.ErrorMatches, ".*i/o timeout")
				relay.Close()
			}
		})
	}
}
