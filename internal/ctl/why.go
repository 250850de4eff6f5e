package ctl

import (
	"context"
	"fmt"
	"io"
	"strings"

	"github.com/urfave/cli/v3"

	"github.com/primroseladder/primroseladder/internal/health"
)

// VMExplanation is the health state of a backend server on one entry VM, with the evidence for it.
type VMExplanation struct {
	VM      string `json:"vm"`
	Service string `json:"service"`
	health.Explanation
}

// why prints the health state of a backend server on each entry VM.
func why(ctx context.Context, cmd *cli.Command, out io.Writer) error {
	backend := cmd.Args().First()
	if backend == "" {
		return fmt.Errorf("why: argument BACKEND-SERVER is missing")
	}
	processes, err := targets(ctx, cmd)
	if err != nil {
		return err
	}
	statuses := queryStatuses(ctx, processes)
	list, answered := explanationsFor(backend, statuses)
	if answered == 0 {
		return fmt.Errorf("%w: no entry answers", ErrUnreachable)
	}
	p := newPrinter(cmd, out)
	return p.print(list, func() { p.explanations(backend, list, answered) })
}

// explanationsFor returns what the entries report on a backend server, and how many entries answered.
func explanationsFor(backend string, statuses []Status) (list []VMExplanation, answered int) {
	for _, s := range statuses {
		if s.Error != "" || s.Process != processEntry {
			continue
		}
		answered++
		for service, report := range s.Services {
			for _, e := range report.Backends {
				if e.Backend == backend {
					list = append(list, VMExplanation{s.VM, service, e})
				}
			}
		}
	}
	return list, answered
}

func (p *printer) explanations(backend string, list []VMExplanation, answered int) {
	if len(list) == 0 {
		p.line("none of %d entries has had work for %s", answered, backend)
		return
	}
	var rows [][]string
	for _, r := range list {
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

// evidence lists the scores of the VMs that have evidence on the backend server.
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
