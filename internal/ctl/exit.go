package ctl

import (
	"errors"

	"github.com/primroseladder/primroseladder/internal/store"
	"github.com/primroseladder/primroseladder/internal/yamlcheck"
)

// Exit codes of primrosectl.
const (
	ExitOK          = 0
	ExitFailed      = 1
	ExitRefused     = 2
	ExitConflict    = 3
	ExitUnreachable = 4
	ExitUnknown     = 5
	ExitNotInForce  = 6
)

// exitCodes is the section of the help text on exit codes.
const exitCodes = `Exit codes:
   0  done
   1  failed: wrong usage, or an error on this machine
   2  refused: the content is invalid, or the store is behind the fleet
   3  conflict: another change was accepted first; nothing was written
   4  unreachable: the store, the VM list or all keepers; nothing was written
   5  outcome unknown: the write may take effect; run the same command again
   6  accepted, but not in force everywhere within the timeout`

// Errors that ExitCode maps to an exit code, in addition to those of the packages store and yamlcheck.
var (
	// ErrRefused means that the input is invalid, or that the store is behind the fleet or has a different history.
	ErrRefused = errors.New("refused")
	// ErrNotInForce means that a change was accepted, but some process had an older revision at the timeout.
	ErrNotInForce = errors.New("not in force everywhere")
	// ErrUnreachable means that a process or the platform did not answer.
	ErrUnreachable = errors.New("unreachable")
)

// ExitCode returns the exit code for the error of a command; nil gives ExitOK.
func ExitCode(err error) int {
	var faults yamlcheck.Faults
	switch {
	case err == nil:
		return ExitOK
	case errors.Is(err, ErrRefused), errors.As(err, &faults):
		return ExitRefused
	case errors.Is(err, store.ErrConflict):
		return ExitConflict
	case errors.Is(err, store.ErrOutcomeUnknown):
		return ExitUnknown
	case errors.Is(err, ErrNotInForce):
		return ExitNotInForce
	case errors.Is(err, store.ErrUnreachable), errors.Is(err, ErrUnreachable):
		return ExitUnreachable
	default:
		return ExitFailed
	}
}
