package store

import (
	"context"

	"github.com/primroseladder/primroseladder/internal/catalogue"
	"github.com/primroseladder/primroseladder/internal/peererr"
)

// RepairStep replaces one change of the store by that of the fleet.
type RepairStep struct {
	Revision uint64 `json:"revision"`
	// Stored is what the store holds, or nil.
	Stored *catalogue.Change `json:"stored,omitempty"`
	// Fleet is what the fleet holds, or nil where the store goes beyond it.
	Fleet *catalogue.Change `json:"fleet,omitempty"`

	index uint64
}

// PlanRepair compares the changes after a revision with the fleet's history, which has all changes after that revision.
func PlanRepair(ctx context.Context, s Store, afterRevision uint64, history []*catalogue.Change) ([]RepairStep, error) {
	var steps []RepairStep
	for i := 0; ; i++ {
		step := RepairStep{Revision: afterRevision + uint64(i) + 1}
		value, err := s.Get(ctx, changeKey(step.Revision))
		if err != nil {
			return nil, err
		}
		if step.index = value.Index; value.Index > 0 {
			if step.Stored, err = catalogue.DecodeChange(value.Data); err != nil {
				return nil, peererr.Wrap(err, "read change", "store")
			}
		}
		if i < len(history) {
			step.Fleet = history[i]
		}
		if step.Stored == nil && step.Fleet == nil {
			return steps, nil
		}
		if step.Stored == nil || step.Fleet == nil || step.Stored.OperationID != step.Fleet.OperationID {
			steps = append(steps, step)
		}
	}
}

// Apply makes the step. It returns ErrConflict where the store's change is no longer the one that was compared.
func (r *RepairStep) Apply(ctx context.Context, s Store) error {
	if r.Fleet == nil {
		return s.Delete(ctx, changeKey(r.Revision))
	}
	data, err := r.Fleet.Encode()
	if err != nil {
		return err
	}
	written, err := s.CompareAndSwap(ctx, changeKey(r.Revision), data, r.index)
	if err == nil && !written {
		return ErrConflict
	}
	return err
}
