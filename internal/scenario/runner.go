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

// parallelScenarios bounds the fleets that run at a time.
const parallelScenarios = 3

// Runner runs scenarios and adds up their audits.
type Runner struct {
	programs string
	ports    *ports
	room     chan struct{}

	mu    sync.Mutex
	total load.Audit
}

// NewRunner returns a runner of the programs in a folder.
func NewRunner(programs string) (*Runner, error) {
	p, err := newPorts()
	if err != nil {
		return nil, err
	}
	return &Runner{programs: programs, ports: p, room: make(chan struct{}, parallelScenarios)}, nil
}

// OneAtATime lets the scenarios that begin from now on run one after another.
func (r *Runner) OneAtATime() { r.room = make(chan struct{}, 1) }

// aloneMark begins the files of scenarios that measure times.
const aloneMark = "# Alone:"

// SplitByTiming tells the scenarios that measure times, and so must run alone, from the others.
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

// Close gives the ports back.
func (r *Runner) Close() { r.ports.close() }

// Total returns the audit over all scenarios that ended.
func (r *Runner) Total() load.Audit {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.total
}

// Params returns the parameters for testscript.
func (r *Runner) Params(files []string) testscript.Params {
	return testscript.Params{Files: files, Cmds: Commands(), Setup: r.setup}
}

func (r *Runner) setup(env *testscript.Env) error {
	tb := env.T().(testing.TB)
	room := r.room
	room <- struct{}{}
	f := newFleet(r.programs, env.WorkDir, r.ports)
	env.Values = map[any]any{fleetKey{}: f}
	env.Defer(func() {
		defer func() { <-room }()
		defer f.end()
		r.finish(tb, f)
	})
	return nil
}

// finish audits the fleet at the end of each scenario, also of those that failed.
func (r *Runner) finish(tb testing.TB, f *Fleet) {
	if f.platform == nil {
		return
	}
	if err := f.awaitLoads(); err != nil {
		tb.Errorf("final audit: %v", err)
	}
	if err := f.settleRuns(); err != nil {
		tb.Errorf("final audit: %v", err)
	}
	audit, err := f.audit()
	if err != nil {
		tb.Errorf("final audit: %v", err)
	}
	r.add(audit)
	tb.Logf("final audit: %s", describe(audit))
	if !audit.IsClean() {
		tb.Errorf("final audit is not clean: %s", f.blame())
	}
	f.checkFloor(tb)
	f.checkConnections(tb)
	f.checkLogs(tb)
	if tb.Failed() {
		tb.Log(f.logs())
	}
}

// checkFloor fails the scenario if an entry was seen with too many backend servers out of service.
func (f *Fleet) checkFloor(tb testing.TB) {
	if f.floor == nil {
		return
	}
	looks, violations := f.floor.end()
	tb.Logf("floor: %d looks at entries, %d violations", looks, len(violations))
	for _, violation := range violations {
		tb.Errorf("below the floor: %s", violation)
	}
}

func (r *Runner) add(a load.Audit) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.total.Add(a)
}

// awaitLoads waits for the loads that the scenario left running.
func (f *Fleet) awaitLoads() error {
	for _, l := range f.loads {
		if _, err := l.result(loadGrace + defaultBound); err != nil {
			return err
		}
	}
	return nil
}

// maxBlamed bounds the requests that a failed audit names.
const maxBlamed = 5

// blame names requests that are not accounted for.
func (f *Fleet) blame() string {
	runs, err := f.runs()
	if err != nil {
		return err.Error()
	}
	var found []string
	for _, s := range f.requests() {
		if load.AuditRequests([]load.Sent{s}, runs).IsClean() {
			continue
		}
		found = append(found, fmt.Sprintf("%+v ran on %s", s, whereRan(s.ID, runs)))
		if len(found) == maxBlamed {
			break
		}
	}
	return strings.Join(found, "\n")
}
