package dispatch

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

// TestRetriesStayWithinTheWindow checks that no window has more retries than the used share of the ratio of its
// requests, the allowance of the VM and the few retries that can accumulate.
func TestRetriesStayWithinTheWindow(t *testing.T) {
	const window, ratio = 10 * time.Second, 0.2
	rapid.Check(t, func(rt *rapid.T) {
		allowance := rapid.Float64Range(0, 40).Draw(rt, "allowance")
		start := time.Unix(1000, 0)
		b := retryBudget{perRequest: ratio, window: window, refilled: start}
		requests, retries := make([]int, 60), make([]int, 60)
		for second := range requests {
			requests[second] = rapid.IntRange(0, 40).Draw(rt, "requests")
			for n := range requests[second] {
				b.earn()
				at := start.Add(time.Duration(second)*time.Second + time.Duration(n)*time.Second/40)
				if b.take(at, allowance) {
					retries[second]++
				}
			}
		}
		for from := 10; from+10 <= len(requests); from++ {
			inWindow, sent := 0, 0
			for i := range 10 {
				inWindow += requests[from+i]
				sent += retries[from+i]
			}
			limit := ratio*usedRatioShare*float64(inWindow) + allowance + maxFromRequests + 1
			if float64(sent) > limit {
				rt.Fatalf("%d retries in the window from %d s, limit %.1f", sent, from, limit)
			}
		}
	})
}
