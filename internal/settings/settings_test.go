package settings_test

import (
	"errors"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/primroseladder/primroseladder/internal/entry"
	"github.com/primroseladder/primroseladder/internal/settings"
	"github.com/primroseladder/primroseladder/internal/yamlcheck"
)

const good = `
vm: entry-1
region: perth
zone: perth-a
caller_listen: 127.0.0.1:1
peer_listen: 127.0.0.1:2
operator_listen: 127.0.0.1:3
keeper_address: 127.0.0.1:4
`

// TestAllFaultsAreReportedInOneRun checks that each kind of fault is reported with its file, line and field, and that
// several are reported at once.
func TestAllFaultsAreReportedInOneRun(t *testing.T) {
	tests := []struct {
		name, content string
		want          []string
	}{
		{"good", good, nil},
		{"unknown key", good + "colour: red\n", []string{"f.yaml:9: colour: unknown key"}},
		{"unknown key inside", good + "trace:\n  flie: x\n", []string{"f.yaml:10: trace.flie: unknown key"}},
		{"duplicate key", good + "vm: entry-2\n", []string{"f.yaml:9: vm: duplicate key"}},
		{
			"wrong types", good + "max_requests: many\nmemory_window: long\ntrace: 3\n",
			[]string{
				`f.yaml:9: max_requests: "many" is not a whole number`,
				`f.yaml:10: memory_window: "long" is not a duration such as 250ms or 2s`,
				"f.yaml:11: trace: must be a mapping of fields",
			},
		},
		{
			"invalid values", good + "max_requests: -1\nmemory_window: 1s\n",
			[]string{
				"f.yaml:9: max_requests: must be above 0",
				"f.yaml:10: memory_window: must be above answer_lifetime",
			},
		},
		{
			"same address", strings.Replace(good, "127.0.0.1:4", "127.0.0.1:3", 1),
			[]string{"f.yaml:8: keeper_address: is the same as operator_listen"},
		},
		{"two documents", good + "---\nvm: x\n", []string{"f.yaml:0: document: must be one YAML document"}},
		{"not YAML", "vm: [", []string{"f.yaml:0: document: must be one YAML document"}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			err := settings.Parse("f.yaml", []byte(test.content), entry.DefaultSettings())
			if test.want == nil {
				c.Assert(err, qt.IsNil)
				return
			}
			var faults yamlcheck.Faults
			c.Assert(errors.As(err, &faults), qt.IsTrue)
			var got []string
			for _, f := range faults {
				got = append(got, f.String())
			}
			for _, line := range test.want {
				c.Check(got, qt.Contains, line)
			}
		})
	}
}

func TestNamesAndAddressesAreChecked(t *testing.T) {
	c := qt.New(t)
	err := settings.Parse("f.yaml", []byte("region: perth\ncaller_listen: localhost:1\npeer_listen: 127.0.0.1:1\noperator_listen: 127.0.0.1:1\n"), entry.DefaultSettings())
	for _, want := range []string{
		"vm: must be set", "zone: must be set", `caller_listen: "localhost:1" is not an IP address with a port`,
		"operator_listen: is the same as peer_listen",
	} {
		c.Check(err, qt.ErrorMatches, "(?s).*"+want+".*")
	}
}

func FuzzParse(f *testing.F) {
	f.Add([]byte(good))
	f.Add([]byte("a: &x [*x]\n"))
	f.Add([]byte("trace: {file: [1]}\n? {a: b}\n: c\n"))
	f.Fuzz(func(_ *testing.T, content []byte) {
		_ = settings.Parse("f.yaml", content, entry.DefaultSettings())
	})
}
