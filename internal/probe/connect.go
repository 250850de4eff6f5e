package probe

import (
	"errors"
	"net"
	"syscall"
	"time"
)

// connectTimeout bounds a connection attempt.
const connectTimeout = 250 * time.Millisecond

// ConnectResult tells how a connection attempt ended.
type ConnectResult uint8

// The results of a connection attempt.
const (
	ConnectOpen ConnectResult = iota + 1
	// ConnectRefused means that nothing listens at the address.
	ConnectRefused
	// ConnectInconclusive means that the attempt says nothing, as after a timeout.
	ConnectInconclusive
)

// TryConnect opens a connection to an address and closes it.
func TryConnect(address string) ConnectResult {
	if address == "" {
		return ConnectInconclusive
	}
	conn, err := net.DialTimeout("tcp", address, connectTimeout)
	switch {
	case err == nil:
		_ = conn.Close()
		return ConnectOpen
	case errors.Is(err, syscall.ECONNREFUSED):
		return ConnectRefused
	default:
		return ConnectInconclusive
	}
}
