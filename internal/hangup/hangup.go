// Package hangup catches SIGHUP from the initialization of a process on. The platform sends it at any moment, and a Go
// process that has not asked for it ends. A process that imports this package never ends by SIGHUP, also while it stops.
package hangup

import (
	"os"
	"os/signal"
	"syscall"
)

var signals = notify()

func notify() chan os.Signal {
	// Signals that come while one waits are of no more use than that one.
	caught := make(chan os.Signal, 1)
	signal.Notify(caught, syscall.SIGHUP)
	return caught
}

// Signals returns the channel that gets a value after each SIGHUP, or once for several in a row.
func Signals() <-chan os.Signal { return signals }
