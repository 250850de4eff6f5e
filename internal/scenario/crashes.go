package scenario

import (
	"os"
	"strings"
	"testing"
)

// crashMarkers are the log texts of the Go runtime, net/http and the race detector that indicate a bug in a program.
var crashMarkers = []string{"panic:", "panic serving", "fatal error:", "DATA RACE"}

// checkLogsForCrashes fails the scenario if the log of a process contains a crash marker, even if the process survived.
func (f *Fleet) checkLogsForCrashes(tb testing.TB) {
	for _, name := range f.processNames() {
		content, err := os.ReadFile(f.processes[name].LogPath)
		if err != nil {
			continue
		}
		for _, marker := range crashMarkers {
			if start := strings.Index(string(content), marker); start >= 0 {
				end := min(len(content), start+logTailBytes)
				tb.Errorf("log of %s contains %q:\n%s", name, marker, content[start:end])
				break
			}
		}
	}
}
