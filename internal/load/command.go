package load

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"text/tabwriter"
	"time"

	"github.com/urfave/cli/v3"

	"github.com/primroseladder/primroseladder/client"
	"github.com/primroseladder/primroseladder/internal/fleet"
	"github.com/primroseladder/primroseladder/internal/standin/backendserver"
	"github.com/primroseladder/primroseladder/internal/vmlist"
)

// ErrNotAccounted means that the audit found a request whose outcome contradicts the runs of the backend servers.
var ErrNotAccounted = errors.New("not every request is accounted for")

// Command returns the command loadtest, which writes to out. The flag vms gives the base URL of the VM list. The audit needs
// the stand-in backend servers, which record their runs.
func Command(out io.Writer, vms cli.Flag) *cli.Command {
	return &cli.Command{
		Name: "loadtest", Usage: "send open-loop load and audit it against the stand-in backend servers",
		Flags: []cli.Flag{
			vms,
			&cli.StringSliceFlag{Name: "keepers", Usage: "callers' listeners of keepers", Required: true},
			&cli.StringFlag{Name: "region", Usage: "region of the callers; all regions if not set"},
			&cli.StringFlag{Name: "service", Required: true},
			&cli.StringFlag{Name: "target", Usage: "path of the requests", Required: true},
			&cli.FloatFlag{Name: "rate", Usage: "requests per second", Value: 100},
			&cli.DurationFlag{Name: "duration", Value: 10 * time.Second},
			&cli.IntFlag{Name: "non-idempotent", Usage: "percentage of requests that are POSTs with an idempotency key", Value: 50},
			&cli.IntFlag{Name: "organisations", Value: 20},
			&cli.Uint64Flag{Name: "seed", Value: 1},
			&cli.DurationFlag{Name: "timeout", Value: 3 * time.Second},
			&cli.StringFlag{Name: "output", Usage: "table or json", Value: "table"},
		},
		Action: func(ctx context.Context, cmd *cli.Command) error { return runCommand(ctx, cmd, out) },
	}
}

// Summary is the JSON output of loadtest. Latencies are in microseconds; the added ones exclude the time in the backend server.
type Summary struct {
	Audit      Audit            `json:"audit"`
	AddedP50US int64            `json:"added_p50_us"`
	AddedP99US int64            `json:"added_p99_us"`
	P50US      int64            `json:"p50_us"`
	P99US      int64            `json:"p99_us"`
	Backends   []BackendSummary `json:"backends"`
	// Reasons counts the requests by the reason that their callers received, if any.
	Reasons map[string]int `json:"reasons"`
}

// BackendSummary describes the requests that one backend server ran.
type BackendSummary struct {
	Name string `json:"name"`
	Runs int    `json:"runs"`
	// LastWork is when the last request that was not a trial arrived.
	LastWork time.Time `json:"last_work"`
	// FaultAt is when a fault was set. It is zero for a healthy backend server.
	FaultAt time.Time `json:"sick_at"`
}

// runCommand sends the load, audits it and prints the summary. It returns ErrNotAccounted if the audit is not clean.
func runCommand(ctx context.Context, cmd *cli.Command, out io.Writer) error {
	list, err := vmlist.NewClient(cmd.String("vms")).Wait(ctx, 0, 0)
	if err != nil {
		return err
	}
	keepers := cmd.StringSlice("keepers")
	for i := range keepers {
		keepers[i] = "http://" + keepers[i]
	}
	view := fleet.NewView(list.Index, list.VMs)
	regions := view.Regions()
	if region := cmd.String("region"); region != "" {
		regions = []string{region}
	}
	clients := NewClients(regions, client.Settings{Keepers: keepers})
	report := Run(ctx, clients, Plan{
		Service: cmd.String("service"), Target: cmd.String("target"), Rate: cmd.Float("rate"),
		Duration: cmd.Duration("duration"), NonIdempotentPercent: cmd.Int("non-idempotent"),
		Organisations: cmd.Int("organisations"), Seed: cmd.Uint64("seed"), Timeout: cmd.Duration("timeout"),
	})
	servers := view.Backends[cmd.String("service")]
	runs, unreachable := FetchRuns(ctx, servers)
	summary := newSummary(report, runs)
	summary.Audit.Unreachable = unreachable
	if cmd.String("output") == "json" {
		if err := json.NewEncoder(out).Encode(summary); err != nil {
			return err
		}
	} else {
		summary.print(out)
	}
	if !summary.Audit.IsClean() {
		return ErrNotAccounted
	}
	return nil
}

// newSummary audits the report against the runs and summarises both.
func newSummary(r *Report, runs []backendserver.Runs) Summary {
	s := Summary{
		Audit:      AuditRequests(r.Requests, runs),
		AddedP50US: r.Added.ValueAtQuantile(50), AddedP99US: r.Added.ValueAtQuantile(99),
		P50US: r.Latency.ValueAtQuantile(50), P99US: r.Latency.ValueAtQuantile(99),
		Reasons: map[string]int{},
	}
	for _, b := range runs {
		s.Backends = append(s.Backends, BackendSummary{b.Name, b.Total, b.LastWork, b.FaultFrom})
	}
	for _, sent := range r.Requests {
		if sent.Reason != "" {
			s.Reasons[sent.Reason]++
		}
	}
	return s
}

// print writes the summary as text. The time from a backend server's fault to its last request is negative if no request
// arrived after the fault.
func (s Summary) print(out io.Writer) {
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	defer w.Flush()
	fmt.Fprintf(w, "sent\t%d\n", s.Audit.Sent)
	fmt.Fprintf(w, "served\t%d\n", s.Audit.Served)
	fmt.Fprintf(w, "refused (not run)\t%d\n", s.Audit.Refused)
	fmt.Fprintf(w, "outcome unknown\t%d\n", s.Audit.Unknown)
	fmt.Fprintf(w, "run twice\t%d\n", s.Audit.RunTwice)
	fmt.Fprintf(w, "called not run, but ran\t%d\n", s.Audit.FalseNotRun)
	fmt.Fprintf(w, "called done, but not whole or never ran\t%d\n", s.Audit.AnswerMismatch+s.Audit.FalseDone)
	fmt.Fprintf(w, "added latency p50 / p99\t%.2f ms / %.2f ms\n", float64(s.AddedP50US)/1000, float64(s.AddedP99US)/1000)
	for reason, n := range s.Reasons {
		fmt.Fprintf(w, "reason %s\t%d\n", reason, n)
	}
	for _, b := range s.Backends {
		if !b.FaultAt.IsZero() {
			fmt.Fprintf(w, "%s is sick: last work after\t%d ms\n", b.Name, b.LastWork.Sub(b.FaultAt).Milliseconds())
		}
	}
	accounted := s.Audit.Sent - s.Audit.RunTwice - s.Audit.FalseNotRun - s.Audit.AnswerMismatch - s.Audit.FalseDone
	fmt.Fprintf(w, "accounted for\t%d of %d\n", accounted, s.Audit.Sent)
}
