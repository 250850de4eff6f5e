package ctl

import (
	"context"
	"fmt"
	"io"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/urfave/cli/v3"

	"github.com/primroseladder/primroseladder/internal/catalogue"
	"github.com/primroseladder/primroseladder/internal/store"
)

// historySearchDepth is the number of the newest changes that are searched for those of one service.
const historySearchDepth = 1000

// GetResult is the JSON output of get.
type GetResult struct {
	Revision uint64             `json:"revision"`
	Entries  []*catalogue.Entry `json:"entries"`
}

// get prints all entries, or those of the named services, as YAML that apply accepts.
func get(ctx context.Context, cmd *cli.Command, out io.Writer) error {
	state, err := readCatalogue(ctx, store.NewClient(cmd.String("store")))
	if err != nil {
		return err
	}
	revision, _, encoded := state.Snapshot()
	result := GetResult{Revision: revision}
	names := cmd.Args().Slice()
	for _, e := range encoded {
		if len(names) > 0 && !slices.Contains(names, e.Service) {
			continue
		}
		entry, err := catalogue.DecodeEntry(e.Content)
		if err != nil {
			return err
		}
		result.Entries = append(result.Entries, entry)
	}
	if len(names) > 0 && len(result.Entries) < len(names) {
		return fmt.Errorf("the catalogue at revision %d lacks at least one of %s", revision, strings.Join(names, ", "))
	}
	p := newPrinter(cmd, out)
	return p.print(result, func() { p.yaml(result) })
}

// yaml writes the entries as the documents of one YAML file.
func (p *printer) yaml(r GetResult) {
	p.line("# revision %d", r.Revision)
	for i, e := range r.Entries {
		if i > 0 {
			p.line("---")
		}
		text, err := e.EncodeYAML()
		if err == nil {
			_, _ = p.out.Write(text)
		}
	}
}

// AcceptedChange is one change in the output of history.
type AcceptedChange struct {
	Revision    uint64    `json:"revision"`
	Time        time.Time `json:"time"`
	Author      string    `json:"author"`
	Message     string    `json:"message"`
	OperationID string    `json:"operation_id"`
	// Set and Removed name the services whose entries were added or replaced, or removed.
	Set     []string `json:"set,omitempty"`
	Removed []string `json:"removed,omitempty"`
}

// history prints accepted changes, the newest first and at most --limit of them. If a service is named, it prints only changes
// of its entry, among the newest historySearchDepth changes.
func history(ctx context.Context, cmd *cli.Command, out io.Writer) error {
	kv := store.NewClient(cmd.String("store"))
	state, err := readCatalogue(ctx, kv)
	if err != nil {
		return err
	}
	service, limit := cmd.Args().First(), cmd.Int("limit")
	depth := uint64(limit)
	if service != "" {
		depth = historySearchDepth
	}
	from := state.Revision() - min(state.Revision(), depth)
	changes, err := store.NewChangeLog(kv).ReadSince(ctx, from)
	if err != nil {
		return err
	}
	var list []AcceptedChange
	for _, c := range slices.Backward(changes) {
		if service == "" || slices.Contains(changedServices(c), service) {
			list = append(list, newAcceptedChange(c))
		}
	}
	list = list[:min(len(list), limit)]
	p := newPrinter(cmd, out)
	return p.print(list, func() { p.history(list) })
}

func newAcceptedChange(c *catalogue.Change) AcceptedChange {
	a := AcceptedChange{
		Revision: c.Revision, Time: c.Time, Author: c.Author, Message: c.Message, OperationID: c.OperationID,
		Removed: c.Removed,
	}
	for _, e := range c.Entries {
		a.Set = append(a.Set, e.Service)
	}
	return a
}

func (p *printer) history(list []AcceptedChange) {
	var rows [][]string
	for _, a := range list {
		services := slices.Clone(a.Set)
		for _, name := range a.Removed {
			services = append(services, "-"+name)
		}
		rows = append(rows, []string{
			strconv.FormatUint(a.Revision, 10), a.Time.Format(time.RFC3339), valueOrNone(a.Author), strings.Join(services, " "),
			a.Message,
		})
	}
	p.table([]string{"revision", "time", "author", "entries", "message"}, rows)
}
