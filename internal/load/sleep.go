package load

import (
	"runtime"
	"time"
)

// spinDuration is how long before an arrival Until stops sleeping. A sleep ends late by about a tenth of it.
const spinDuration = 500 * time.Microsecond

// SleepUntil returns at the given time, more exactly than time.Sleep does. It spins at the end, so it is not for fake time.
func SleepUntil(at time.Time) {
	if wait := time.Until(at) - spinDuration; wait > 0 {
		time.Sleep(wait)
	}
	for time.Now().Before(at) {
		runtime.Gosched()
	}
}
