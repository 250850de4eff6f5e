// Package tcpdial opens TCP connections that detect an unresponsive peer within seconds: unacknowledged data and unanswered
// keep-alive probes end the connection.
package tcpdial

import (
	"fmt"
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// Options set how soon an unresponsive peer is detected.
type Options struct {
	// ConnectTimeout bounds the wait for a new connection.
	ConnectTimeout time.Duration
	// KeepAliveInterval is the idle time before the first keep-alive probe, and the time between two probes.
	KeepAliveInterval time.Duration
	// KeepAliveProbes is the number of unanswered probes that ends a connection.
	KeepAliveProbes int
	// UserTimeout is how long sent data may stay unacknowledged before the connection ends (TCP_USER_TIMEOUT).
	UserTimeout time.Duration
}

// StoreOptions are for connections to the platform's store. A lost connection is detected within 1.5 s. A change of the
// configuration must be in force within 2 s, so there is still time to fetch the change over a new connection.
var StoreOptions = Options{
	ConnectTimeout: 700 * time.Millisecond, KeepAliveInterval: 500 * time.Millisecond, KeepAliveProbes: 2,
	UserTimeout: 1200 * time.Millisecond,
}

// BackendOptions are for connections to backend servers. Connecting takes 3 ms inside a region and 25 ms between regions. If
// it takes longer than ConnectTimeout, the first packet was lost, and it is faster to try another backend server.
var BackendOptions = Options{
	ConnectTimeout: 250 * time.Millisecond, KeepAliveInterval: 2 * time.Second, KeepAliveProbes: 3,
	UserTimeout: 1500 * time.Millisecond,
}

// NewDialer returns a dialer that applies the options to each connection.
func NewDialer(o Options) *net.Dialer {
	return &net.Dialer{
		Timeout: o.ConnectTimeout,
		KeepAliveConfig: net.KeepAliveConfig{
			Enable: true, Idle: o.KeepAliveInterval, Interval: o.KeepAliveInterval, Count: o.KeepAliveProbes,
		},
		Control: func(_, _ string, raw syscall.RawConn) error { return setUserTimeout(raw, o.UserTimeout) },
	}
}

// SetUserTimeout changes Options.UserTimeout of an open connection. The kernel also ends a connection whose peer acknowledges
// everything and keeps its window closed for as long, because it reads slowly.
func SetUserTimeout(c net.Conn, timeout time.Duration) error {
	system, ok := c.(syscall.Conn)
	if !ok {
		return fmt.Errorf("set the user timeout: %T is not a system connection", c)
	}
	raw, err := system.SyscallConn()
	if err != nil {
		return err
	}
	return setUserTimeout(raw, timeout)
}

func setUserTimeout(raw syscall.RawConn, timeout time.Duration) error {
	var failure error
	err := raw.Control(func(fd uintptr) {
		failure = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(timeout.Milliseconds()))
	})
	if err != nil {
		return err
	}
	return failure
}
