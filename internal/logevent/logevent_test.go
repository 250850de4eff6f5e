package logevent_test

import (
	"go/ast"
	"go/parser"
	"go/token"
	"os"
	"regexp"
	"strconv"
	"testing"

	qt "github.com/frankban/quicktest"
)

// TestCatalogueAgreesWithCode compares docs/EVENTS.md with the events in logevent.go.
func TestCatalogueAgreesWithCode(t *testing.T) {
	c := qt.New(t)
	page, err := os.ReadFile("../../docs/EVENTS.md")
	c.Assert(err, qt.IsNil)
	documented := map[string]string{}
	for _, row := range regexp.MustCompile(`(?m)^\| (\d+) \| \w+ \| ([^|]+) \|`).FindAllStringSubmatch(string(page), -1) {
		c.Assert(documented[row[1]], qt.Equals, "", qt.Commentf("event %s is documented twice", row[1]))
		documented[row[1]] = row[2]
	}
	c.Assert(documented, qt.DeepEquals, eventsInCode(t))
}

// eventsInCode returns the messages of all Event literals by number.
func eventsInCode(t *testing.T) map[string]string {
	file, err := parser.ParseFile(token.NewFileSet(), "logevent.go", nil, 0)
	qt.Assert(t, err, qt.IsNil)
	events := map[string]string{}
	ast.Inspect(file, func(n ast.Node) bool {
		literal, isLiteral := n.(*ast.CompositeLit)
		if !isLiteral || len(literal.Elts) != 3 {
			return true
		}
		number := literal.Elts[0].(*ast.BasicLit).Value
		message, err := strconv.Unquote(literal.Elts[2].(*ast.BasicLit).Value)
		qt.Assert(t, err, qt.IsNil)
		qt.Assert(t, events[number], qt.Equals, "", qt.Commentf("number %s is used twice", number))
		events[number] = message
		return true
	})
	return events
}
