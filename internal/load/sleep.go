package load

import (
	"runtime"
	"time"
)

// spinDuration is the time before the deadline from which SleepUntil polls the clock instead of sleeping. A sleep ends late by
// about a tenth of it.
const spinDuration = 500 * time.Microsecond

// SleepUntil returns at the given time, with a smaller error than time.Sleep. It polls the clock at the end, so it must not be
// used with a fake clock.
func SleepUntil(at time.Time) {
	if wait := time.Until(at) - spinDuration; wait > 0 {
		time.Sleep(wait)
	}
	for time.Now().Before(at) {
		runtime.Gosched()
	}
}
