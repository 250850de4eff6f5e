package organisation_test

import (
	"fmt"
	"runtime"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/primroseladder/primroseladder/internal/organisation"
)

func named(name string, keys ...string) organisation.Organisation {
	o := organisation.Organisation{Name: name}
	for _, key := range keys {
		o.Keys = append(o.Keys, organisation.DigestOf(key))
	}
	return o
}

func TestKeysFindTheirOrganisation(t *testing.T) {
	c := qt.New(t)
	d, err := organisation.NewDirectory([]organisation.Organisation{named("parish", "k1", "k2"), named("committee", "k3")})
	c.Assert(err, qt.IsNil)
	c.Check(d.FindByKey("k2").Name, qt.Equals, "parish")
	c.Check(d.FindByKey("k3").Name, qt.Equals, "committee")
	c.Check(d.FindByKey("k4"), qt.IsNil)
	c.Check(d.FindByKey(""), qt.IsNil)
	c.Check(d.FindByName("committee").Keys, qt.HasLen, 1)
}

func TestInvalidOrganisationsAreNamed(t *testing.T) {
	negative := named("parish")
	negative.PerSecond = -1
	tests := []struct {
		all  []organisation.Organisation
		want string
	}{
		{[]organisation.Organisation{named("parish"), named("parish")}, `organisation "parish" exists twice`},
		{[]organisation.Organisation{named("a", "k"), named("b", "k")}, `organisations "a" and "b" have the same key [0-9a-f]{8}`},
		{[]organisation.Organisation{named("a", "k", "k")}, `organisations "a" and "a" have the same key .*`},
		{[]organisation.Organisation{named("")}, `organisation "": the name is missing`},
		{[]organisation.Organisation{named("a\nb")}, `organisation "a\\nb": the name cannot be sent in a header`},
		{[]organisation.Organisation{negative}, `organisation "parish": -1 requests a second is no valid allowance`},
	}
	for _, test := range tests {
		_, err := organisation.NewDirectory(test.all)
		qt.Check(t, err, qt.ErrorMatches, test.want)
	}
}

// BenchmarkFindByKey shows what a look-up takes in directories of different size, and how much memory an organisation with one key
// takes.
func BenchmarkFindByKey(b *testing.B) {
	for _, size := range []int{72, 10_000, 1_200_000} {
		b.Run(fmt.Sprint(size), func(b *testing.B) {
			var before, after runtime.MemStats
			runtime.GC()
			runtime.ReadMemStats(&before)
			all := make([]organisation.Organisation, 0, size)
			for i := range size {
				all = append(all, named(fmt.Sprint("o", i), fmt.Sprint("key", i)))
			}
			d, err := organisation.NewDirectory(all)
			if err != nil {
				b.Fatal(err)
			}
			runtime.GC()
			runtime.ReadMemStats(&after)
			for i := 0; b.Loop(); i++ {
				if d.FindByKey(fmt.Sprint("key", i%size)) == nil {
					b.Fatal("not found")
				}
			}
			b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/float64(size), "B/organisation")
		})
	}
}
