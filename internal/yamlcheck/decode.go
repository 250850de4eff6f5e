package yamlcheck

import (
	"bytes"
	"encoding"
	"errors"
	"fmt"
	"io"
	"maps"
	"reflect"
	"strings"

	"go.yaml.in/yaml/v3"
)

// Document is one decoded YAML document with the lines of its fields.
type Document struct {
	File     string
	rootLine int
	lines    map[string]int
}

// Fault returns a fault of a field. A missing field gets the line of the nearest enclosing field.
func (d *Document) Fault(field, reason string) Fault {
	return Fault{File: d.File, Line: d.line(field), Field: field, Reason: reason}
}

func (d *Document) line(field string) int {
	for path := field; path != ""; path = parentPath(path) {
		if line, found := d.lines[path]; found {
			return line
		}
	}
	return d.rootLine
}

// parentPath returns the path of the enclosing field.
func parentPath(path string) string {
	cut := strings.LastIndexAny(path, ".[")
	if cut < 0 {
		return ""
	}
	return path[:cut]
}

// DecodeAll decodes each document of a file into a value from newValue, which returns a pointer to a struct with the
// defaults. It returns the values, their documents and all faults. A syntax error ends the decoding.
func DecodeAll[T any](file string, content []byte, newValue func() *T) ([]*T, []*Document, Faults) {
	decoder := yaml.NewDecoder(bytes.NewReader(content))
	var values []*T
	var documents []*Document
	var faults Faults
	for {
		var node yaml.Node
		err := decoder.Decode(&node)
		if errors.Is(err, io.EOF) {
			return values, documents, faults
		}
		if err != nil {
			return values, documents, append(faults, Fault{File: file, Reason: err.Error()})
		}
		value := newValue()
		document, found := decode(file, &node, value)
		values = append(values, value)
		documents = append(documents, document)
		faults = append(faults, found...)
	}
}

func decode(file string, node *yaml.Node, into any) (*Document, Faults) {
	d := &fieldDecoder{document: &Document{File: file, rootLine: node.Line, lines: map[string]int{}}}
	if node.Kind == yaml.DocumentNode && len(node.Content) > 0 {
		node = node.Content[0]
	}
	d.document.rootLine = node.Line
	d.decodeValue(node, reflect.ValueOf(into).Elem(), "")
	return d.document, d.faults
}

// fieldDecoder decodes a tree of YAML nodes into a Go value and collects the faults.
type fieldDecoder struct {
	document *Document
	faults   Faults
}

func (d *fieldDecoder) addFault(node *yaml.Node, field, reason string) {
	d.faults = append(d.faults, Fault{File: d.document.File, Line: node.Line, Field: field, Reason: reason})
}

var textUnmarshaler = reflect.TypeFor[encoding.TextUnmarshaler]()

func (d *fieldDecoder) decodeValue(node *yaml.Node, into reflect.Value, path string) {
	if node.Kind == yaml.AliasNode {
		node = node.Alias
	}
	switch {
	case reflect.PointerTo(into.Type()).Implements(textUnmarshaler):
		d.decodeScalar(node, into, path)
	case into.Kind() == reflect.Struct:
		d.decodeStruct(node, into, path)
	case into.Kind() == reflect.Slice:
		d.decodeList(node, into, path)
	default:
		d.decodeScalar(node, into, path)
	}
}

func (d *fieldDecoder) decodeStruct(node *yaml.Node, into reflect.Value, path string) {
	if node.Kind != yaml.MappingNode {
		d.addFault(node, path, "must be a mapping of fields")
		return
	}
	fields := fieldsByName(into)
	seen := map[string]bool{}
	for i := 0; i+1 < len(node.Content); i += 2 {
		key, value := node.Content[i], node.Content[i+1]
		name := joinPath(path, key.Value)
		field, known := fields[key.Value]
		switch {
		case seen[key.Value]:
			d.addFault(key, name, "duplicate key")
		case !known:
			d.addFault(key, name, "unknown key")
		default:
			d.document.lines[name] = key.Line
			d.decodeValue(value, field, name)
		}
		seen[key.Value] = true
	}
}

func (d *fieldDecoder) decodeList(node *yaml.Node, into reflect.Value, path string) {
	if node.Kind != yaml.SequenceNode {
		d.addFault(node, path, "must be a list")
		return
	}
	items := reflect.MakeSlice(into.Type(), len(node.Content), len(node.Content))
	for i, item := range node.Content {
		name := fmt.Sprintf("%s[%d]", path, i)
		d.document.lines[name] = item.Line
		d.decodeValue(item, items.Index(i), name)
	}
	into.Set(items)
}

func (d *fieldDecoder) decodeScalar(node *yaml.Node, into reflect.Value, path string) {
	if node.Kind != yaml.ScalarNode {
		d.addFault(node, path, "must be "+expectedType(into))
		return
	}
	if err := node.Decode(into.Addr().Interface()); err != nil {
		d.addFault(node, path, fmt.Sprintf("%q is not %s", node.Value, expectedType(into)))
	}
}

// expectedType describes the values that v accepts.
func expectedType(v reflect.Value) string {
	switch v.Kind() {
	case reflect.Int64:
		if v.Type().Name() == "Duration" {
			return "a duration such as 250ms or 2s"
		}
		return "a whole number"
	case reflect.Int, reflect.Int32, reflect.Uint, reflect.Uint32, reflect.Uint64:
		return "a whole number"
	case reflect.Bool:
		return "true or false"
	default:
		return "text"
	}
}

// fieldsByName returns the fields of a struct by their names in the file. The fields of an inline struct are among them.
func fieldsByName(v reflect.Value) map[string]reflect.Value {
	fields := map[string]reflect.Value{}
	for i := range v.NumField() {
		name, option, _ := strings.Cut(v.Type().Field(i).Tag.Get("yaml"), ",")
		if option == "inline" {
			maps.Copy(fields, fieldsByName(v.Field(i)))
		} else if name != "" && name != "-" {
			fields[name] = v.Field(i)
		}
	}
	return fields
}

func joinPath(path, name string) string {
	if path == "" {
		return name
	}
	return path + "." + name
}
