package once

import (
	"context"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/primroseladder/primroseladder/internal/fleet"
	"github.com/primroseladder/primroseladder/internal/placement"
)

const (
	// maxBatchRecords bounds the records of one message.
	maxBatchRecords = 200
	// batchTimeout bounds one message.
	batchTimeout = 2 * time.Second
	// maxConcurrentBatches bounds the messages in flight.
	maxConcurrentBatches = 8
)

// HandOverBatch is one message of a hand-over.
type HandOverBatch struct {
	From      string
	ListIndex uint64
	Records   []ExportedRecord
	// IsLast says that all records were taken. Covered is then how far back they reach.
	IsLast  bool
	Covered time.Duration
}

// HandOverClient takes the memory of a stopping entry.
type HandOverClient interface {
	HandOver(ctx context.Context, to fleet.VM, batch HandOverBatch) error
}

// HandOver ends the granting and passes all records to the next home of each key. Only where every record was taken
// are the other VMs told that nothing is missing. It returns how many records were taken.
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

func sendBatch(ctx context.Context, to HandOverClient, home fleet.VM, batch HandOverBatch) error {
	ctx, cancel := context.WithTimeout(ctx, batchTimeout)
	defer cancel()
	return to.HandOver(ctx, home, batch)
}

// announceHandOver tells each live entry VM, because each may be the next home of some key that was never used.
func (g *Guard) announceHandOver(ctx context.Context, to HandOverClient, view *fleet.View, covered time.Duration) error {
	var group errgroup.Group
	group.SetLimit(maxConcurrentBatches)
	last := HandOverBatch{From: g.self, ListIndex: view.Index, IsLast: true, Covered: covered}
	for _, vm := range g.otherEntries(view, "") {
		group.Go(func() error { return sendBatch(ctx, to, vm, last) })
	}
	return group.Wait()
}

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

func (g *Guard) otherEntries(view *fleet.View, region string) []fleet.VM {
	var out []fleet.VM
	for _, vm := range view.Live(region) {
		if vm.Name != g.self {
			out = append(out, vm)
		}
	}
	return out
}
