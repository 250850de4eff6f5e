package scenario

import (
	"encoding/json"
	"fmt"
	"strconv"
	"strings"
)

// comparison is a condition such as "served>=99%": a name, an operator and a value.
type comparison struct {
	name     string
	operator string
	value    string
}

// comparisonOperators are tried in this order, so that an operator such as <= comes before its prefix <.
var comparisonOperators = []string{"!~", "~", "!=", "<=", ">=", "=", "<", ">"}

func parseComparison(text string) (comparison, error) {
	start := strings.IndexAny(text, "!~<>=")
	if start < 0 {
		return comparison{}, fmt.Errorf("%q has no operator", text)
	}
	for _, operator := range comparisonOperators {
		if value, found := strings.CutPrefix(text[start:], operator); found {
			return comparison{text[:start], operator, value}, nil
		}
	}
	return comparison{}, fmt.Errorf("%q has no operator", text)
}

// checkUnnamed checks a number against the only argument, a condition without a name such as "<=100". The name is used in
// error messages.
func checkUnnamed(args []string, name string, actual float64) error {
	if len(args) != 1 {
		return fmt.Errorf("exactly one condition such as <=100 is required")
	}
	c, err := parseComparison(args[0])
	if err != nil {
		return err
	}
	c.name = name
	return c.checkNumber(actual, actual)
}

// checkNumber checks a number. A value in percent is a share of the total.
func (c comparison) checkNumber(actual, total float64) error {
	text, isShare := strings.CutSuffix(c.value, "%")
	expected, err := strconv.ParseFloat(text, 64)
	if err != nil {
		return err
	}
	if isShare {
		expected = expected * total / 100
	}
	if !c.isSatisfied(actual, expected) {
		return fmt.Errorf("%s is %g, expected %s%s", c.name, actual, c.operator, c.value)
	}
	return nil
}

func (c comparison) isSatisfied(actual, expected float64) bool {
	switch c.operator {
	case "=":
		return actual == expected
	case "!=":
		return actual != expected
	case "<":
		return actual < expected
	case "<=":
		return actual <= expected
	case ">":
		return actual > expected
	case ">=":
		return actual >= expected
	default:
		return false
	}
}

// checkJSON checks a field of a JSON object. The name of a nested field is written with dots. A missing field is null.
func (c comparison) checkJSON(object map[string]json.RawMessage) error {
	raw := lookUpField(object, strings.Split(c.name, "."))
	satisfied := false
	switch c.operator {
	case "~":
		satisfied = strings.Contains(string(raw), c.value)
	case "!~":
		satisfied = !strings.Contains(string(raw), c.value)
	case "=":
		satisfied = strings.Trim(string(raw), `"`) == c.value
	case "!=":
		satisfied = strings.Trim(string(raw), `"`) != c.value
	default:
		actual, err := strconv.ParseFloat(string(raw), 64)
		if err != nil {
			return fmt.Errorf("%s is %s, not a number", c.name, raw)
		}
		return c.checkNumber(actual, actual)
	}
	if !satisfied {
		return fmt.Errorf("%s is %s, expected %s%s", c.name, raw, c.operator, c.value)
	}
	return nil
}

func lookUpField(object map[string]json.RawMessage, path []string) json.RawMessage {
	raw, found := object[path[0]]
	if !found {
		return json.RawMessage("null")
	}
	if len(path) == 1 {
		return raw
	}
	var inner map[string]json.RawMessage
	if err := json.Unmarshal(raw, &inner); err != nil {
		return json.RawMessage("null")
	}
	return lookUpField(inner, path[1:])
}
