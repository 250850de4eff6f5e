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
	// fillerTimeout is how long a connection to a full queue is tried.
	fillerTimeout = 30 * time.Millisecond
	// maxFillers bounds the connections that fill the queue of a closed gate.
	maxFillers = 8
	// openBacklog is the accept queue of an open gate.
	openBacklog = 512
)

// gate accepts connections while it is open. While it is closed new connections hang: its accept queue is full, so
// that the kernel drops their first packets.
type gate struct {
	listener *net.TCPListener
	// acceptMu is held during a call of accept, so that a gate that closes can wait for the end of one.
	acceptMu sync.Mutex

	mu       sync.Mutex
	isClosed bool
	opened   chan struct{}
	fillers  map[string]net.Conn
}

func newGate(listener *net.TCPListener) *gate {
	opened := make(chan struct{})
	close(opened)
	return &gate{listener: listener, opened: opened, fillers: map[string]net.Conn{}}
}

func (g *gate) close() {
	_ = g.listener.Close()
	g.mu.Lock()
	defer g.mu.Unlock()
	g.closeFillers()
}

func (g *gate) closeFillers() {
	for _, filler := range g.fillers {
		_ = filler.Close()
	}
}

// setClosed opens or closes the gate.
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
	_ = g.listener.SetDeadline(time.Unix(1, 0))
	g.acceptMu.Lock()
	defer g.acceptMu.Unlock()
	g.setBacklog(0)
	g.fillBacklog()
}

// fillBacklog connects until the accept queue is full.
func (g *gate) fillBacklog() {
	for range maxFillers {
		conn, err := net.DialTimeout("tcp", g.listener.Addr().String(), fillerTimeout)
		if err != nil {
			return
		}
		g.fillers[conn.LocalAddr().String()] = conn
	}
}

func (g *gate) setBacklog(n int) {
	raw, err := g.listener.SyscallConn()
	if err != nil {
		return
	}
	_ = raw.Control(func(fd uintptr) { _ = syscall.Listen(int(fd), n) })
}

// accept returns the next connection that is none of the gate's own.
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
