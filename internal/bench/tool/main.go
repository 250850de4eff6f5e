// Command tool runs the benchmark of package bench against the processes that scripts/bench.sh starts.
package main

import (
	"context"
	"encoding/json"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/urfave/cli/v3"

	"github.com/primroseladder/primroseladder/internal/bench"
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	app := &cli.Command{
		Name: "bench", Usage: "measure the latency that an entry adds to a request, and its throughput",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "one-core", Usage: "listener for callers of an entry that is limited to one core", Required: true},
			&cli.IntFlag{Name: "one-core-pid", Required: true},
			&cli.StringFlag{Name: "all-cores", Usage: "listener for callers of an entry that may use all cores", Required: true},
			&cli.IntFlag{Name: "all-cores-pid", Required: true},
			&cli.StringSliceFlag{Name: "direct", Usage: "addresses of the backend servers", Required: true},
			&cli.StringFlag{Name: "path", Required: true},
			&cli.Uint64Flag{Name: "seed", Value: 1},
			&cli.StringFlag{Name: "json", Usage: "file for the report", Required: true},
		},
		Action: run,
	}
	if err := app.Run(ctx, os.Args); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}

func run(ctx context.Context, cmd *cli.Command) error {
	report, err := bench.Measure(ctx, bench.Target{
		OneCoreAddress: cmd.String("one-core"), OneCorePID: cmd.Int("one-core-pid"), AllCoresAddress: cmd.String("all-cores"),
		AllCoresPID: cmd.Int("all-cores-pid"), BackendAddresses: cmd.StringSlice("direct"), Path: cmd.String("path"), Seed: cmd.Uint64("seed"),
	})
	if err != nil {
		return err
	}
	content, err := json.MarshalIndent(report, "", "  ")
	if err != nil {
		return err
	}
	if err := os.WriteFile(cmd.String("json"), append(content, '\n'), 0o644); err != nil {
		return err
	}
	return report.Write(os.Stdout)
}
