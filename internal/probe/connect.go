package probe

import (
	"errors"
	"net"
	"syscall"
	"time"
)

// connectTimeout is the time limit of a connection attempt by TryConnect.
const connectTimeout = 250 * time.Millisecond

// ConnectResult is the result of a connection attempt.
type ConnectResult uint8

// The results of a connection attempt.
const (
	// ConnectOpen means that the connection was established.
	ConnectOpen ConnectResult = iota + 1
	// ConnectRefused means that no process listens at the address.
	ConnectRefused
	// ConnectInconclusive means that the attempt shows neither, for instance after a timeout.
	ConnectInconclusive
)

// TryConnect opens a TCP connection to an address and closes it at once. An empty address gives ConnectInconclusive.
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
