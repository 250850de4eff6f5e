package scenario

import (
	"encoding/json"
	"fmt"
	"sync"
	"time"

	"github.com/primroseladder/primroseladder/internal/entry"
)

// floorSampleInterval is the time between two looks at what the entries hold to be out of service.
const floorSampleInterval = 100 * time.Millisecond

// maxViolations bounds the violations that are kept.
const maxViolations = 5

// floorMonitor looks through a whole scenario at whether any entry has more backend servers out of service than the
// floor allows.
type floorMonitor struct {
	stop chan struct{}
	wg   sync.WaitGroup

	mu         sync.Mutex
	samples    int
	violations []string
}

// newFloorMonitor begins to look at the status pages.
func newFloorMonitor(urls []string) *floorMonitor {
	w := &floorMonitor{stop: make(chan struct{})}
	for _, url := range urls {
		w.wg.Go(func() { w.watch(url) })
	}
	return w
}

func (w *floorMonitor) watch(url string) {
	ticker := time.NewTicker(floorSampleInterval)
	defer ticker.Stop()
	for {
		select {
		case <-w.stop:
			return
		case <-ticker.C:
			w.sample(url)
		}
	}
}

func (w *floorMonitor) sample(url string) {
	body, err := get(url)
	if err != nil {
		return
	}
	var status entry.Status
	if err := json.Unmarshal(body, &status); err != nil {
		w.recordViolation(fmt.Sprintf("%s: %v", url, err))
		return
	}
	w.mu.Lock()
	w.samples++
	w.mu.Unlock()
	for service, report := range status.Services {
		if len(report.Out) > max(0, report.Live-report.Floor) {
			w.recordViolation(fmt.Sprintf("%s of %s: %d of %d live are out, floor %d", service, status.VM, len(report.Out), report.Live, report.Floor))
		}
	}
}

func (w *floorMonitor) recordViolation(violation string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if len(w.violations) < maxViolations {
		w.violations = append(w.violations, violation)
	}
}

// finish stops looking and returns the number of looks and the violations.
func (w *floorMonitor) finish() (samples int, violations []string) {
	close(w.stop)
	w.wg.Wait()
	return w.samples, w.violations
}
