package soak

import (
	"math/rand/v2"
	"time"
)

// A series injects faults of one kind, one after the other, until the given time. Each draws from a sequence of its own, so that a
// new one leaves the faults of a seed as they are.
type series struct {
	name   string
	seed   uint64
	inject func(d *deployment, draw *rand.Rand, end time.Time)
}

// Names of series, for Options.Only.
const (
	// MissedRemovals freezes VMs while a backend server is removed and the other VMs of their region are killed, and cuts them off
	// from the store when they wake.
	MissedRemovals = "missed-removals"
	// CrashingRequests sends requests that crash backend servers while the VMs are restarted in turn.
	CrashingRequests = "crashing-requests"
)

var allSeries = []series{
	{"advice", adviceSeed, (*deployment).injectAdvice},
	{"restored-stores", restoreSeed, (*deployment).restoreStores},
	{MissedRemovals, 0x3e3, (*deployment).missRemovals},
	{CrashingRequests, 0xc4a, (*deployment).sendCrashingRequests},
}
