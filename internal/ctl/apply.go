package ctl

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os"
	"slices"
	"strings"
	"time"

	"github.com/urfave/cli/v3"

	"github.com/primroseladder/primroseladder/internal/catalogue"
	"github.com/primroseladder/primroseladder/internal/periodic"
	"github.com/primroseladder/primroseladder/internal/store"
)

const (
	// defaultSettleTime is how long a write that got no answer is retried.
	defaultSettleTime = 10 * time.Second
	// pollInterval is the time between two checks whether a change is in force.
	pollInterval = 50 * time.Millisecond
	// maxRebases bounds how often a change is moved to a higher revision because changes of other entries were accepted first.
	maxRebases = 10
)

// input holds the catalogue entries given by an operator.
type input struct {
	entries []*catalogue.Entry
	// isWholeCatalogue is set if applying the input removes the entries of all other services.
	isWholeCatalogue bool
}

// readInput reads the path argument of a command. A folder is the whole catalogue; a file, or a folder with --entry, leaves the
// entries of other services as they are.
func readInput(cmd *cli.Command) (input, error) {
	path := cmd.Args().First()
	info, err := os.Stat(path)
	if err != nil {
		return input{}, fmt.Errorf("%w: %w", ErrRefused, err)
	}
	if !info.IsDir() {
		entries, err := catalogue.ReadFile(path)
		return input{entries: entries}, err
	}
	entries, err := catalogue.ReadFolder(path)
	if err != nil {
		return input{}, err
	}
	names := cmd.StringSlice("entry")
	if len(names) == 0 {
		return input{entries: entries, isWholeCatalogue: true}, nil
	}
	return pickEntries(entries, names)
}

// pickEntries returns the entries of the named services.
func pickEntries(entries []*catalogue.Entry, names []string) (input, error) {
	var picked input
	for _, name := range names {
		i := slices.IndexFunc(entries, func(e *catalogue.Entry) bool { return e.Service == name })
		if i < 0 {
			return input{}, fmt.Errorf("%w: no entry %s in the folder", ErrRefused, name)
		}
		picked.entries = append(picked.entries, entries[i])
	}
	return picked, nil
}

// readCatalogue reads the accepted catalogue from the store.
func readCatalogue(ctx context.Context, s store.Store) (*catalogue.State, error) {
	state := catalogue.NewState()
	return state, store.Load(ctx, s, state)
}

// ApplyResult is the JSON output of apply.
type ApplyResult struct {
	Revision    uint64       `json:"revision"`
	OperationID string       `json:"operation_id,omitempty"`
	Differences []Difference `json:"differences"`
	// InForceMS is the time from the acceptance until the change was in force on all processes, in milliseconds.
	InForceMS int64 `json:"in_force_ms,omitempty"`
	// NotInForce names the processes that had an older revision, or did not answer, at the timeout.
	NotInForce []string `json:"not_in_force,omitempty"`
}

// apply submits the input as a change of the catalogue. With --wait it also waits until the change is in force.
func apply(ctx context.Context, cmd *cli.Command, out io.Writer) error {
	in, err := readInput(cmd)
	if err != nil {
		return err
	}
	p := newPrinter(cmd, out)
	kv := store.NewClient(cmd.String("store"))
	state, change, err := acceptInput(ctx, cmd, kv, in)
	if err != nil {
		return err
	}
	result := &ApplyResult{Revision: state.Revision()}
	if change == nil {
		p.line("no change, revision %d", result.Revision)
	} else {
		result.Revision, result.OperationID = change.Revision, change.OperationID
		result.Differences = differences(state, change)
		p.differences(result.Differences)
		p.line("accepted as revision %d", result.Revision)
	}
	if cmd.Bool("wait") {
		err = awaitInForce(ctx, cmd, p, result)
	}
	if p.asJSON {
		err = errors.Join(err, p.print(result, nil))
	}
	return err
}

