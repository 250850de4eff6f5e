package scenario

import (
	"os"
	"path/filepath"
	"strings"

	"github.com/rogpeppe/go-internal/txtar"
)

// The commands kill and stop stand for other things in testscript, which does not let them be replaced. Prepare
// writes them as these words.
const (
	testscriptKill = "process-kill"
	testscriptStop = "process-stop"
)

// Prepare copies the scenarios into a folder in the form that testscript reads, line for line, and returns the copies.
func Prepare(files []string, into string) ([]string, error) {
	var out []string
	for _, file := range files {
		archive, err := txtar.ParseFile(file)
		if err != nil {
			return nil, err
		}
		archive.Comment = []byte(renameCommands(string(archive.Comment)))
		path := filepath.Join(into, filepath.Base(file))
		if err := os.WriteFile(path, txtar.Format(archive), 0o600); err != nil {
			return nil, err
		}
		out = append(out, path)
	}
	return out, nil
}

func renameCommands(script string) string {
	lines := strings.Split(script, "\n")
	for i, line := range lines {
		negation, rest := "", line
		if after, found := strings.CutPrefix(line, "! "); found {
			negation, rest = "! ", after
		}
		if command, after, found := strings.Cut(rest, " "); found {
			lines[i] = negation + testscriptName(command) + " " + after
		}
	}
	return strings.Join(lines, "\n")
}

// testscriptName returns the word under which testscript knows a command.
func testscriptName(command string) string {
	switch command {
	case "kill":
		return testscriptKill
	case "stop":
		return testscriptStop
	default:
		return command
	}
}
