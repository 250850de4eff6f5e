package scenario

import (
	"encoding/json"
	"fmt"
	"sync"
	"time"

	"github.com/primroseladder/primroseladder/internal/entry"
)

// floorSampleInterval is the time between two samples of an entry's status. Shorter violations can be missed.
const floorSampleInterval = 100 * time.Millisecond

// maxViolations is the maximum number of violations that are recorded.
const maxViolations = 5

// floorMonitor checks during the whole scenario that no entry ejects more backend servers of a service than the floor
// allows.
type floorMonitor struct {
	stop chan struct{}
	wg   sync.WaitGroup

	mu         sync.Mutex
	samples    int
	violations []string
}

// newFloorMonitor starts to sample the status pages at the given URLs.
func newFloorMonitor(urls []string) *floorMonitor {
	m := &floorMonitor{stop: make(chan struct{})}
	for _, url := range urls {
		m.wg.Go(func() { m.run(url) })
	}
	return m
}

func (m *floorMonitor) run(url string) {
	ticker := time.NewTicker(floorSampleInterval)
	defer ticker.Stop()
	for {
		select {
		case <-m.stop:
			return
		case <-ticker.C:
			m.sample(url)
		}
	}
}

// sample checks the floors in the status of one entry. An entry that does not answer is skipped.
func (m *floorMonitor) sample(url string) {
	body, err := get(url)
	if err != nil {
		return
	}
	var status entry.Status
	if err := json.Unmarshal(body, &status); err != nil {
		m.recordViolation(fmt.Sprintf("%s: %v", url, err))
		return
	}
	m.mu.Lock()
	m.samples++
	m.mu.Unlock()
	for service, report := range status.Services {
		if len(report.Out) > max(0, report.Live-report.Floor) {
			m.recordViolation(fmt.Sprintf("%s at %s: %d of %d live backend servers are ejected, floor %d",
				service, status.VM, len(report.Out), report.Live, report.Floor))
		}
	}
}

func (m *floorMonitor) recordViolation(violation string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if len(m.violations) < maxViolations {
		m.violations = append(m.violations, violation)
	}
}

// finish stops the monitor and returns the number of samples and the recorded violations.
func (m *floorMonitor) finish() (samples int, violations []string) {
	close(m.stop)
	m.wg.Wait()
	return m.samples, m.violations
}