// acceptInput builds the change and appends it to the change log. It returns the state that the change is based on, and a nil
// change if the catalogue already matches the input. If another operator's change is accepted first, the change is rebuilt on a
// higher revision. If the two changes disagree on an entry, acceptInput returns a Conflict instead.
func acceptInput(ctx context.Context, cmd *cli.Command, kv store.Store, in input) (*catalogue.State, *catalogue.Change, error) {
	base := uint64(cmd.Int("base-revision"))
	for range maxRebases {
		state, err := readCurrent(ctx, cmd, kv)
		if err != nil {
			return nil, nil, err
		}
		change, err := buildChange(state, in.entries, in.isWholeCatalogue)
		if err != nil {
			return nil, nil, err
		}
		change.Author, change.Message = cmd.String("author"), cmd.String("message")
		if base > 0 {
			if err := checkConflicts(ctx, kv, in, base, state.Revision()); err != nil {
				return nil, nil, err
			}
		}
		if len(change.Entries) == 0 && len(change.Removed) == 0 {
			return state, nil, nil
		}
		if err := checkResult(state, change); err != nil {
			return nil, nil, err
		}
		err = appendChange(ctx, kv, change, cmd.Duration("settle"))
		if !errors.Is(err, store.ErrConflict) {
			return state, change, err
		}
		if err := checkConflicts(ctx, kv, in, change.Revision-1, change.Revision); err != nil {
			return nil, nil, err
		}
	}
	return nil, nil, fmt.Errorf("%w: gave up after %d concurrent changes of the catalogue", store.ErrConflict, maxRebases)
}

// appendChange writes the change to the store and retries a write that got no answer for at most the settle time.
func appendChange(ctx context.Context, kv store.Store, change *catalogue.Change, settle time.Duration) error {
	ctx, cancel := context.WithTimeout(ctx, settle)
	defer cancel()
	err := store.NewChangeLog(kv).Append(ctx, change)
	if errors.Is(err, store.ErrOutcomeUnknown) {
		return fmt.Errorf("outcome unknown: revision %d, operation %s may be accepted, now or later; run the same "+
			"command again: %w", change.Revision, change.OperationID, err)
	}
	return err
}

// checkResult validates the catalogue as it is after the change, for example for routes that overlap with those of other
// entries.
func checkResult(state *catalogue.State, change *catalogue.Change) error {
	next := map[string]catalogue.EncodedEntry{}
	_, _, current := state.Snapshot()
	for _, e := range append(current, change.Entries...) {
		next[e.Service] = e
	}
	for _, name := range change.Removed {
		delete(next, name)
	}
	var entries []*catalogue.Entry
	for _, encoded := range next {
		e, err := catalogue.DecodeEntry(encoded.Content)
		if err != nil {
			return err
		}
		entries = append(entries, e)
	}
	var errs []error
	for _, problem := range catalogue.Validate(entries) {
		errs = append(errs, errors.New(problem.String()))
	}
	if len(errs) == 0 {
		return nil
	}
	return errors.Join(append([]error{ErrRefused}, errs...)...)
}

// awaitInForce polls the processes until all of them report the revision or a newer one, for at most --timeout. It sets
// InForceMS or NotInForce of the result.
func awaitInForce(ctx context.Context, cmd *cli.Command, p *printer, result *ApplyResult) error {
	start := time.Now()
	list, err := targets(ctx, cmd)
	if err != nil {
		return err
	}
	behind := list
	for time.Since(start) < cmd.Duration("timeout") {
		behind, result.NotInForce = queryBehind(ctx, behind, result.Revision)
		if len(behind) == 0 {
			result.InForceMS = time.Since(start).Milliseconds()
			p.line("in force on %d processes after %d ms", len(list), result.InForceMS)
			return nil
		}
		if !periodic.Pause(ctx, pollInterval) {
			break
		}
	}
	return fmt.Errorf("%w: revision %d was accepted but is not in force on %s", ErrNotInForce, result.Revision,
		strings.Join(result.NotInForce, ", "))
}

// queryBehind returns the processes that have not reached the revision or did not answer, and their names with the reason.
func queryBehind(ctx context.Context, list []target, revision uint64) ([]target, []string) {
	var behind []target
	var names []string
	for i, s := range queryStatuses(ctx, list) {
		if s.Error == "" && s.Revision >= revision {
			continue
		}
		behind = append(behind, list[i])
		reason := fmt.Sprintf("revision %d", s.Revision)
		if s.Error != "" {
			reason = "no answer"
		}
		names = append(names, fmt.Sprintf("%s (%s)", s.name(), reason))
	}
	return behind, names
}
