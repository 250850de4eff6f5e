package ctl

import (
	_ "embed"
	"fmt"
	"io"
)

// ExampleEntry and ExampleKeeper are commented settings of the processes, ExampleCatalogue is a commented catalogue entry.
var (
	//go:embed example-entry.yaml
	ExampleEntry string
	//go:embed example-keeper.yaml
	ExampleKeeper string
	//go:embed example-catalogue.yaml
	ExampleCatalogue string
)

// exampleConfig prints the example of the given kind.
func exampleConfig(kind string, out io.Writer) error {
	examples := map[string]string{"entry": ExampleEntry, "keeper": ExampleKeeper, "catalogue": ExampleCatalogue}
	text, found := examples[kind]
	if !found {
		return fmt.Errorf("example-config: argument must be entry, keeper or catalogue")
	}
	_, err := io.WriteString(out, text)
	return err
}
