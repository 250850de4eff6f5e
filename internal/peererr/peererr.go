// Package peererr gives errors the step and the peer at which they arose.
package peererr

import (
	"fmt"

	"github.com/gravitational/trace"
)

// Error is an error with the step and the peer at which it arose.
type Error struct {
	// Operation is what was being done, such as "connect".
	Operation string
	// Peer is the name or address of the other side.
	Peer string
	Err  error
}

func (e *Error) Error() string { return fmt.Sprintf("%s (peer %s): %v", e.Operation, e.Peer, e.Err) }

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }

// Wrap adds step and peer to err. It returns nil for a nil error.
func Wrap(err error, step, peer string) error {
	if err == nil {
		return nil
	}
	return trace.Wrap(&Error{Operation: step, Peer: peer, Err: err})
}
