package catalogue

import (
	"errors"
	"os"
	"path/filepath"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/primroseladder/primroseladder/internal/yamlcheck"
)

func writeFolder(t *testing.T, files map[string]string) string {
	folder := t.TempDir()
	for name, content := range files {
		qt.Assert(t, os.WriteFile(filepath.Join(folder, name), []byte(content), 0o600), qt.IsNil)
	}
	return folder
}

// TestAllFaultsInOneRun checks that all faults of a folder are reported at once, each with its file, line and field.
func TestAllFaultsInOneRun(t *testing.T) {
	folder := writeFolder(t, map[string]string{
		"a.yaml": "service: bookings\nowner: scheduling\nroutes:\n  - prefix: /bookings\n  - prefix: x\ncolour: red\n" +
			"limits:\n  request_timeout: -3s\n  queue_length: many\n  slots_per_backend: 0\nhealth:\n  floor_percent: 101\n",
		"b.yaml": "service: bookings\nowner: ' '\nclass: best\nroutes:\n  - prefix: /bookings/\n    idempotent_methods: [FETCH]\n",
	})
	_, err := ReadFolder(folder)
	var faults yamlcheck.Faults
	qt.Assert(t, errors.As(err, &faults), qt.IsTrue)
	var got []string
	for _, f := range faults {
		f.File = filepath.Base(f.File)
		got = append(got, f.String())
	}
	qt.Assert(t, got, qt.DeepEquals, []string{
		"a.yaml:5: routes[1].prefix: must begin with /",
		"a.yaml:6: colour: unknown key",
		"a.yaml:8: limits.request_timeout: must be above 0 and at most 5m0s",
		`a.yaml:9: limits.queue_length: "many" is not a whole number`,
		"a.yaml:10: limits.slots_per_backend: must be between 1 and 10000",
		"a.yaml:12: health.floor_percent: must be between 1 and 100",
		"b.yaml:1: service: the name is also used in " + filepath.Join(folder, "a.yaml"),
		"b.yaml:2: owner: must be set",
		"b.yaml:3: class: must be protected, standard or bulk",
		"b.yaml:5: routes[0].prefix: overlaps: the prefix /bookings/ is also a route in " + filepath.Join(folder, "a.yaml"),
		`b.yaml:6: routes[0].idempotent_methods[0]: "FETCH" is not one of GET, HEAD, OPTIONS, PUT, DELETE, POST, PATCH`,
	})
}

// TestPrintedEntryCanBeAppliedAgain checks that the YAML form of an entry is parsed to the same entry.
func TestPrintedEntryCanBeAppliedAgain(t *testing.T) {
	folder := writeFolder(t, map[string]string{
		"a.yaml": "service: a\nowner: x\nroutes:\n  - prefix: /a\n    idempotent_methods: []\n  - prefix: /b\nlimits:\n  retry_percent: 0\n",
	})
	entries, err := ReadFolder(folder)
	qt.Assert(t, err, qt.IsNil)
	qt.Check(t, entries[0].Limits.RetryPercent, qt.Equals, 0)
	qt.Check(t, entries[0].Routes[0].IdempotentMethods, qt.HasLen, 0)
	qt.Check(t, entries[0].Routes[1].IdempotentMethods, qt.DeepEquals, defaultIdempotentMethods)
	text, err := entries[0].EncodeYAML()
	qt.Assert(t, err, qt.IsNil)
	again, _, faults := Parse("again.yaml", text)
	qt.Assert(t, faults, qt.HasLen, 0)
	qt.Check(t, again, qt.DeepEquals, entries)
}

func FuzzParse(f *testing.F) {
	f.Add([]byte("service: a\nowner: x\nroutes:\n  - prefix: /a\n"))
	f.Add([]byte("routes: [{prefix: [1]}]\n---\nservice: 3\n"))
	f.Fuzz(func(_ *testing.T, content []byte) {
		entries, documents, _ := Parse("f.yaml", content)
		for _, p := range Validate(entries) {
			_ = documents[p.Index].Fault(p.Field, p.Reason)
		}
	})
}
