package scenario

import (
	"os"
	"path/filepath"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"
)

func TestComparison(t *testing.T) {
	tests := []struct {
		text      string
		satisfied bool
	}{
		{"served=10", true},
		{"served!=10", false},
		{"served>=100%", true},
		{"served>100%", false},
		{"served<=9", false},
		{"served<11", true},
	}
	for _, test := range tests {
		c, err := parseComparison(test.text)
		qt.Assert(t, err, qt.IsNil)
		qt.Check(t, c.checkNumber(10, 10) == nil, qt.Equals, test.satisfied, qt.Commentf(test.text))
	}
	for _, text := range []string{"served", "", "served?1"} {
		_, err := parseComparison(text)
		qt.Check(t, err, qt.IsNotNil, qt.Commentf(text))
	}
}

func TestRenameCommandsKeepsLinesAndOtherCommands(t *testing.T) {
	got := renameCommands("kill a\n! stop b\nkillall c\nexpect audit clean\n\ntry kill d")
	qt.Assert(t, got, qt.Equals, "process-kill a\n! process-stop b\nkillall c\nexpect audit clean\n\ntry kill d")
}

func TestKnownFailuresExcludeOnlyTheirScenarios(t *testing.T) {
	path := filepath.Join(t.TempDir(), "KNOWN-RED.txt")
	text := "# note\nscenario a-b | make scenario NAME=a-b | seen | 4\ninternal/x TestY | go test | seen | 4\n"
	qt.Assert(t, os.WriteFile(path, []byte(text), 0o600), qt.IsNil)
	failures, err := ReadKnownFailures(path)
	qt.Assert(t, err, qt.IsNil)
	remaining, excluded := failures.Exclude([]string{"s/a.txtar", "s/a-b.txtar", "s/TestY.txtar"})
	qt.Assert(t, remaining, qt.DeepEquals, []string{"s/a.txtar", "s/TestY.txtar"})
	qt.Assert(t, excluded, qt.DeepEquals, []string{"scenario a-b | make scenario NAME=a-b | seen | 4"})
}

// TestChaosScriptsAreReproducibleAndUseKnownCommands guards against chaos scripts that cannot be replayed from their seed
// and against commands that the language does not have. It draws many seeds, because each fault appears only with some seeds.
func TestChaosScriptsAreReproducibleAndUseKnownCommands(t *testing.T) {
	known := allCommands()
	rapid.Check(t, func(r *rapid.T) {
		seed := rapid.Uint64Range(0, 1_000_000).Draw(r, "seed")
		script := ChaosScript(seed)
		if script != ChaosScript(seed) {
			r.Fatalf("seed %d gives two scripts", seed)
		}
		for _, name := range commandNames(script) {
			if known[testscriptName(name)] == nil {
				r.Fatalf("no command %q in\n%s", name, script)
			}
		}
	})
}

// commandNames returns the names of all commands of a script, including those that "try" runs. The files of the archive
// are ignored.
func commandNames(script string) []string {
	var names []string
	lines, _, _ := strings.Cut(script, "\n-- ")
	for line := range strings.Lines(lines) {
		fields := strings.Fields(line)
		if len(fields) == 0 || fields[0] == "#" {
			continue
		}
		if fields[0] == "try" {
			names = append(names, fields[1])
		}
		names = append(names, fields[0])
	}
	return names
}
