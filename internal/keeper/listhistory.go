package keeper

import (
	"slices"

	"github.com/primroseladder/primroseladder/internal/fleet"
)

// maxListSteps is how many steps of the VM list are kept for keepers that lag behind.
const maxListSteps = 256

// listSteps are the last steps of the VM list, without gaps.
type listSteps struct {
	// base is the index of the list before the first step.
	base  uint64
	steps []fleet.Delta
}

// add appends the step from the list of the given index. The first list of all is no step.
func (l *listSteps) add(from uint64, step fleet.Delta) {
	if from == 0 {
		l.base, l.steps = step.Index, nil
		return
	}
	l.steps = append(l.steps, step)
	if surplus := len(l.steps) - maxListSteps; surplus > 0 {
		l.base = l.steps[surplus-1].Index
		l.steps = slices.Delete(l.steps, 0, surplus)
	}
}

// since returns the step from the list of an index to the newest, and false where the steps do not reach back.
func (l *listSteps) since(index uint64) (fleet.Delta, bool) {
	first := 0
	if index != l.base {
		at := slices.IndexFunc(l.steps, func(d fleet.Delta) bool { return d.Index == index })
		if at < 0 {
			return fleet.Delta{}, false
		}
		first = at + 1
	}
	return fleet.Merge(l.steps[first:]), first < len(l.steps)
}
