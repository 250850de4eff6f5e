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

// historySearch is how many changes are looked through for those of one service.
const historySearch = 1000

// Catalogue is the result of get.
type Catalogue struct {
	Revision uint64             `json:"revision"`
	Entries  []*catalogue.Entry `json:"entries"`
}

// get prints all entries, or the named ones, in a form that can be applied again.
func get(ctx context.Context, cmd *cli.Command, out io.Writer) error {
	state, err := readCatalogue(ctx, store.NewClient(cmd.String("store")))
	if err != nil {
		return err
	}
	revision, _, encoded := state.Snapshot()
	result := Catalogue{Revision: revision}
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
		return fmt.Errorf("the catalogue at revision %d does not have all of %s", revision, strings.Join(names, ", "))
	}
	p := newPrinter(cmd, out)
	return p.print(result, func() { p.yaml(result) })
}

func (p *printer) yaml(c Catalogue) {
	p.line("# revision %d", c.Revision)
	for i, e := range c.Entries {
		if i > 0 {
			p.line("---")
		}
		text, err := e.EncodeYAML()
		if err == nil {
			_, _ = p.out.Write(text)
		}
	}
}

// Accepted is one change in the history.
type Accepted struct {
	Revision    uint64    `json:"revision"`
	Time        time.Time `json:"time"`
	Author      string    `json:"author"`
	Message     string    `json:"message"`
	OperationID string    `json:"operation_id"`
	Set         []string  `json:"set,omitempty"`
	Removed     []string  `json:"removed,omitempty"`
}

// history prints accepted changes, the newest first.
func history(ctx context.Context, cmd *cli.Command, out io.Writer) error {
	kv := store.NewClient(cmd.String("store"))
	state, err := readCatalogue(ctx, kv)
	if err != nil {
		return err
	}
	service, limit := cmd.Args().First(), cmd.Int("limit")
	reach := uint64(limit)
	if service != "" {
		reach = historySearch
	}
	from := state.Revision() - min(state.Revision(), reach)
	changes, err := store.NewChangeLog(kv).ReadSince(ctx, from)
	if err != nil {
		return err
	}
	var list []Accepted
	for _, c := range slices.Backward(changes) {
		if service == "" || slices.Contains(touched(c), service) {
			list = append(list, accepted(c))
		}
	}
	list = list[:min(len(list), limit)]
	p := newPrinter(cmd, out)
	return p.print(list, func() { p.history(list) })
}

func accepted(c *catalogue.Change) Accepted {
	a := Accepted{
		Revision: c.Revision, Time: c.Time, Author: c.Author, Message: c.Message, OperationID: c.OperationID,
		Removed: c.Removed,
	}
	for _, e := range c.Entries {
		a.Set = append(a.Set, e.Service)
	}
	return a
}

func (p *printer) history(list []Accepted) {
	var rows [][]string
	for _, a := range list {
		what := slices.Clone(a.Set)
		for _, name := range a.Removed {
			what = append(what, "-"+name)
		}
		rows = append(rows, []string{
			strconv.FormatUint(a.Revision, 10), a.Time.Format(time.RFC3339), orNone(a.Author), strings.Join(what, " "), a.Message,
		})
	}
	p.table([]string{"revision", "time", "author", "entries", "message"}, rows)
}
