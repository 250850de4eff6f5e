package once

import (
	"context"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/primroseladder/primroseladder/internal/fleet"
	"github.com/primroseladder/primroseladder/internal/placement"
)

const (
	// batchRecords bounds the records of one message.
	batchRecords = 200
	// batchTimeout bounds one message.
	batchTimeout = 2 * time.Second
	// batchesAtOnce bounds the messages in flight.
	batchesAtOnce = 8
)

// Batch is one message of a hand-over.
type Batch struct {
	From      string
	ListIndex uint64
	Records   []Exported
	// IsLast says that all records were taken. Covered is then how far back they reach.
	IsLast  bool
	Covered time.Duration
}

// Successors takes the memory of a stopping entry.
type Successors interface {
	HandOver(ctx context.Context, to fleet.VM, batch Batch) error
}

// HandOver ends the granting and passes all records to the next home of each key. Only where every record was taken
// are the other VMs told that nothing is missing. It returns how many records were taken.
func (g *Guard) HandOver(ctx context.Context, to Successors) (int, error) {
	g.memory.Seal()
	covered := g.memory.Covered()
	view := g.holder.Get().View
	records := g.byNextHome(view)
	var group errgroup.Group
	group.SetLimit(batchesAtOnce)
	total := 0
	for name, list := range records {
		home, _ := view.Entry(name)
		total += len(list)
		for len(list) > 0 {
			size := min(batchRecords, len(list))
			batch := Batch{From: g.self, ListIndex: view.Index, Records: list[:size]}
			list = list[size:]
			group.Go(func() error { return send(ctx, to, home, batch) })
		}
	}
	if err := group.Wait(); err != nil {
		return 0, err
	}
	return total, g.tellCovered(ctx, to, view, covered)
}

func send(ctx context.Context, to Successors, home fleet.VM, batch Batch) error {
	ctx, cancel := context.WithTimeout(ctx, batchTimeout)
	defer cancel()
	return to.HandOver(ctx, home, batch)
}

// tellCovered tells each live entry VM, because each may be the next home of some key that was never used.
func (g *Guard) tellCovered(ctx context.Context, to Successors, view *fleet.View, covered time.Duration) error {
	var group errgroup.Group
	group.SetLimit(batchesAtOnce)
	last := Batch{From: g.self, ListIndex: view.Index, IsLast: true, Covered: covered}
	for _, vm := range g.others(view, "") {
		group.Go(func() error { return send(ctx, to, vm, last) })
	}
	return group.Wait()
}

func (g *Guard) byNextHome(view *fleet.View) map[string][]Exported {
	inRegion, inFleet := g.others(view, g.region), g.others(view, "")
	byHome := map[string][]Exported{}
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

func (g *Guard) others(view *fleet.View, region string) []fleet.VM {
	var out []fleet.VM
	for _, vm := range view.SharedLiveEntries(region) {
		if vm.Name != g.self {
			out = append(out, vm)
		}
	}
	return out
}
