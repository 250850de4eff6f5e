package scenario

import (
	"fmt"
	"os"
	"strings"
	"sync"
	"testing"

	"github.com/rogpeppe/go-internal/testscript"

	"github.com/primroseladder/primroseladder/internal/load"
)

// parallelScenarios is the maximum number of scenarios, and so of fleets, that run at the same time.
const parallelScenarios = 3

// Runner runs scenarios, audits each at its end, and sums up the audits.
type Runner struct {
	programDir string
	ports      *portAllocator
	// semaphore limits how many scenarios run at the same time.
	semaphore chan struct{}

	mu    sync.Mutex
	total load.Audit
}

// NewRunner returns a runner for the programs in a folder. It reserves a block of ports until Close.
func NewRunner(programDir string) (*Runner, error) {
	p, err := newPortAllocator()
	if err != nil {
		return nil, err
	}
	return &Runner{programDir: programDir, ports: p, semaphore: make(chan struct{}, parallelScenarios)}, nil
}

// SetSequential makes the scenarios that start after this call run one after another.
func (r *Runner) SetSequential() { r.semaphore = make(chan struct{}, 1) }

// aloneMark is the beginning of scenario files that must run alone because they measure times.
const aloneMark = "# Alone:"

// SplitByTiming separates the scenarios that measure times, and therefore must run alone, from the others.
func SplitByTiming(files []string) (together, alone []string, err error) {
	for _, file := range files {
		content, err := os.ReadFile(file)
		if err != nil {
			return nil, nil, err
		}
		if strings.HasPrefix(string(content), aloneMark) {
			alone = append(alone, file)
			continue
		}
		together = append(together, file)
	}
	return together, alone, nil
}

// Close releases the ports.
func (r *Runner) Close() { r.ports.close() }

// Total returns the sum of the audits of all scenarios that have ended.
func (r *Runner) Total() load.Audit {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.total
}

// Params returns the testscript parameters that run the given scenario files.
func (r *Runner) Params(files []string) testscript.Params {
	return testscript.Params{Files: files, Cmds: Commands(), Setup: r.setup}
}

// setup creates the fleet of a scenario and defers its final audit. It blocks until the scenario may run.
func (r *Runner) setup(env *testscript.Env) error {
	tb := env.T().(testing.TB)
	// SetSequential may replace the semaphore before this scenario releases it.
	semaphore := r.semaphore
	semaphore <- struct{}{}
	f := newFleet(r.programDir, env.WorkDir, r.ports)
	env.Values = map[any]any{fleetKey{}: f}
	env.Defer(func() {
		defer func() { <-semaphore }()
		defer f.shutDown()
		r.auditFleet(tb, f)
	})
	return nil
}

// auditFleet waits for loads and delayed requests and then checks the requests, floors, connections and logs of a scenario.
// It runs at the end of each scenario, even if it failed.
func (r *Runner) auditFleet(tb testing.TB, f *Fleet) {
	// The report of testscript, which ends with the same, comes after the logs of all processes.
	if f.failure != "" {
		tb.Logf("failed at: %s", f.failure)
	}
	if f.platform == nil {
		return
	}
	if err := f.awaitLoads(); err != nil {
		tb.Errorf("final audit: %v", err)
	}
	if err := f.awaitIdle(); err != nil {
		tb.Errorf("final audit: %v", err)
	}
	audit, err := f.audit()
	if err != nil {
		tb.Errorf("final audit: %v", err)
	}
	r.addToTotal(audit)
	tb.Logf("final audit: %s", summarizeAudit(audit))
	if !audit.IsClean() {
		tb.Errorf("final audit is not clean: %s", f.unaccountedRequests())
	}
	f.checkFloor(tb)
	f.checkConnections(tb)
	f.checkLogsForCrashes(tb)
	if tb.Failed() {
		tb.Log(f.logTails())
	}
}

// checkFloor fails the scenario if the floor monitor found an entry with too many ejected backend servers.
func (f *Fleet) checkFloor(tb testing.TB) {
	if f.floorMonitor == nil {
		return
	}
	samples, violations := f.floorMonitor.finish()
	tb.Logf("floor: %d samples of entries, %d violations", samples, len(violations))
	for _, violation := range violations {
		tb.Errorf("below the floor: %s", violation)
	}
}

func (r *Runner) addToTotal(a load.Audit) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.total.Add(a)
}

// awaitLoads waits for the end of all loads, also of those for which the scenario did not wait.
func (f *Fleet) awaitLoads() error {
	for _, l := range f.loads {
		if _, err := l.await(loadGrace + defaultTimeout); err != nil {
			return err
		}
	}
	return nil
}

// maxReportedRequests is the maximum number of requests that a failed audit lists.
const maxReportedRequests = 5

// unaccountedRequests lists requests whose outcome disagrees with the journals, and the backend servers that ran them.
func (f *Fleet) unaccountedRequests() string {
	runs, err := f.runs()
	if err != nil {
		return err.Error()
	}
	var found []string
	for _, s := range f.requests() {
		if load.AuditRequests([]load.Sent{s}, runs).IsClean() {
			continue
		}
		found = append(found, fmt.Sprintf("%+v ran on %s", s, serversThatRan(s.ID, runs)))
		if len(found) == maxReportedRequests {
			break
		}
	}
	return strings.Join(found, "\n")
}
