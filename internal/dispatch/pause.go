package dispatch

import (
	"math"
	"net/http"
	"strconv"
	"strings"
	"time"
)

// maxPause limits how long a backend server can ask to get no requests. One that asks for longer, because of a mistake or a wrong
// clock, would otherwise stay out of service until its next start.
const maxPause = 10 * time.Minute

// readPause returns the time for which a backend server that turns a request away wants nothing more from this VM: the
// Retry-After of its 503, in seconds, which may include fractions, or as a date. It is 0 if the answer names no usable time.
func readPause(status int, answer http.Header, now time.Time) time.Duration {
	if status != http.StatusServiceUnavailable {
		return 0
	}
	named := strings.TrimSpace(answer.Get("Retry-After"))
	if seconds, err := strconv.ParseFloat(named, 64); err == nil {
		if math.IsNaN(seconds) || seconds <= 0 {
			return 0
		}
		return time.Duration(min(seconds, maxPause.Seconds()) * float64(time.Second))
	}
	if at, err := http.ParseTime(named); err == nil {
		return min(max(0, at.Sub(now)), maxPause)
	}
	return 0
}

// pause keeps requests from the backend server for a time, or for longer if it has asked for that before. The caller must
// hold the service's lock.
func (a *advice) pause(length time.Duration, now time.Time) {
	if until := now.Add(length); until.After(a.pausedUntil) {
		a.pausedUntil = until
	}
}
