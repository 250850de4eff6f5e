package ctl

import (
	"context"
	"fmt"
	"io"
	"os"

	"github.com/urfave/cli/v3"

	"github.com/primroseladder/primroseladder/internal/story"
)

// explain prints what the logs tell of a request. It needs no store.
func explain(_ context.Context, cmd *cli.Command, out io.Writer) error {
	request := cmd.Args().First()
	if request == "" {
		return fmt.Errorf("explain needs the id of a request")
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
	found := story.Select(lines, request)
	if len(found) == 0 {
		return fmt.Errorf("none of %d log lines names request %q", len(lines), request)
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
