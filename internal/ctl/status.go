package ctl

import (
	"context"
	"fmt"
	"io"
	"strconv"
	"time"

	"github.com/urfave/cli/v3"
)

// status prints the revision of each process. It fails if no process answers.
func status(ctx context.Context, cmd *cli.Command, out io.Writer) error {
	list, err := targets(ctx, cmd)
	if err != nil {
		return err
	}
	statuses := queryStatuses(ctx, list)
	p := newPrinter(cmd, out)
	if err := p.print(statuses, func() { p.statuses(statuses) }); err != nil {
		return err
	}
	for _, s := range statuses {
		if s.Error == "" {
			return nil
		}
	}
	return fmt.Errorf("%w: no process answers", ErrUnreachable)
}

// statuses prints one row for each process, and how many have the newest revision that any of them reports.
func (p *printer) statuses(list []Status) {
	var rows [][]string
	var newest uint64
	for _, s := range list {
		newest = max(newest, s.Revision)
	}
	behind := 0
	for _, s := range list {
		if s.Error != "" || s.Revision < newest {
			behind++
		}
		rows = append(rows, []string{s.name(), s.Zone, formatRevision(s), formatReadAge(s), statusNote(s, newest)})
	}
	p.table([]string{"process", "zone", "revision", "confirmed", "note"}, rows)
	p.line("revision %d is in force on %d of %d processes", newest, len(list)-behind, len(list))
}

func formatRevision(s Status) string {
	if s.Error != "" {
		return "-"
	}
	return strconv.FormatUint(s.Revision, 10)
}

// formatReadAge returns how long ago the store confirmed the revision of the process, rounded to 100 ms, or "-" if
// unknown.
func formatReadAge(s Status) string {
	if s.StoreReadAgeMS == nil || *s.StoreReadAgeMS < 0 {
		return "-"
	}
	age := time.Duration(*s.StoreReadAgeMS) * time.Millisecond
	return age.Round(100*time.Millisecond).String() + " ago"
}

// statusNote returns the most important deviation of a process from normal operation, or an empty string.
func statusNote(s Status, newest uint64) string {
	switch {
	case s.Error != "":
		return "no answer"
	case s.Forked > 0:
		return fmt.Sprintf("revision %d has two histories", s.Forked)
	case s.StoreBehind > 0:
		return fmt.Sprintf("the store lacks %d changes", s.StoreBehind)
	case s.Ready != nil && !*s.Ready:
		return "starting"
	case s.Revision < newest:
		return "behind"
	case s.Watcher:
		return "watches the store"
	}
	return ""
}
