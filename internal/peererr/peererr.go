// Package peererr adds to errors the operation that failed and the peer that it involved.
package peererr

import (
	"fmt"

	"github.com/gravitational/trace"
)

// Error is an error of an operation that involves a peer.
type Error struct {
	// Operation is what was being done, such as "connect".
	Operation string
	// Peer is the name or address of the peer, or of this process's own listener.
	Peer string
	// Err is the cause.
	Err error
}

func (e *Error) Error() string { return fmt.Sprintf("%s (peer %s): %v", e.Operation, e.Peer, e.Err) }

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }

// Wrap returns err with the operation and the peer added, and with a stack trace. It returns nil for a nil error.
func Wrap(err error, operation, peer string) error {
	if err == nil {
		return nil
	}
	return trace.Wrap(&Error{Operation: operation, Peer: peer, Err: err})
}
