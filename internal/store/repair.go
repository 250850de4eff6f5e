package store

import (
	"context"

	"github.com/primroseladder/primroseladder/internal/catalogue"
	"github.com/primroseladder/primroseladder/internal/peererr"
)

// RepairStep replaces the store's change of one revision by the fleet's.
type RepairStep struct {
	Revision uint64 `json:"revision"`
	// Stored is the store's change, or nil if it has none.
	Stored *catalogue.Change `json:"stored,omitempty"`
	// Fleet is the fleet's change, or nil if the store has newer revisions than the fleet.
	Fleet *catalogue.Change `json:"fleet,omitempty"`

	// index is the index of the key when the changes were compared.
	index uint64
}

// PlanRepair compares the store's changes after a revision with history, the fleet's changes after that revision, and
// returns a step for each revision in which they differ.
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

// Apply writes the fleet's change to the store, or deletes the store's change if the fleet has none. A write returns
// ErrConflict if the store's change is no longer the one that was compared.
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
