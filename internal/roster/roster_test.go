package roster_test

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/primroseladder/primroseladder/internal/roster"
)

// TestTakeChanged checks that only the services that have changed are returned, also the one that a backend server has left for
// another.
func TestTakeChanged(t *testing.T) {
	c := qt.New(t)
	r := roster.New()
	a, b := roster.Server{ID: "i-1", Service: "a"}, roster.Server{ID: "i-2", Service: "b"}
	r.Put(a)
	r.Put(b)
	c.Check(r.TakeChanged(), qt.DeepEquals, map[string][]roster.Server{"a": {a}, "b": {b}})
	c.Check(r.TakeChanged(), qt.HasLen, 0)
	b.IsDraining = true
	r.Put(b)
	c.Check(r.TakeChanged(), qt.DeepEquals, map[string][]roster.Server{"b": {b}})
	a.Service = "b"
	r.Put(a)
	r.Remove("i-2")
	r.Remove("i-3")
	c.Check(r.TakeChanged(), qt.DeepEquals, map[string][]roster.Server{"a": nil, "b": {a}})
}
