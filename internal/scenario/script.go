package scenario

import (
	"os"
	"path/filepath"
	"strings"

	"github.com/rogpeppe/go-internal/txtar"
)

// The commands kill and stop have other meanings in testscript, which does not allow redefining its commands. Prepare
// replaces them by these names.
const (
	testscriptKill = "process-kill"
	testscriptStop = "process-stop"
)

// Prepare copies scenario files into a folder, with the commands renamed for testscript, and returns the paths of the
// copies. Line numbers stay the same.
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

// renameCommands replaces the command names that testscript reserves in each line that has an argument.
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

// testscriptName returns the name under which a command is registered in testscript.
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
