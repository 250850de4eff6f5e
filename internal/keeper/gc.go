package keeper

import "runtime/debug"

// GCPercent is how much the heap of a keeper may grow between two garbage collections, in percent of the live heap. A
// keeper allocates little, and a large catalogue and VM list leave no memory for twice the live heap.
const GCPercent = 40

// SetGCPercent sets the garbage collector's target of the process to GCPercent.
func SetGCPercent() { debug.SetGCPercent(GCPercent) }
