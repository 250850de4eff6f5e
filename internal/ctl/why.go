package ctl

import (
	"context"
	"fmt"
	"io"
	"strings"

	"github.com/urfave/cli/v3"

	"github.com/primroseladder/primroseladder/internal/health"
)

// VMExplanation is what one entry VM holds of a backend server.
type VMExplanation struct {
	VM      string `json:"vm"`
	Service string `json:"service"`
	health.Explanation
}

// why prints what each entry VM holds of a backend server.
func why(ctx context.Context, cmd *cli.Command, out io.Writer) error {
	backend := cmd.Args().First()
	if backend == "" {
		return fmt.Errorf("name a backend server")
	}
	list, err := targets(ctx, cmd)
	if err != nil {
		return err
	}
	statuses := queryStatuses(ctx, list)
	reasons, answered := explanationsFor(backend, statuses)
	if answered == 0 {
		return fmt.Errorf("%w: no entry answers", ErrUnreachable)
	}
	p := newPrinter(cmd, out)
	return p.print(reasons, func() { p.explanations(backend, reasons, answered) })
}

func explanationsFor(backend string, statuses []Status) (reasons []VMExplanation, answered int) {
	for _, s := range statuses {
		if s.Error != "" || s.Process != processEntry {
			continue
		}
		answered++
		for service, report := range s.Services {
			for _, e := range report.Backends {
				if e.Backend == backend {
					reasons = append(reasons, VMExplanation{s.VM, service, e})
				}
			}
		}
	}
	return reasons, answered
}

func (p *printer) explanations(backend string, reasons []VMExplanation, answered int) {
	if len(reasons) == 0 {
		p.line("none of %d entries has had work for %s", answered, backend)
		return
	}
	var rows [][]string
	for _, r := range reasons {
		until := "-"
		if r.Until != nil {
			until = r.Until.Format("15:04:05")
		}
		rows = append(rows, []string{
			r.VM, r.Service, r.State, valueOrNone(r.Kind), valueOrNone(r.Scope), until, r.note(), r.evidence(),
		})
	}
	p.table([]string{"vm", "service", "standing", "kind", "scope", "until", "note", "evidence"}, rows)
}

func (r *VMExplanation) note() string {
	switch {
	case r.KeptInByFloor:
		return "kept in by the floor"
	case r.Draining:
		return "draining"
	case r.Ejections > 1:
		return fmt.Sprintf("out %d times in a row", r.Ejections)
	}
	return "-"
}

// evidence lists the scores of the VMs that have any.
func (r *VMExplanation) evidence() string {
	var parts []string
	for _, o := range r.Observers {
		part := fmt.Sprintf("%s failing %.2f slow %.2f", o.VM, o.Failing, o.Slow)
		if o.Distrusted {
			part += " (distrusted)"
		}
		parts = append(parts, part)
	}
	if len(parts) == 0 {
		return "-"
	}
	return strings.Join(parts, "; ")
}
