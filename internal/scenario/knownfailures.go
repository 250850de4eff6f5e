package scenario

import (
	"os"
	"path/filepath"
	"slices"
	"strings"
)

// KnownFailures are the entries of KNOWN-RED.txt: tests that fail because of a bug that is not fixed yet. An entry is one
// line, "TEST | COMMAND | WHAT WAS SEEN | ISSUE"; for a scenario TEST is "scenario NAME". Other tests are skipped by
// scripts/test.sh. Lines that begin with # are comments.
type KnownFailures []string

// ReadKnownFailures reads the entries of a file. If the file does not exist there are none.
func ReadKnownFailures(path string) (KnownFailures, error) {
	content, err := os.ReadFile(path)
	if os.IsNotExist(err) {
		return nil, nil
	}
	if err != nil {
		return nil, err
	}
	var entries KnownFailures
	for line := range strings.Lines(string(content)) {
		line = strings.TrimSpace(line)
		if line != "" && !strings.HasPrefix(line, "#") {
			entries = append(entries, line)
		}
	}
	return entries, nil
}

// Exclude returns the scenario files without an entry, and the entries of the files that it excluded.
func (k KnownFailures) Exclude(files []string) (remaining, excluded []string) {
	remaining = slices.DeleteFunc(slices.Clone(files), func(file string) bool {
		entry := k.find("scenario " + strings.TrimSuffix(filepath.Base(file), ".txtar"))
		if entry != "" {
			excluded = append(excluded, entry)
		}
		return entry != ""
	})
	return remaining, excluded
}

// find returns the entry of a test, or "" if it has none.
func (k KnownFailures) find(test string) string {
	for _, entry := range k {
		name, _, _ := strings.Cut(entry, "|")
		if strings.TrimSpace(name) == test {
			return entry
		}
	}
	return ""
}
