package keeper

import (
	"slices"

	"github.com/primroseladder/primroseladder/internal/fleet"
)

// maxListDeltas is how many deltas of the VM list are kept for keepers that lag behind.
const maxListDeltas = 256

// deltaHistory holds the latest deltas of the VM list, without gaps.
type deltaHistory struct {
	// base is the index of the list before the first delta.
	base   uint64
	deltas []fleet.Delta
}

// add appends the delta from the list with index from. The first list has no predecessor: it only sets the base.
func (h *deltaHistory) add(from uint64, delta fleet.Delta) {
	if from == 0 {
		h.base, h.deltas = delta.Index, nil
		return
	}
	h.deltas = append(h.deltas, delta)
	if surplus := len(h.deltas) - maxListDeltas; surplus > 0 {
		h.base = h.deltas[surplus-1].Index
		h.deltas = slices.Delete(h.deltas, 0, surplus)
	}
}

// since returns the delta from the list with the given index to the newest one, and false if the history does not
// reach back that far or there is nothing newer.
func (h *deltaHistory) since(index uint64) (fleet.Delta, bool) {
	first := 0
	if index != h.base {
		at := slices.IndexFunc(h.deltas, func(d fleet.Delta) bool { return d.Index == index })
		if at < 0 {
			return fleet.Delta{}, false
		}
		first = at + 1
	}
	return fleet.MergeDeltas(h.deltas[first:]), first < len(h.deltas)
}
