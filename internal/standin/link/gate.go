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
// packets: the gate fills its own accept queue with connections, so that the kernel drops the SYN packets of others. While
// it refuses and is not closed, new connections are refused, as by a machine on which nothing listens.
type gate struct {
	listener *net.TCPListener
	// acceptMu is held during calls of AcceptTCP. apply locks it to wait for the end of a call in progress, which would
	// otherwise accept the connections that fill the queue.
	acceptMu sync.Mutex

	mu         sync.Mutex
	isClosed   bool
	isRefusing bool
	// opened is closed while the gate is open.
	opened chan struct{}
	// fillers holds the connections that fill the accept queue, by their local address.
	fillers map[string]net.Conn
}

// newGate returns an open gate on a free port of the loopback interface.
func newGate() (*gate, error) {
	for {
		free, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			return nil, err
		}
		address := free.Addr().String()
		_ = free.Close()
		// A socket keeps its port while it refuses only if the port was chosen by the program.
		listener, err := net.Listen("tcp", address)
		if errors.Is(err, syscall.EADDRINUSE) {
			continue
		}
		if err != nil {
			return nil, err
		}
		opened := make(chan struct{})
		close(opened)
		return &gate{listener: listener.(*net.TCPListener), opened: opened, fillers: map[string]net.Conn{}}, nil
	}
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
	if closed != g.isClosed {
		g.isClosed = closed
		g.apply()
	}
}

// setRefusing sets whether the gate refuses new connections.
func (g *gate) setRefusing(refusing bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if refusing != g.isRefusing {
		g.isRefusing = refusing
		g.apply()
	}
}

// apply brings the listener into the state that isClosed and isRefusing require. The caller holds the lock.
func (g *gate) apply() {
	if !g.isClosed && !g.isRefusing {
		g.setBacklog(openBacklog)
		_ = g.listener.SetDeadline(time.Time{})
		g.closeFillers()
		close(g.opened)
		return
	}
	g.suspend()
	g.acceptMu.Lock()
	defer g.acceptMu.Unlock()
	if g.isClosed {
		g.setBacklog(0)
		g.fillBacklog()
		return
	}
	g.closeFillers()
	clear(g.fillers)
	g.control(func(fd int) error { return syscall.Shutdown(fd, syscall.SHUT_RD) })
}

// suspend ends an AcceptTCP in progress and makes accept wait until the gate is open. The caller holds the lock.
func (g *gate) suspend() {
	select {
	case <-g.opened:
		g.opened = make(chan struct{})
	default:
	}
	// A deadline in the past ends the call.
	_ = g.listener.SetDeadline(time.Unix(1, 0))
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

// setBacklog sets the length of the accept queue by a further listen call on the same socket. A socket that refuses listens
// again.
func (g *gate) setBacklog(n int) {
	g.control(func(fd int) error { return syscall.Listen(fd, n) })
}

// control calls do with the file descriptor of the socket. Errors mean that the listener is closed for good.
func (g *gate) control(do func(fd int) error) {
	raw, err := g.listener.SyscallConn()
	if err != nil {
		return
	}
	_ = raw.Control(func(fd uintptr) { _ = do(int(fd)) })
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
