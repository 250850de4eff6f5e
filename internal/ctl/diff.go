package ctl

import (
	"bytes"
	"encoding/json"
	"fmt"
	"maps"
	"slices"
	"time"

	"github.com/primroseladder/primroseladder/client"
	"github.com/primroseladder/primroseladder/internal/catalogue"
)

// Values of Difference.Kind.
const (
	differenceAdded   = "added"
	differenceChanged = "changed"
	differenceRemoved = "removed"
)

// Difference describes how a change affects one entry of the accepted catalogue.
type Difference struct {
	Service string        `json:"service"`
	Kind    string        `json:"kind"`
	Fields  []FieldChange `json:"fields,omitempty"`
}

// FieldChange is a field whose value changes. Old and New are encoded as JSON, and empty where the field is missing.
type FieldChange struct {
	Field string `json:"field"`
	Old   string `json:"old"`
	New   string `json:"new"`
}

// buildChange returns the change from the state to the wanted entries, without author and message. Entries of other services
// are removed if isWhole is set, and kept otherwise.
func buildChange(state *catalogue.State, wanted []*catalogue.Entry, isWhole bool) (*catalogue.Change, error) {
	revision, operation, current := state.Snapshot()
	change := &catalogue.Change{
		Revision: revision + 1, PreviousOperationID: operation, OperationID: client.NewKey(), Time: time.Now().UTC(),
	}
	others := map[string]json.RawMessage{}
	for _, e := range current {
		others[e.Service] = e.Content
	}
	for _, e := range wanted {
		content, err := e.Encode()
		if err != nil {
			return nil, err
		}
		if !bytes.Equal(others[e.Service], content) {
			change.Entries = append(change.Entries, catalogue.EncodedEntry{Service: e.Service, Content: content})
		}
		delete(others, e.Service)
	}
	if isWhole {
		change.Removed = slices.Sorted(maps.Keys(others))
	}
	return change, nil
}

// differences returns how the change affects each entry of the state.
func differences(state *catalogue.State, change *catalogue.Change) []Difference {
	var out []Difference
	for _, e := range change.Entries {
		old, found := state.Entry(e.Service)
		if !found {
			out = append(out, Difference{Service: e.Service, Kind: differenceAdded})
			continue
		}
		out = append(out, Difference{Service: e.Service, Kind: differenceChanged, Fields: fieldChanges(old.Content, e.Content)})
	}
	for _, name := range change.Removed {
		out = append(out, Difference{Service: name, Kind: differenceRemoved})
	}
	return out
}

func fieldChanges(oldContent, newContent json.RawMessage) []FieldChange {
	before, after := flatten(oldContent), flatten(newContent)
	names := maps.Clone(before)
	maps.Copy(names, after)
	var out []FieldChange
	for _, name := range slices.Sorted(maps.Keys(names)) {
		if before[name] != after[name] {
			out = append(out, FieldChange{name, before[name], after[name]})
		}
	}
	return out
}

// flatten returns the leaf values of a JSON object, encoded as JSON, by field path such as routes[0].prefix. For invalid JSON
// the result is empty.
func flatten(content json.RawMessage) map[string]string {
	out := map[string]string{}
	var value any
	if json.Unmarshal(content, &value) == nil {
		flattenValue(out, "", value)
	}
	return out
}

func flattenValue(out map[string]string, path string, value any) {
	switch v := value.(type) {
	case map[string]any:
		for name, inner := range v {
			flattenValue(out, joinPath(path, name), inner)
		}
	case []any:
		for i, inner := range v {
			flattenValue(out, fmt.Sprintf("%s[%d]", path, i), inner)
		}
	default:
		encoded, _ := json.Marshal(v)
		out[path] = string(encoded)
	}
}

func joinPath(path, name string) string {
	if path == "" {
		return name
	}
	return path + "." + name
}

func (p *printer) differences(list []Difference) {
	signs := map[string]string{differenceAdded: "+", differenceChanged: "~", differenceRemoved: "-"}
	for _, d := range list {
		p.line("%s %s", signs[d.Kind], d.Service)
		for _, f := range d.Fields {
			p.line("    %s: %s -> %s", f.Field, valueOrNone(f.Old), valueOrNone(f.New))
		}
	}
}

func valueOrNone(value string) string {
	if value == "" {
		return "(none)"
	}
	return value
}
