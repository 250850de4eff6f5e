package keeper

import "runtime/debug"

// GCPercent is how much the heap of a keeper grows between two collections, in percent of the live heap. A
// keeper allocates little, and a large catalogue and VM list leave no room for twice the live heap.
const GCPercent = 40

// SetGCPercent sets the collector's target for the process.
func SetGCPercent() { debug.SetGCPercent(GCPercent) }
