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
	// defaultSettle is how long a write without an answer is repeated.
	defaultSettle = 10 * time.Second
	// pollInterval is the time between two looks whether a change is in force.
	pollInterval = 50 * time.Millisecond
	// maxRebases bounds how often a change of other entries moves this one to a higher revision.
	maxRebases = 10
)

// input is what an operator wants the catalogue to be.
type input struct {
	entries []*catalogue.Entry
	// isWhole says that entries which are not wanted are removed.
	isWhole bool
}

// readInput reads a folder, which is the whole catalogue, or a file, which leaves other entries as they are.
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
		return input{entries: entries, isWhole: true}, nil
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

func readCatalogue(ctx context.Context, s store.Store) (*catalogue.State, error) {
	state := catalogue.NewState()
	return state, store.Load(ctx, s, state)
}

// Applied is the result of apply.
type Applied struct {
	Revision    uint64       `json:"revision"`
	OperationID string       `json:"operation_id,omitempty"`
	Differences []Difference `json:"differences"`
	// InForceMS is how long it took until the change was in force everywhere, in milliseconds.
	InForceMS int64 `json:"in_force_ms,omitempty"`
	// NotInForce names the processes that had an older revision when the time was up.
	NotInForce []string `json:"not_in_force,omitempty"`
}

func apply(ctx context.Context, cmd *cli.Command, out io.Writer) error {
	in, err := readInput(cmd)
	if err != nil {
		return err
	}
	p := newPrinter(cmd, out)
	kv := store.NewClient(cmd.String("store"))
	state, change, err := accept(ctx, cmd, kv, in)
	if err != nil {
		return err
	}
	result := &Applied{Revision: state.Revision()}
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

// accept makes the change and has it accepted. It returns no change where there is nothing to do. A change of other
// entries by someone else moves it to a higher revision; a change of the same entries is a conflict.
func accept(ctx context.Context, cmd *cli.Command, kv store.Store, in input) (*catalogue.State, *catalogue.Change, error) {
	base := uint64(cmd.Int("base-revision"))
	for range maxRebases {
		state, err := readCurrent(ctx, cmd, kv)
		if err != nil {
			return nil, nil, err
		}
		change, err := makeChange(state, in.entries, in.isWhole)
		if err != nil {
			return nil, nil, err
		}
		change.Author, change.Message = cmd.String("author"), cmd.String("message")
		if base > 0 {
			if err := checkSince(ctx, kv, in, base, state.Revision()); err != nil {
				return nil, nil, err
			}
		}
		if len(change.Entries) == 0 && len(change.Removed) == 0 {
			return state, nil, nil
		}
		if err := checkWhole(state, change); err != nil {
			return nil, nil, err
		}
		err = appendChange(ctx, kv, change, cmd.Duration("settle"))
		if !errors.Is(err, store.ErrConflict) {
			return state, change, err
		}
		if err := checkSince(ctx, kv, in, change.Revision-1, change.Revision); err != nil {
			return nil, nil, err
		}
	}
	return nil, nil, fmt.Errorf("%w: others changed the catalogue %d times meanwhile", store.ErrConflict, maxRebases)
}

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

// checkWhole checks the catalogue that the change leads to, such as for routes that overlap with other entries.
func checkWhole(state *catalogue.State, change *catalogue.Change) error {
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
	var faults []error
	for _, problem := range catalogue.Validate(entries) {
		faults = append(faults, errors.New(problem.String()))
	}
	if len(faults) == 0 {
		return nil
	}
	return errors.Join(append([]error{ErrRefused}, faults...)...)
}

// awaitInForce waits until all processes report the revision.
func awaitInForce(ctx context.Context, cmd *cli.Command, p *printer, result *Applied) error {
	begin := time.Now()
	list, err := targets(ctx, cmd)
	if err != nil {
		return err
	}
	behind := list
	for time.Since(begin) < cmd.Duration("timeout") {
		behind, result.NotInForce = processesBehind(ctx, behind, result.Revision)
		if len(behind) == 0 {
			result.InForceMS = time.Since(begin).Milliseconds()
			p.line("in force on %d processes after %d ms", len(list), result.InForceMS)
			return nil
		}
		if !periodic.Pause(ctx, pollInterval) {
			break
		}
	}
	return fmt.Errorf("%w: revision %d was accepted and is not in force on %s", ErrNotInForce, result.Revision,
		strings.Join(result.NotInForce, ", "))
}

func processesBehind(ctx context.Context, list []target, revision uint64) ([]target, []string) {
	var behind []target
	var names []string
	for i, s := range ask(ctx, list) {
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
