// Command primrosectl edits the accepted catalogue and inspects the fleet.
package main

import (
	"context"
	"fmt"
	"os"

	"github.com/primroseladder/primroseladder/internal/ctl"
)

func main() {
	err := ctl.App(os.Stdout).Run(context.Background(), os.Args)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
	}
	os.Exit(ctl.ExitCode(err))
}
