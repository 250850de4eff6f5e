// Command primrose-keeper follows the catalogue and the VM list, and answers callers that ask which VMs to use.
package main

import (
	"os"

	"github.com/rs/zerolog"
	"go.uber.org/fx"

	"github.com/primroseladder/primroseladder/internal/keeper"
	"github.com/primroseladder/primroseladder/internal/process"
	"github.com/primroseladder/primroseladder/internal/settings"
)

func main() {
	keeper.SetGCPercent()
	s := keeper.DefaultSettings()
	os.Exit(process.Main(process.Command{
		Name: "primrose-keeper", Usage: "follow the catalogue and the VM list, and answer callers that ask which VMs to use",
		Load:    func(path string) error { return settings.Load(path, s) },
		Options: func(log zerolog.Logger) fx.Option { return keeper.Module(s, log) },
	}))
}
