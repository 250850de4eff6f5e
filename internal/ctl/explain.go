package ctl

import (
	"context"
	"fmt"
	"io"
	"os"

	"github.com/urfave/cli/v3"

	"github.com/primroseladder/primroseladder/internal/story"
)

// explain prints the log lines on a request, from the named files or from standard input. It contacts neither the store nor the
// fleet.
func explain(_ context.Context, cmd *cli.Command, out io.Writer) error {
	requestID := cmd.Args().First()
	if requestID == "" {
		return fmt.Errorf("explain: argument REQUEST-ID is missing")
	}
	var lines []story.Line
	for _, path := range cmd.Args().Tail() {
		more, err := readLog(path)
		if err != nil {
			return fmt.Errorf("log %q: %w", path, err)
		}
		lines = append(lines, more...)
	}
	if cmd.Args().Len() == 1 {
		more, err := story.Read(os.Stdin)
		if err != nil {
			return fmt.Errorf("log on standard input: %w", err)
		}
		lines = more
	}
	found := story.Select(lines, requestID)
	if len(found) == 0 {
		return fmt.Errorf("none of %d log lines contains request %q", len(lines), requestID)
	}
	return story.Write(out, found)
}

func readLog(path string) ([]story.Line, error) {
	file, err := os.Open(path)
	if err != nil {
		return nil, err
	}
	defer file.Close()
	return story.Read(file)
}
