package room

import (
	"math"
	"time"
)

// demandWindows is the time constant with which past claims are forgotten, in windows.
const demandWindows = 0.25

// demand is a number of claims that decays with time.
type demand struct {
	count float64
	at    time.Time
}

// recent returns the number of claims of about the last quarter of a window.
func (d demand) recent(now time.Time, window time.Duration) float64 {
	return d.count * math.Exp(-max(0, now.Sub(d.at).Seconds())/(demandWindows*window.Seconds()))
}

// add returns the demand after a further claim.
func (d demand) add(now time.Time, window time.Duration) demand {
	return demand{count: d.recent(now, window) + 1, at: now}
}
