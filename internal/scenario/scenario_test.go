package scenario

import (
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"testing"

	qt "github.com/frankban/quicktest"
	"github.com/rogpeppe/go-internal/testscript"

	// The test builds the programs from these packages. Importing them invalidates cached test results when they change.
	_ "github.com/primroseladder/primroseladder/internal/ctl"
	_ "github.com/primroseladder/primroseladder/internal/entry"
	_ "github.com/primroseladder/primroseladder/internal/keeper"
	_ "github.com/primroseladder/primroseladder/internal/process"
	_ "github.com/primroseladder/primroseladder/internal/standin/control"
)

// programDir is the folder with the programs under test.
var programDir string

func TestMain(m *testing.M) {
	os.Exit(runTests(m))
}

// runTests builds the programs once and runs the tests.
func runTests(m *testing.M) int {
	dir, err := os.MkdirTemp("", "primrose-programs")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	defer os.RemoveAll(dir)
	build := exec.Command("go", "build", "-o", dir+"/", "./cmd/...")
	build.Dir = filepath.Join("..", "..")
	if output, err := build.CombinedOutput(); err != nil {
		fmt.Fprintf(os.Stderr, "%v\n%s", err, output)
		return 1
	}
	programDir = dir
	return m.Run()
}

// TestScenarios runs all scenarios of the folder scenarios.
func TestScenarios(t *testing.T) {
	files, err := filepath.Glob("../../scenarios/*.txtar")
	qt.Assert(t, err, qt.IsNil)
	runScenarios(t, files)
}

// runScenarios runs the scenarios without an entry in KNOWN-RED.txt. At the end it fails if, over all scenarios, any request
// that ran was reported to its caller as not run.
func runScenarios(t *testing.T, files []string) {
	c := qt.New(t)
	failures, err := ReadKnownFailures("../../KNOWN-RED.txt")
	c.Assert(err, qt.IsNil)
	files, excluded := failures.Exclude(files)
	for _, entry := range excluded {
		t.Logf("known red, passed over: %s", entry)
	}
	files, err = Prepare(files, t.TempDir())
	c.Assert(err, qt.IsNil)
	runner, err := NewRunner(programDir)
	c.Assert(err, qt.IsNil)
	t.Cleanup(func() {
		runner.Close()
		total := runner.Total()
		t.Logf("notrun-audit over all scenarios: %s", summarizeAudit(total))
		if total.FalseNotRun > 0 {
			t.Errorf("%d requests ran although their callers received the outcome not-run", total.FalseNotRun)
		}
	})
	together, alone, err := SplitByTiming(files)
	c.Assert(err, qt.IsNil)
	runGroup(t, "together", runner.Params(together))
	runner.SetSequential()
	runGroup(t, "alone", runner.Params(alone))
}

func runGroup(t *testing.T, name string, p testscript.Params) {
	if len(p.Files) > 0 {
		t.Run(name, func(t *testing.T) { testscript.Run(t, p) })
	}
}
