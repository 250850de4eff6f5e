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
func (l *deltaHistory) add(from uint64, delta fleet.Delta) {
	if from == 0 {
		l.base, l.deltas = delta.Index, nil
		return
	}
	l.deltas = append(l.deltas, delta)
	if surplus := len(l.deltas) - maxListDeltas; surplus > 0 {
		l.base = l.deltas[surplus-1].Index
		l.deltas = slices.Delete(l.deltas, 0, surplus)
	}
}

// since returns the delta from the list with the given index to the newest one, and false if the history does not
// reach back that far or there is nothing newer.
func (l *deltaHistory) since(index uint64) (fleet.Delta, bool) {
	first := 0
	if index != l.base {
		at := slices.IndexFunc(l.deltas, func(d fleet.Delta) bool { return d.Index == index })
		if at < 0 {
			return fleet.Delta{}, false
		}
		first = at + 1
	}
	return fleet.MergeDeltas(l.deltas[first:]), first < len(l.deltas)
}
