// Command primrose-gateway serves callers' requests on a VM of the users' platform.
package main

import (
	"context"
	"os"

	"github.com/rs/zerolog"
	"go.uber.org/fx"

	"github.com/primroseladder/primroseladder/internal/gateway"
	"github.com/primroseladder/primroseladder/internal/hangup"
	"github.com/primroseladder/primroseladder/internal/listen"
	"github.com/primroseladder/primroseladder/internal/logsink"
	"github.com/primroseladder/primroseladder/internal/process"
	"github.com/primroseladder/primroseladder/platform"
)

func main() {
	var settings *gateway.Settings
	var path string
	sink := logsink.New(os.Stdout)
	code := process.Main(process.Command{
		Name: "primrose-gateway", Usage: "serve callers' requests on a VM of the users' platform",
		SettingsVariable: platform.SettingsVariable, Log: &sink.Log,
		Load: func(file string) (err error) {
			path = file
			settings, err = platform.LoadSettings(path)
			return err
		},
		Options: func(log zerolog.Logger) fx.Option {
			adapter := platform.New(settings)
			adapter.LogLinesDropped = sink.Dropped
			return fx.Options(
				gateway.Module(adapter, log.With().Str("vm", settings.VM).Logger()),
				fx.Invoke(func(lc fx.Lifecycle) {
					listen.Background(lc, sink.Run)
					reload := func() {
						adapter.Settings.Reload(func() (*gateway.Settings, error) { return platform.LoadSettings(path) }, log)
					}
					listen.Background(lc, func(ctx context.Context) { process.WatchSettings(ctx, path, hangup.Signals(), reload) })
				}),
			)
		},
	})
	sink.Flush()
	os.Exit(code)
}
