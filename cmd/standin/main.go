// Command standin simulates the platform or a backend server in tests and in the demo.
package main

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/gorilla/mux"
	"github.com/rs/zerolog"
	"github.com/urfave/cli/v3"

	"github.com/primroseladder/primroseladder/internal/fleet"
	"github.com/primroseladder/primroseladder/internal/standin/backendserver"
	"github.com/primroseladder/primroseladder/internal/standin/control"
	"github.com/primroseladder/primroseladder/internal/standin/kv"
	"github.com/primroseladder/primroseladder/internal/standin/vms"
	"github.com/primroseladder/primroseladder/internal/version"
)

func main() {
	listen := &cli.StringFlag{Name: "listen", Usage: "address to listen on, as host:port", Required: true}
	app := &cli.Command{
		Name: "standin", Usage: "simulate the platform or a backend server", Version: version.Version,
		Commands: []*cli.Command{
			{
				Name: "platform", Usage: "serve the key-value service and the VM list",
				Flags:  []cli.Flag{listen, &cli.StringFlag{Name: "vms", Usage: "JSON file with the initial VM list", Required: true}},
				Action: runPlatform,
			},
			{
				Name: "backend", Usage: "serve as one backend server",
				Flags: []cli.Flag{
					listen,
					&cli.StringFlag{Name: "name", Usage: "name of the VM", Required: true},
					&cli.IntFlag{Name: "slots", Usage: "number of requests that run concurrently", Value: 4},
					&cli.DurationFlag{Name: "service-time", Usage: "mean service time of a request", Value: 10 * time.Millisecond},
					&cli.IntFlag{Name: "answer-bytes", Usage: "mean length of the padding of an answer, in bytes"},
					&cli.DurationFlag{Name: "connection-cost", Usage: "delay of a new connection before its first request is read"},
					&cli.DurationFlag{Name: "probe-cost", Usage: "time that a health probe takes"},
					&cli.IntFlag{Name: "max-connections", Usage: "number of concurrent connections; those above it are counted", Value: 360},
					&cli.StringFlag{Name: "journal", Usage: "file to which a line is appended for each run"},
				},
				Action: runBackend,
			},
			control.AwaitCommand(),
			control.FaultCommand(),
		},
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	if err := app.Run(ctx, os.Args); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}

// runPlatform serves the key-value service and the VM list until ctx ends.
func runPlatform(ctx context.Context, cmd *cli.Command) error {
	content, err := os.ReadFile(cmd.String("vms"))
	if err != nil {
		return err
	}
	var list []fleet.VM
	if err := json.Unmarshal(content, &list); err != nil {
		return fmt.Errorf("%s: %w", cmd.String("vms"), err)
	}
	router := mux.NewRouter()
	kv.New().Register(router)
	vms.New(list).Register(router)
	listener, err := net.Listen("tcp", cmd.String("listen"))
	if err != nil {
		return err
	}
	return serve(ctx, listener, router)
}

// runBackend serves as a backend server until ctx ends.
func runBackend(ctx context.Context, cmd *cli.Command) error {
	connections := &backendserver.ConnectionCounter{Limit: cmd.Int("max-connections"), Cost: cmd.Duration("connection-cost")}
	settings := backendserver.Settings{
		Name: cmd.String("name"), Slots: cmd.Int("slots"), ServiceTime: cmd.Duration("service-time"),
		MeanAnswerBytes: cmd.Int("answer-bytes"), ProbeCost: cmd.Duration("probe-cost"), Connections: connections,
		Crash: func() { os.Exit(1) },
		OnOverrun: func(drawn, took time.Duration) {
			log := zerolog.New(os.Stdout).With().Timestamp().Logger()
			log.Warn().Dur("drawn_ms", drawn).Dur("took_ms", took).Msg("the request took longer than its drawn service time")
		},
	}
	if path := cmd.String("journal"); path != "" {
		journal, err := os.OpenFile(path, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
		if err != nil {
			return err
		}
		defer journal.Close()
		settings.Journal = journal
	}
	listener, err := net.Listen("tcp", cmd.String("listen"))
	if err != nil {
		return err
	}
	return serve(ctx, connections.Listen(listener), backendserver.New(settings).Handler())
}

// serve serves HTTP until ctx ends.
func serve(ctx context.Context, listener net.Listener, handler http.Handler) error {
	server := &http.Server{Handler: handler, ReadHeaderTimeout: 5 * time.Second}
	stop := context.AfterFunc(ctx, func() { _ = server.Close() })
	defer stop()
	if err := server.Serve(listener); err != nil && ctx.Err() == nil {
		return err
	}
	return nil
}
