package capacity_test

import (
	"fmt"
	"runtime"
	"testing"

	"github.com/primroseladder/primroseladder/internal/capacity"
)

// divisors are the factors by which the target is scaled down for the points of a slope.
var divisors = []int{8, 2, 1}

// atSizes runs the benchmark at each size. The name of each sub-benchmark contains the number of the
// items with which the cost grows.
func atSizes(b *testing.B, items func(capacity.Size) int, run func(b *testing.B, s capacity.Size)) {
	for _, d := range divisors {
		size := capacity.Target.ScaledDown(d)
		b.Run(fmt.Sprintf("n=%d", items(size)), func(b *testing.B) { run(b, size) })
	}
}

func services(s capacity.Size) int { return s.Services }

func allVMs(s capacity.Size) int { return s.EntryVMs + s.BackendServers }

func entryVMs(s capacity.Size) int { return s.EntryVMs }

// reportHeap reports the heap bytes that the result of build occupies after a garbage collection, as heap-B.
func reportHeap(b *testing.B, build func() any) {
	var heapBytes uint64
	for b.Loop() {
		before := heapAfterCollection()
		state := build()
		after := heapAfterCollection()
		heapBytes = after - min(before, after)
		runtime.KeepAlive(state)
	}
	b.ReportMetric(float64(heapBytes), "heap-B")
}

func heapAfterCollection() uint64 {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}
