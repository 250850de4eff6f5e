// Command page reads the output of the capacity benchmarks on standard input and writes the page docs/CAPACITY.md to
// standard output.
package main

import (
	"fmt"
	"os"

	"github.com/primroseladder/primroseladder/internal/capacity"
)

func main() {
	if err := run(); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}

func run() error {
	measurements, err := capacity.Parse(os.Stdin)
	if err != nil {
		return err
	}
	page, err := capacity.NewPage(measurements)
	if err != nil {
		return err
	}
	return page.Write(os.Stdout)
}
