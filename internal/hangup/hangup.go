// Package hangup subscribes to SIGHUP during the initialization of a process. The platform sends SIGHUP at any time, and the
// signal terminates a Go process that has not subscribed to it. A process that imports this package is never terminated by
// SIGHUP, not even during its shutdown.
package hangup

import (
	"os"
	"os/signal"
	"syscall"
)

var signals = notify()

func notify() chan os.Signal {
	// One buffered signal is enough: further ones before it is received would only cause the same reload.
	caught := make(chan os.Signal, 1)
	signal.Notify(caught, syscall.SIGHUP)
	return caught
}

// Signals returns a channel that receives a value after each SIGHUP. Several in quick succession may yield one value.
func Signals() <-chan os.Signal { return signals }
