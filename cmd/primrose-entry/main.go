// Command primrose-entry accepts callers' requests and sends them to backend servers.
package main

import (
	"os"

	"github.com/rs/zerolog"
	"go.uber.org/fx"

	"github.com/primroseladder/primroseladder/internal/entry"
	"github.com/primroseladder/primroseladder/internal/process"
	"github.com/primroseladder/primroseladder/internal/settings"
)

func main() {
	s := entry.DefaultSettings()
	os.Exit(process.Main(process.Command{
		Name: "primrose-entry", Usage: "send callers' requests to backend servers",
		Load:    func(path string) error { return settings.Load(path, s) },
		Options: func(log zerolog.Logger) fx.Option { return entry.Module(s, log) },
	}))
}
