// Package process runs an fx application as a command, with the flags and exit codes that all processes share.
package process

import (
	"context"
	"errors"
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/rs/zerolog"
	"github.com/urfave/cli/v3"
	"go.uber.org/fx"

	"github.com/primroseladder/primroseladder/internal/logevent"
	"github.com/primroseladder/primroseladder/internal/version"
)

// Exit codes of the processes.
const (
	ExitOK          = 0
	ExitFailed      = 1
	ExitBadSettings = 2
)

// exitCodes is the section of the help text on exit codes.
const exitCodes = `Exit codes:
  0  a planned stop (SIGTERM or SIGINT) has ended, or the settings are valid
  1  the process failed, or could not start
  2  the settings are invalid; all problems are printed, and nothing was started`

const (
	startTimeout = 10 * time.Second
	stopTimeout  = 90 * time.Second
)

// Command describes the command of one process.
type Command struct {
	Name  string
	Usage string
	// SettingsVariable is the name of an environment variable with the path of the settings file, used if --config is not given.
	// It is empty if there is no such variable.
	SettingsVariable string
	// Log is the process's logger. If it is nil, log lines are written to standard error.
	Log *zerolog.Logger
	// Load reads the settings file. Its error lists all problems.
	Load func(path string) error
	// Options returns the options of the fx application. It is called after Load.
	Options func(log zerolog.Logger) fx.Option
}

// Main runs the command with the arguments of the program and returns its exit code. It returns after SIGTERM or SIGINT, once
// the application has stopped.
func Main(c Command) int {
	flag := &cli.StringFlag{Name: "config", Usage: "settings file", Required: true}
	if c.SettingsVariable != "" {
		flag.Sources = cli.EnvVars(c.SettingsVariable)
	}
	app := &cli.Command{
		Name: c.Name, Usage: c.Usage, Version: version.Version, Description: exitCodes,
		Flags:  []cli.Flag{flag},
		Action: func(_ context.Context, cmd *cli.Command) error { return run(c, cmd.String("config")) },
		Commands: []*cli.Command{{
			Name: "check-config", Usage: "check the settings file and exit",
			Action: func(_ context.Context, cmd *cli.Command) error {
				return wrapBadSettings(c.Load(cmd.String("config")))
			},
		}},
		ExitErrHandler: func(context.Context, *cli.Command, error) {},
	}
	return ExitCode(app.Run(context.Background(), os.Args))
}

// errBadSettings marks errors that are due to the settings.
var errBadSettings = errors.New("bad settings")

// wrapBadSettings joins an error of Load with errBadSettings.
func wrapBadSettings(err error) error {
	if err == nil {
		return nil
	}
	return errors.Join(errBadSettings, err)
}

// ExitCode prints the error, if any, to standard error and returns the exit code for it.
func ExitCode(err error) int {
	if err == nil {
		return ExitOK
	}
	fmt.Fprintln(os.Stderr, err)
	if errors.Is(err, errBadSettings) {
		return ExitBadSettings
	}
	return ExitFailed
}

// run loads the settings, starts the application and stops it after SIGTERM or SIGINT.
func run(c Command, path string) error {
	// A signal that arrives during the start takes effect after the start.
	stop, cancelStop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer cancelStop()
	if err := c.Load(path); err != nil {
		return wrapBadSettings(err)
	}
	log := zerolog.New(os.Stderr).With().Timestamp().Logger()
	if c.Log != nil {
		log = *c.Log
	}
	log = log.With().Str("process", c.Name).Logger()
	app := fx.New(c.Options(log), fx.NopLogger, fx.StartTimeout(startTimeout), fx.StopTimeout(stopTimeout))
	if err := app.Err(); err != nil {
		return err
	}
	startCtx, cancel := context.WithTimeout(context.Background(), startTimeout)
	defer cancel()
	if err := app.Start(startCtx); err != nil {
		return err
	}
	logevent.Started.Log(log).Send()
	<-stop.Done()
	logevent.Stopping.Log(log).Send()
	stopCtx, cancelTimeout := context.WithTimeout(context.Background(), stopTimeout)
	defer cancelTimeout()
	err := app.Stop(stopCtx)
	logevent.Stopped.Log(log).Send()
	return err
}
