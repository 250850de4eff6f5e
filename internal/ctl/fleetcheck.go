package ctl

import (
	"context"
	"fmt"
	"math/rand/v2"

	"github.com/urfave/cli/v3"

	"github.com/primroseladder/primroseladder/internal/catalogue"
	"github.com/primroseladder/primroseladder/internal/store"
)

// maxFleetQueries is how many processes, chosen at random, are asked for their revision before a change.
const maxFleetQueries = 12

// readCurrent reads the catalogue from the store. It returns ErrRefused if the store is behind the fleet, as after a restored
// backup, or if its history differs from the fleet's. With --without-keepers it skips this comparison.
func readCurrent(ctx context.Context, cmd *cli.Command, kv store.Store) (*catalogue.State, error) {
	state, err := readCatalogue(ctx, kv)
	if err != nil || cmd.Bool("without-keepers") {
		return state, err
	}
	newest, err := newestStatus(ctx, cmd, state.Revision())
	if err != nil || newest.Revision <= state.Revision() {
		return state, err
	}
	// The process may be ahead because of a change that was accepted after the first read. The second read includes it.
	if err := store.Load(ctx, kv, state); err != nil {
		return nil, err
	}
	if newest.Revision > state.Revision() {
		return nil, fmt.Errorf("%w: the store is at revision %d and %s at %d; the keepers write the missing "+
			"changes to the store again, so wait and retry", ErrRefused, state.Revision(), newest.name(), newest.Revision)
	}
	return state, nil
}

// newestStatus queries at most maxFleetQueries processes and returns the status with the highest revision, or a zero Status if
// the fleet has no processes. It fails if none of the processes answers, or if one reports that the store's history differs.
// The parameter revision is the store's revision, for the error text.
func newestStatus(ctx context.Context, cmd *cli.Command, revision uint64) (Status, error) {
	var newest Status
	list, err := targets(ctx, cmd)
	if err != nil || len(list) == 0 {
		return newest, err
	}
	rand.Shuffle(len(list), func(i, j int) { list[i], list[j] = list[j], list[i] })
	answers := 0
	for _, s := range queryStatuses(ctx, list[:min(maxFleetQueries, len(list))]) {
		if s.Error != "" {
			continue
		}
		answers++
		if s.Forked > 0 {
			return s, fmt.Errorf("%w: revision %d in the store differs from the fleet's (reported by %s)", ErrRefused, s.Forked,
				s.name())
		}
		if s.Revision > newest.Revision {
			newest = s
		}
	}
	if answers == 0 {
		return newest, fmt.Errorf("%w: no process answers, so the store's revision %d cannot be compared with the fleet's; "+
			"use --without-keepers to skip this check", ErrUnreachable, revision)
	}
	return newest, nil
}
