package catalogue

import (
	"bytes"
	"fmt"
	"os"
	"path/filepath"
	"slices"

	"go.yaml.in/yaml/v3"

	"github.com/primroseladder/primroseladder/internal/yamlcheck"
)

// ReadFolder reads and validates all YAML files of a folder, which together are the whole catalogue. The error is
// yamlcheck.Faults if the content is invalid.
func ReadFolder(folder string) ([]*Entry, error) {
	var files []string
	for _, pattern := range []string{"*.yaml", "*.yml"} {
		found, err := filepath.Glob(filepath.Join(folder, pattern))
		if err != nil {
			return nil, err
		}
		files = append(files, found...)
	}
	slices.Sort(files)
	if len(files) == 0 {
		return nil, yamlcheck.Faults{{File: folder, Field: "folder", Reason: "has no .yaml files"}}
	}
	return readFiles(files)
}

// ReadFile reads and validates one YAML file with one or more documents, each of them an entry.
func ReadFile(file string) ([]*Entry, error) { return readFiles([]string{file}) }

func readFiles(files []string) ([]*Entry, error) {
	var entries []*Entry
	var documents []*yamlcheck.Document
	var faults yamlcheck.Faults
	for _, file := range files {
		content, err := os.ReadFile(file)
		if err != nil {
			return nil, err
		}
		read, found, wrong := Parse(file, content)
		entries = append(entries, read...)
		documents = append(documents, found...)
		faults = append(faults, wrong...)
	}
	for _, p := range Validate(entries) {
		reason := p.Reason
		if p.ConflictsWith >= 0 {
			reason = fmt.Sprintf("%s in %s", reason, documents[p.ConflictsWith].File)
		}
		faults = append(faults, documents[p.Index].Fault(p.Field, reason))
	}
	return entries, dropRepeatedFaults(faults).Err()
}

// Parse decodes the documents of a YAML file into entries. Fields that are not set in the file have the defaults.
func Parse(file string, content []byte) ([]*Entry, []*yamlcheck.Document, yamlcheck.Faults) {
	entries, documents, faults := yamlcheck.DecodeAll(file, content, NewEntry)
	for _, e := range entries {
		e.applyRouteDefaults()
	}
	return entries, documents, faults
}

// dropRepeatedFaults keeps the first fault of each field. A field with a value of the wrong type keeps its default, and
// a problem that Validate finds with this default is not reported.
func dropRepeatedFaults(faults yamlcheck.Faults) yamlcheck.Faults {
	type location struct {
		file  string
		line  int
		field string
	}
	seen := map[location]bool{}
	return slices.DeleteFunc(faults, func(f yamlcheck.Fault) bool {
		at := location{f.File, f.Line, f.Field}
		repeated := seen[at]
		seen[at] = true
		return repeated
	})
}

// EncodeYAML returns the YAML form of the entry, which Parse reads.
func (e *Entry) EncodeYAML() ([]byte, error) {
	var out bytes.Buffer
	encoder := yaml.NewEncoder(&out)
	encoder.SetIndent(2)
	if err := encoder.Encode(e); err != nil {
		return nil, err
	}
	return out.Bytes(), encoder.Close()
}
