package capacity_test

import (
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/primroseladder/primroseladder/internal/capacity"
)

const benchmarkOutput = `goos: linux
cpu: Some Processor
BenchmarkKeeperList/n=100-10         	      20	  1000 ns/op	   2100 heap-B
BenchmarkKeeperList/n=200-10         	      20	  1500 ns/op	   4100 heap-B
BenchmarkFeed/entry/n=7              	      20	  15 ns/op
BenchmarkOther-10 	 5	 3 ns/op
PASS
`

func TestParseAndLine(t *testing.T) {
	c := qt.New(t)
	m, err := capacity.Parse(strings.NewReader(benchmarkOutput))
	c.Assert(err, qt.IsNil)
	c.Assert(m.Machine, qt.Equals, "Some Processor")
	heap, err := m.Get("KeeperList", capacity.UnitHeapBytes)
	c.Assert(err, qt.IsNil)
	slope, intercept := heap.Line()
	c.Assert(slope, qt.Equals, 20.0)
	c.Assert(intercept, qt.Equals, 100.0)
	c.Assert(heap.At(1000), qt.Equals, 20_100.0)
	_, err = m.Get("Feed/entry", capacity.UnitNanoseconds)
	c.Assert(err, qt.ErrorMatches, ".*needs two sizes, it has 1")
	_, err = m.Get("Missing", capacity.UnitNanoseconds)
	c.Assert(err, qt.ErrorMatches, "the run has no benchmark Missing.*")
}

func TestModelHasTheSizesOfTheTarget(t *testing.T) {
	c := qt.New(t)
	size := capacity.Target.ScaledDown(100)
	entries := size.Entries()
	routes := 0
	for _, e := range entries {
		routes += len(e.Routes)
	}
	c.Assert(entries, qt.HasLen, size.Services)
	c.Assert(routes, qt.Equals, size.Routes)
	c.Assert(size.VMs(), qt.HasLen, size.EntryVMs+size.BackendServers)
	zones := map[string]bool{}
	for _, vm := range size.VMs() {
		zones[vm.Zone] = true
	}
	c.Assert(zones, qt.HasLen, size.Zones)
}
