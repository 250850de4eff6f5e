package keeper

import (
	"slices"

	"github.com/primroseladder/primroseladder/internal/fleet"
)

// maxListDeltas is how many steps of the VM list are kept for keepers that lag behind.
const maxListDeltas = 256

// deltaHistory are the last steps of the VM list, without gaps.
type deltaHistory struct {
	// base is the index of the list before the first step.
	base   uint64
	deltas []fleet.Delta
}

// add appends the step from the list of the given index. The first list of all is no step.
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

// since returns the step from the list of an index to the newest, and false where the steps do not reach back.
func (l *deltaHistory) since(index uint64) (fleet.Delta, bool) {
	first := 0
	if index != l.base {
		at := slices.IndexFunc(l.deltas, func(d fleet.Delta) bool { return d.Index == index })
		if at < 0 {
			return fleet.Delta{}, false
		}
		first = at + 1
	}
	return fleet.Merge(l.deltas[first:]), first < len(l.deltas)
}
