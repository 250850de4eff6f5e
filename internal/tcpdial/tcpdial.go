// Package tcpdial opens TCP connections on which a silent peer shows within seconds: unacknowledged data and unanswered
// keep-alive probes end the connection.
package tcpdial

import (
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// Options say how long a silent peer may stay silent.
type Options struct {
	// ConnectTimeout bounds the wait for a new connection.
	ConnectTimeout time.Duration
	// KeepAliveInterval is the time between two probes of a connection without traffic.
	KeepAliveInterval time.Duration
	// KeepAliveProbes is how many unanswered probes end a connection.
	KeepAliveProbes int
	// UserTimeout is how long sent data may stay unacknowledged.
	UserTimeout time.Duration
}

// StoreOptions is for connections to the platform's store. A cut shows within 1.5 s, inside the 2 s in which a change of the
// configuration must be in force, so that a new connection can still fetch it.
var StoreOptions = Options{
	ConnectTimeout: 700 * time.Millisecond, KeepAliveInterval: 500 * time.Millisecond, KeepAliveProbes: 2, UserTimeout: 1200 * time.Millisecond,
}

// BackendOptions is for connections to backend servers. A connection inside a region takes 3 ms, between regions 25 ms; one
// that takes longer than ConnectTimeout has lost its first packet, and another backend server is quicker.
var BackendOptions = Options{
	ConnectTimeout: 250 * time.Millisecond, KeepAliveInterval: 2 * time.Second, KeepAliveProbes: 3, UserTimeout: 1500 * time.Millisecond,
}

// NewDialer returns a dialer with the options.
func NewDialer(o Options) *net.Dialer {
	return &net.Dialer{
		Timeout:         o.ConnectTimeout,
		KeepAliveConfig: net.KeepAliveConfig{Enable: true, Idle: o.KeepAliveInterval, Interval: o.KeepAliveInterval, Count: o.KeepAliveProbes},
		Control: func(_, _ string, raw syscall.RawConn) error {
			var failure error
			err := raw.Control(func(fd uintptr) {
				failure = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(o.UserTimeout.Milliseconds()))
			})
			if err != nil {
				return err
			}
			return failure
		},
	}
}
