// Command tool runs one of the measurements of package measure and writes its table and its JSON file.
// scripts/measure.sh runs all of them and starts the fleet.
package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"

	"github.com/urfave/cli/v3"

	"github.com/primroseladder/primroseladder/internal/measure"
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	flags := []cli.Flag{
		&cli.IntFlag{Name: "seeds", Usage: "number of runs for each row", Value: 5},
		&cli.StringFlag{Name: "out", Usage: "directory for the results", Required: true},
	}
	app := &cli.Command{
		Name: "measure", Usage: "run the measurements that the users asked for",
		Commands: []*cli.Command{
			{Name: "policies", Usage: "compare ejection policies in virtual time", Flags: flags, Action: comparePolicies},
			{Name: "curve", Usage: "compare detection times and false ejections at several sensitivities", Flags: flags, Action: measureCurve},
			{Name: "quiet", Usage: "count false ejections without a fault", Flags: flags, Action: measureNoFault},
			{Name: "placement", Usage: "compare placements in virtual time", Flags: flags, Action: comparePlacement},
			{Name: "fleet", Usage: "inject faults into a running fleet", Action: measureFleet, Flags: append([]cli.Flag{
				&cli.StringFlag{Name: "vms", Required: true},
				&cli.StringSliceFlag{Name: "keepers", Required: true},
				&cli.StringSliceFlag{Name: "services", Required: true},
				&cli.StringFlag{Name: "journals", Required: true},
			}, flags...)},
		},
	}
	if err := app.Run(ctx, os.Args); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}

func comparePolicies(_ context.Context, cmd *cli.Command) error {
	rows := measure.ComparePolicies(cmd.Int("seeds"))
	return save(cmd, "policies", rows, func(w io.Writer) error { return measure.WritePolicies(w, rows) })
}

func measureCurve(_ context.Context, cmd *cli.Command) error {
	points := measure.MeasureCurve(cmd.Int("seeds"))
	if err := write(cmd, "curve.svg", func(w io.Writer) error { return measure.WritePlot(w, points) }); err != nil {
		return err
	}
	return save(cmd, "curve", points, func(w io.Writer) error { return measure.WriteCurve(w, points) })
}

func measureNoFault(_ context.Context, cmd *cli.Command) error {
	rows := measure.MeasureNoFault(cmd.Int("seeds"))
	return save(cmd, "quiet", rows, func(w io.Writer) error { return measure.WriteNoFault(w, rows) })
}

func comparePlacement(_ context.Context, cmd *cli.Command) error {
	rows := measure.ComparePlacement(cmd.Int("seeds"))
	return save(cmd, "placement", rows, func(w io.Writer) error { return measure.WritePlacement(w, rows) })
}

func measureFleet(ctx context.Context, cmd *cli.Command) error {
	f := &measure.Fleet{
		VMListURL: cmd.String("vms"), Services: cmd.StringSlice("services"), JournalDir: cmd.String("journals"), Seeds: cmd.Int("seeds"),
	}
	for _, address := range cmd.StringSlice("keepers") {
		f.KeeperURLs = append(f.KeeperURLs, "http://"+address)
	}
	rows, err := f.Measure(ctx)
	if err != nil {
		return err
	}
	return save(cmd, "fleet", rows, func(w io.Writer) error { return measure.WriteFleet(w, rows) })
}

// save writes rows to NAME.json and their table, a part of the page, to NAME.part.
func save(cmd *cli.Command, name string, rows any, table func(io.Writer) error) error {
	content, err := json.MarshalIndent(rows, "", " ")
	if err != nil {
		return err
	}
	if err := os.WriteFile(filepath.Join(cmd.String("out"), name+".json"), append(content, '\n'), 0o644); err != nil {
		return err
	}
	return write(cmd, name+".part", table)
}

func write(cmd *cli.Command, name string, render func(io.Writer) error) error {
	file, err := os.Create(filepath.Join(cmd.String("out"), name))
	if err != nil {
		return err
	}
	defer file.Close()
	return render(file)
}
