package ctl

import (
	"encoding/json"
	"fmt"
	"io"
	"strings"
	"text/tabwriter"

	"github.com/urfave/cli/v3"
)

// Values of the flag --output.
const (
	outputTable = "table"
	outputJSON  = "json"
)

// printer writes results in the format selected by --output.
type printer struct {
	out    io.Writer
	asJSON bool
}

func newPrinter(cmd *cli.Command, out io.Writer) *printer {
	return &printer{out: out, asJSON: cmd.String("output") == outputJSON}
}

// print writes the value as indented JSON, or calls table to write it as text.
func (p *printer) print(value any, table func()) error {
	if !p.asJSON {
		table()
		return nil
	}
	encoder := json.NewEncoder(p.out)
	encoder.SetIndent("", "  ")
	return encoder.Encode(value)
}

// line writes a line of text. It does nothing if the output is JSON.
func (p *printer) line(format string, values ...any) {
	if !p.asJSON {
		fmt.Fprintf(p.out, format+"\n", values...)
	}
}

// table writes rows in aligned columns under a heading in capitals.
func (p *printer) table(heading []string, rows [][]string) {
	w := tabwriter.NewWriter(p.out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, strings.ToUpper(strings.Join(heading, "\t")))
	for _, row := range rows {
		fmt.Fprintln(w, strings.Join(row, "\t"))
	}
	_ = w.Flush()
}
