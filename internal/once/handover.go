package once

import (
	"context"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/primroseladder/primroseladder/internal/fleet"
	"github.com/primroseladder/primroseladder/internal/placement"
)

const (
	// maxBatchRecords is the maximum number of records in one message.
	maxBatchRecords = 200
	// batchTimeout is the timeout of one message.
	batchTimeout = 2 * time.Second
	// maxConcurrentBatches is the maximum number of messages in flight.
	maxConcurrentBatches = 8
)

// HandOverBatch is one message of a hand-over.
type HandOverBatch struct {
	// From is the name of the stopping VM.
	From string
	// ListIndex is the index of the VM list by which the next homes were chosen.
	ListIndex uint64
	Records   []ExportedRecord
	// IsLast is set in the last message, which is sent once all records have been imported.
	IsLast bool
	// Covered is set only in the last message. The records of the hand-over hold all grants of the stopping VM in the period of
	// that length before the message.
	Covered time.Duration
}

// HandOverClient sends the records of a stopping entry to other entries.
type HandOverClient interface {
	// HandOver sends a batch to a VM. It returns an error unless the VM imported all its records.
	HandOver(ctx context.Context, to fleet.VM, batch HandOverBatch) error
}

// HandOver seals this VM's memory and sends each record to the next home of its key. Only if all of them were imported does
// it announce to the other VMs that the records are complete. It returns how many records were imported, or 0 and an error
// if one batch or more failed. If only the announcement fails, it returns the number together with the error.
func (g *Guard) HandOver(ctx context.Context, to HandOverClient) (int, error) {
	g.memory.Seal()
	covered := g.memory.CoveredDuration()
	view := g.holder.Get().View
	records := g.recordsByNextHome(view)
	var group errgroup.Group
	group.SetLimit(maxConcurrentBatches)
	total := 0
	for name, list := range records {
		home, _ := view.Entry(name)
		total += len(list)
		for len(list) > 0 {
			size := min(maxBatchRecords, len(list))
			batch := HandOverBatch{From: g.self, ListIndex: view.Index, Records: list[:size]}
			list = list[size:]
			group.Go(func() error { return sendBatch(ctx, to, home, batch) })
		}
	}
	if err := group.Wait(); err != nil {
		return 0, err
	}
	return total, g.announceHandOver(ctx, to, view, covered)
}

// sendBatch sends one message within batchTimeout.
func sendBatch(ctx context.Context, to HandOverClient, home fleet.VM, batch HandOverBatch) error {
	ctx, cancel := context.WithTimeout(ctx, batchTimeout)
	defer cancel()
	return to.HandOver(ctx, home, batch)
}

// announceHandOver sends the last message to every live entry VM, also to those that got no record: each may be the next
// home of keys that have not been used so far.
func (g *Guard) announceHandOver(ctx context.Context, to HandOverClient, view *fleet.View, covered time.Duration) error {
	var group errgroup.Group
	group.SetLimit(maxConcurrentBatches)
	last := HandOverBatch{From: g.self, ListIndex: view.Index, IsLast: true, Covered: covered}
	for _, vm := range g.otherEntries(view, "") {
		group.Go(func() error { return sendBatch(ctx, to, vm, last) })
	}
	return group.Wait()
}

// recordsByNextHome groups the records by the name of the VM that is home of their key once this VM has stopped.
func (g *Guard) recordsByNextHome(view *fleet.View) map[string][]ExportedRecord {
	inRegion, inFleet := g.otherEntries(view, g.region), g.otherEntries(view, "")
	byHome := map[string][]ExportedRecord{}
	for _, r := range g.memory.Export() {
		vms := inRegion
		if r.Send.Key.Scope == ScopeFleet {
			vms = inFleet
		}
		if home, found := placement.Top(r.Send.Key.rankKey(), vms); found {
			byHome[home.Name] = append(byHome[home.Name], r)
		}
	}
	return byHome
}

// otherEntries returns the live entry VMs of a region without this one, or of all regions if region is empty.
func (g *Guard) otherEntries(view *fleet.View, region string) []fleet.VM {
	var out []fleet.VM
	for _, vm := range view.SharedLiveEntries(region) {
		if vm.Name != g.self {
			out = append(out, vm)
		}
	}
	return out
}
