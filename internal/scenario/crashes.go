package scenario

import (
	"os"
	"strings"
	"testing"
)

// crashMarkers are what the Go runtime and net/http write when a program is at fault.
var crashMarkers = []string{"panic:", "panic serving", "fatal error:", "DATA RACE"}

// checkLogsForCrashes fails the scenario if a process has written that it is at fault, also where it went on.
func (f *Fleet) checkLogsForCrashes(tb testing.TB) {
	for _, name := range f.processNames() {
		content, err := os.ReadFile(f.processes[name].LogPath)
		if err != nil {
			continue
		}
		for _, marker := range crashMarkers {
			if start := strings.Index(string(content), marker); start >= 0 {
				end := min(len(content), start+logTailBytes)
				tb.Errorf("the log of %s has %q:\n%s", name, marker, content[start:end])
				break
			}
		}
	}
}
