package periodic

import (
	"errors"
	"fmt"
	"time"
)

// pollInterval is the time between two looks at a condition.
const pollInterval = 20 * time.Millisecond

// permanentError ends a poll at once.
type permanentError struct{ error }

// Permanent marks an error that waiting does not mend.
func Permanent(err error) error { return permanentError{err} }

// Poll looks at a condition until it holds or the bound is over. It returns the last error.
func Poll(timeout time.Duration, condition func() error) error {
	deadline := time.Now().Add(timeout)
	for {
		err := condition()
		var permanent permanentError
		if err == nil || errors.As(err, &permanent) {
			return err
		}
		if time.Now().After(deadline) {
			return fmt.Errorf("after %s: %w", timeout, err)
		}
		time.Sleep(pollInterval)
	}
}
