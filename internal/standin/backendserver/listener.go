package backendserver

import (
	"net"
	"sync"
	"time"
)

// ConnectionCounter counts and delays the connections of a backend server. It counts connections above the limit but does
// not refuse them. It is safe for concurrent use.
type ConnectionCounter struct {
	// Limit is the number of concurrent connections that the backend server supports.
	Limit int
	// Cost is the delay of a new connection before its first request is read.
	Cost time.Duration

	mu        sync.Mutex
	open      int
	peak      int
	overLimit int
}

// Listen wraps a listener so that its connections are counted and delayed.
func (c *ConnectionCounter) Listen(l net.Listener) net.Listener { return &countedListener{l, c} }

// Counts returns the highest number of concurrent connections, and how many were opened while the limit was reached.
func (c *ConnectionCounter) Counts() (peak, overLimit int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.peak, c.overLimit
}

func (c *ConnectionCounter) opened() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.open++
	c.peak = max(c.peak, c.open)
	if c.open > c.Limit {
		c.overLimit++
	}
}

func (c *ConnectionCounter) closed() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.open--
}

// countedListener counts the connections that it accepts.
type countedListener struct {
	net.Listener
	connections *ConnectionCounter
}

// Accept implements net.Listener.
func (l *countedListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	l.connections.opened()
	return &countedConn{Conn: conn, connections: l.connections}, nil
}

// countedConn is counted as open until its first Close.
type countedConn struct {
	net.Conn
	connections *ConnectionCounter
	costOnce    sync.Once
	closeOnce   sync.Once
}

// Read implements net.Conn. The first call sleeps for the cost of the connection.
func (c *countedConn) Read(p []byte) (int, error) {
	c.costOnce.Do(func() { time.Sleep(c.connections.Cost) })
	return c.Conn.Read(p)
}

// Close implements net.Conn.
func (c *countedConn) Close() error {
	c.closeOnce.Do(c.connections.closed)
	return c.Conn.Close()
}
