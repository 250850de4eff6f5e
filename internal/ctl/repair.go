package ctl

import (
	"context"
	"errors"
	"fmt"
	"io"
	"math"
	"strings"

	"github.com/urfave/cli/v3"

	pb "github.com/primroseladder/primroseladder/api/primrosev1"
	"github.com/primroseladder/primroseladder/internal/catalogue"
	"github.com/primroseladder/primroseladder/internal/fleet"
	"github.com/primroseladder/primroseladder/internal/keeperpeer"
	"github.com/primroseladder/primroseladder/internal/store"
)

// repair replaces the changes of the store that differ from the fleet's history. They differ if the store was restored from a
// backup and has accepted other changes since. Without --yes it only prints the differences.
func repair(ctx context.Context, cmd *cli.Command, out io.Writer) error {
	kv := store.NewClient(cmd.String("store"))
	covered, err := store.NewSnapshotStore(kv).Revision(ctx)
	if err != nil {
		return err
	}
	history, err := fleetHistory(ctx, cmd, covered)
	if err != nil {
		return err
	}
	steps, err := store.PlanRepair(ctx, kv, covered, history)
	if err != nil {
		return err
	}
	p := newPrinter(cmd, out)
	if err := p.print(steps, func() { p.repairSteps(steps) }); err != nil || !cmd.Bool("yes") {
		return err
	}
	for _, s := range steps {
		if err := s.Apply(ctx, kv); err != nil {
			return err
		}
	}
	p.line("%d changes repaired", len(steps))
	return nil
}

// fleetHistory returns the changes after a revision from the keeper with the highest revision. It fails if no keeper answers
// or if that keeper's history does not reach back that far.
func fleetHistory(ctx context.Context, cmd *cli.Command, revision uint64) ([]*catalogue.Change, error) {
	vms, err := readVMs(ctx, cmd)
	if err != nil {
		return nil, err
	}
	keepers := keeperpeer.NewClient()
	defer keepers.Close()
	var newest *pb.ExchangeResponse
	errs := []error{ErrUnreachable}
	for _, vm := range vms {
		if vm.Role != fleet.RoleEntry {
			continue
		}
		answer, err := fetchChanges(ctx, keepers, vm.KeeperAddress, revision)
		if err != nil {
			errs = append(errs, err)
			continue
		}
		if newest == nil || answer.GetRevision() > newest.GetRevision() {
			newest = answer
		}
	}
	if newest == nil {
		return nil, errors.Join(errs...)
	}
	if newest.GetSnapshot() != nil {
		return nil, fmt.Errorf("the keepers' history does not reach back to revision %d", revision)
	}
	var history []*catalogue.Change
	for _, c := range newest.GetChanges() {
		history = append(history, keeperpeer.ChangeFromProto(c))
	}
	return history, nil
}

// fetchChanges requests a keeper's changes after a revision. The highest ListIndex keeps the VM list out of the answer.
func fetchChanges(
	ctx context.Context, keepers *keeperpeer.Client, address string, revision uint64,
) (*pb.ExchangeResponse, error) {
	ctx, cancel := context.WithTimeout(ctx, statusTimeout)
	defer cancel()
	keeper, err := keepers.Keeper(address)
	if err != nil {
		return nil, err
	}
	return keeper.Exchange(ctx, &pb.ExchangeRequest{Revision: revision, ListIndex: math.MaxUint64})
}

func (p *printer) repairSteps(steps []store.RepairStep) {
	var rows [][]string
	for _, s := range steps {
		rows = append(rows, []string{fmt.Sprint(s.Revision), describeChange(s.Stored), describeChange(s.Fleet)})
	}
	p.table([]string{"revision", "in the store", "of the fleet"}, rows)
	p.line("%d changes differ; the left ones were never in force, apply them again where they are wanted", len(steps))
}

func describeChange(c *catalogue.Change) string {
	if c == nil {
		return "(none)"
	}
	return fmt.Sprintf("%s by %s", strings.Join(changedServices(c), " "), valueOrNone(c.Author))
}
