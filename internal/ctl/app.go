// Package ctl implements primrosectl, the operators' command line: it edits the accepted catalogue in the store and inspects
// the processes of the fleet.
package ctl

import (
	"context"
	"fmt"
	"io"
	"os"
	"time"

	"github.com/urfave/cli/v3"

	"github.com/primroseladder/primroseladder/internal/load"
	"github.com/primroseladder/primroseladder/internal/store"
	"github.com/primroseladder/primroseladder/internal/version"
)

// action runs a command and writes its result to out.
type action func(ctx context.Context, cmd *cli.Command, out io.Writer) error

// bind returns the action as a cli.ActionFunc that writes to out.
func (a action) bind(out io.Writer) cli.ActionFunc {
	return func(ctx context.Context, cmd *cli.Command) error { return a(ctx, cmd, out) }
}

// The functions below return flags that several commands share.

func storeFlag() cli.Flag {
	return &cli.StringFlag{Name: "store", Usage: "base URL of the platform's key-value service", Sources: cli.EnvVars("PRIMROSE_STORE")}
}

func vmsFlag() cli.Flag {
	return &cli.StringFlag{Name: "vms", Usage: "base URL of the platform's VM list", Sources: cli.EnvVars("PRIMROSE_VMS")}
}

func operatorsFlag() cli.Flag {
	return &cli.StringSliceFlag{
		Name: "operators", Usage: "addresses of operators' listeners, used instead of those in the VM list",
		Sources: cli.EnvVars("PRIMROSE_OPERATORS"),
	}
}

func outputFlag() cli.Flag {
	return &cli.StringFlag{
		Name: "output", Aliases: []string{"o"}, Value: outputTable, Usage: "table or json",
		Validator: func(value string) error {
			if value != outputTable && value != outputJSON {
				return fmt.Errorf("must be table or json")
			}
			return nil
		},
	}
}

func baseFlag() cli.Flag {
	return &cli.IntFlag{Name: "base-revision", Usage: "refuse the change if one of its entries was changed after this revision"}
}

func entryFlag() cli.Flag {
	return &cli.StringSliceFlag{Name: "entry", Usage: "use only the entry of this service from the folder"}
}

func withoutKeepersFlag() cli.Flag {
	return &cli.BoolFlag{Name: "without-keepers", Usage: "skip the comparison of the store with the fleet"}
}

// App returns the root command of primrosectl, whose commands write to out.
func App(out io.Writer) *cli.Command {
	return &cli.Command{
		Name: "primrosectl", Usage: "edit the catalogue and inspect the fleet", Version: version.Version, Writer: out,
		Description:    exitCodes,
		ExitErrHandler: func(context.Context, *cli.Command, error) {},
		Commands:       append(catalogueCommands(out), append(fleetCommands(out), load.Command(out, vmsFlag()))...),
	}
}

// catalogueCommands returns the commands that read or change the accepted catalogue.
func catalogueCommands(out io.Writer) []*cli.Command {
	return []*cli.Command{
		{
			Name: "validate", Usage: "check a folder or a file of catalogue entries", ArgsUsage: "PATH",
			Flags: []cli.Flag{outputFlag()}, Action: action(validate).bind(out),
		},
		{
			Name: "diff", Usage: "show what apply would change", ArgsUsage: "PATH",
			Flags: []cli.Flag{storeFlag(), entryFlag(), outputFlag()}, Action: action(diff).bind(out),
		},
		{
			Name: "apply", ArgsUsage: "PATH",
			Usage: "replace the whole catalogue with a folder, or only the entries that a file contains",
			Flags: []cli.Flag{
				storeFlag(), vmsFlag(), operatorsFlag(), outputFlag(), entryFlag(), baseFlag(), withoutKeepersFlag(),
				&cli.StringFlag{Name: "author", Value: os.Getenv("USER")},
				&cli.StringFlag{Name: "message", Aliases: []string{"m"}, Usage: "reason for the change, shown in the history"},
				&cli.BoolFlag{Name: "wait", Usage: "wait until the change is in force everywhere"},
				&cli.DurationFlag{Name: "timeout", Value: 6 * time.Second, Usage: "how long to wait with --wait"},
				&cli.DurationFlag{Name: "settle", Value: defaultSettleTime, Usage: "how long to retry a write that got no answer"},
			},
			Action: action(apply).bind(out),
		},
		{
			Name: "get", Usage: "print the accepted entries of all or the named services as YAML for apply", ArgsUsage: "[SERVICE...]",
			Flags: []cli.Flag{storeFlag(), outputFlag()}, Action: action(get).bind(out),
		},
		{
			Name: "history", Usage: "print accepted changes, newest first", ArgsUsage: "[SERVICE]",
			Flags: []cli.Flag{storeFlag(), outputFlag(), &cli.IntFlag{Name: "limit", Value: 20}}, Action: action(history).bind(out),
		},
		{
			Name: "repair", Usage: "compare the store with the fleet's history after a restore, and with --yes replace what differs",
			Flags: []cli.Flag{
				storeFlag(), vmsFlag(), operatorsFlag(), outputFlag(),
				&cli.BoolFlag{Name: "yes", Usage: "replace the store's changes that differ; without it nothing is written"},
			},
			Action: action(repair).bind(out),
		},
		{
			Name: "example-config", Usage: "print a commented settings file or catalogue entry", ArgsUsage: "entry|keeper|catalogue",
			Action: func(_ context.Context, cmd *cli.Command) error { return exampleConfig(cmd.Args().First(), out) },
		},
	}
}

// fleetCommands returns the commands that inspect the processes, the VM list and the logs.
func fleetCommands(out io.Writer) []*cli.Command {
	flags := func() []cli.Flag { return []cli.Flag{vmsFlag(), operatorsFlag(), outputFlag()} }
	return []*cli.Command{
		{
			Name: "status", Usage: "print the revision of each process", Flags: flags(), Action: action(status).bind(out),
		},
		{
			Name: "why", Usage: "show why a backend server is in or out of service", ArgsUsage: "BACKEND-SERVER",
			Flags: flags(), Action: action(why).bind(out),
		},
		{
			Name: "locate", Usage: "show which entry VMs serve a service", ArgsUsage: "SERVICE",
			Flags: flags(), Action: action(locate).bind(out),
		},
		{
			Name: "explain", ArgsUsage: "REQUEST-ID [LOG-FILE...]",
			Usage:  "print the log lines of a request, from log files of all VMs or from standard input",
			Action: action(explain).bind(out),
		},
	}
}

// validate checks entries without contacting the store.
func validate(_ context.Context, cmd *cli.Command, out io.Writer) error {
	in, err := readInput(cmd)
	if err != nil {
		return err
	}
	newPrinter(cmd, out).line("%d entries are valid", len(in.entries))
	return nil
}

// diff prints what apply would change and checks the resulting catalogue. It writes nothing to the store.
func diff(ctx context.Context, cmd *cli.Command, out io.Writer) error {
	in, err := readInput(cmd)
	if err != nil {
		return err
	}
	state, err := readCatalogue(ctx, store.NewClient(cmd.String("store")))
	if err != nil {
		return err
	}
	change, err := buildChange(state, in.entries, in.isWholeCatalogue)
	if err != nil {
		return err
	}
	if err := checkResult(state, change); err != nil {
		return err
	}
	list := differences(state, change)
	p := newPrinter(cmd, out)
	return p.print(list, func() {
		p.differences(list)
		p.line("%d entries differ from revision %d", len(list), state.Revision())
	})
}
