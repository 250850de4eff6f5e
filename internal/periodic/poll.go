package periodic

import (
	"errors"
	"fmt"
	"time"
)

// pollInterval is the time between two checks of a condition.
const pollInterval = 20 * time.Millisecond

// permanentError is an error that ends a poll immediately.
type permanentError struct{ error }

// Permanent marks an error of a condition as final: Poll returns it immediately instead of checking again.
func Permanent(err error) error { return permanentError{err} }

// Poll checks a condition until it returns nil or a Permanent error, or until the timeout has passed. It returns the last
// error of the condition, if any.
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
