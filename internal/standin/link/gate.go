package link

import (
	"context"
	"errors"
	"net"
	"os"
	"sync"
	"syscall"
	"time"
)

const (
	// fillerTimeout bounds each connection attempt of fillBacklog. An attempt that takes longer shows that the accept queue
	// is full.
	fillerTimeout = 30 * time.Millisecond
	// maxFillers bounds the number of connections that fill the accept queue of a closed gate.
	maxFillers = 8
	// openBacklog is the length of the accept queue of an open gate.
	openBacklog = 512
)

// gate is a listener that can be closed and reopened. While it is closed, new connections hang as on a network that drops
// packets: the gate fills its own accept queue with connections, so that the kernel drops the SYN packets of others.
type gate struct {
	listener *net.TCPListener
	// acceptMu is held during calls of AcceptTCP. setClosed locks it to wait for the end of a call in progress, which would
	// otherwise accept the connections that fill the queue.
	acceptMu sync.Mutex

	mu       sync.Mutex
	isClosed bool
	// opened is closed while the gate is open.
	opened chan struct{}
	// fillers holds the connections that fill the accept queue, by their local address.
	fillers map[string]net.Conn
}

// newGate returns an open gate.
func newGate(listener *net.TCPListener) *gate {
	opened := make(chan struct{})
	close(opened)
	return &gate{listener: listener, opened: opened, fillers: map[string]net.Conn{}}
}

// close closes the listener for good.
func (g *gate) close() {
	_ = g.listener.Close()
	g.mu.Lock()
	defer g.mu.Unlock()
	g.closeFillers()
}

// closeFillers closes the connections that fill the accept queue. Their accepted ends are discarded by accept. The caller
// holds the lock.
func (g *gate) closeFillers() {
	for _, filler := range g.fillers {
		_ = filler.Close()
	}
}

// setClosed closes or opens the gate. Once it returns, new connections hang or are accepted accordingly.
func (g *gate) setClosed(closed bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if closed == g.isClosed {
		return
	}
	g.isClosed = closed
	if !closed {
		g.setBacklog(openBacklog)
		_ = g.listener.SetDeadline(time.Time{})
		g.closeFillers()
		close(g.opened)
		return
	}
	g.opened = make(chan struct{})
	// A deadline in the past ends an AcceptTCP in progress.
	_ = g.listener.SetDeadline(time.Unix(1, 0))
	g.acceptMu.Lock()
	defer g.acceptMu.Unlock()
	g.setBacklog(0)
	g.fillBacklog()
}

// fillBacklog opens connections to the gate itself until the accept queue is full. The caller holds both locks.
func (g *gate) fillBacklog() {
	for range maxFillers {
		conn, err := net.DialTimeout("tcp", g.listener.Addr().String(), fillerTimeout)
		if err != nil {
			return
		}
		g.fillers[conn.LocalAddr().String()] = conn
	}
}

// setBacklog sets the length of the accept queue by a further listen call on the same socket.
func (g *gate) setBacklog(n int) {
	raw, err := g.listener.SyscallConn()
	if err != nil {
		return
	}
	_ = raw.Control(func(fd uintptr) { _ = syscall.Listen(int(fd), n) })
}

// accept waits until the gate is open and returns the next connection that is not a filler.
func (g *gate) accept(ctx context.Context) (*net.TCPConn, error) {
	for {
		if err := g.awaitOpen(ctx); err != nil {
			return nil, err
		}
		g.acceptMu.Lock()
		conn, err := g.listener.AcceptTCP()
		g.acceptMu.Unlock()
		if errors.Is(err, os.ErrDeadlineExceeded) {
			continue
		}
		if err != nil {
			return nil, err
		}
		if !g.isFiller(conn) {
			return conn, nil
		}
		_ = conn.Close()
	}
}

func (g *gate) awaitOpen(ctx context.Context) error {
	g.mu.Lock()
	opened := g.opened
	g.mu.Unlock()
	select {
	case <-opened:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// isFiller reports whether the gate opened the connection itself, and forgets it.
func (g *gate) isFiller(conn *net.TCPConn) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	address := conn.RemoteAddr().String()
	_, found := g.fillers[address]
	delete(g.fillers, address)
	return found
}

func (g *gate) closed() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.isClosed
}
