package backendserver

import (
	"net"
	"sync"
	"time"
)

// ConnectionCounter bounds and prices the connections of a backend server. What is above the bound is counted, not refused.
type ConnectionCounter struct {
	// Limit is how many connections the backend server bears.
	Limit int
	// Cost is the time that a new connection takes before its first request is read.
	Cost time.Duration

	mu        sync.Mutex
	open      int
	peak      int
	overLimit int
}

// Listen returns a listener whose connections are counted.
func (c *ConnectionCounter) Listen(l net.Listener) net.Listener { return &countedListener{l, c} }

// Counts returns the highest number of connections at a time, and how many were opened above the bound.
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

type countedConn struct {
	net.Conn
	connections *ConnectionCounter
	costOnce    sync.Once
	closeOnce   sync.Once
}

// Read takes the cost of the connection once.
func (c *countedConn) Read(p []byte) (int, error) {
	c.costOnce.Do(func() { time.Sleep(c.connections.Cost) })
	return c.Conn.Read(p)
}

// Close implements net.Conn.
func (c *countedConn) Close() error {
	c.closeOnce.Do(c.connections.closed)
	return c.Conn.Close()
}
