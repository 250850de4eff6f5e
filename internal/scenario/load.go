package scenario

import (
	"context"
	"errors"
	"fmt"
	"os"
	"slices"
	"strings"
	"time"

	"github.com/primroseladder/primroseladder/client"
	"github.com/primroseladder/primroseladder/internal/load"
	"github.com/primroseladder/primroseladder/internal/periodic"
	"github.com/primroseladder/primroseladder/internal/standin/backendserver"
)

// backgroundLoad is a load that runs in the background. report is valid once ended is closed.
type backgroundLoad struct {
	name    string
	service string
	cancel  context.CancelFunc
	ended   chan struct{}
	report  *load.Report
}

// loadGrace is how long the last requests of a load may take after the load's duration has passed.
const loadGrace = 20 * time.Second

// startLoad starts a load from callers in the region of the settings, or in all regions in turn if it is empty.
func (f *Fleet) startLoad(name string, plan load.Plan, s client.Settings) error {
	if f.loads[name] != nil {
		return fmt.Errorf("load %q already exists", name)
	}
	var regions []string
	for _, vm := range f.entryVMs() {
		if s.Region != "" && vm.Region != s.Region {
			continue
		}
		s.Keepers = append(s.Keepers, "http://"+f.callerViews[vm.Name].KeeperCallerAddress)
		if !slices.Contains(regions, vm.Region) {
			regions = append(regions, vm.Region)
		}
	}
	ctx, cancel := context.WithCancel(context.Background())
	l := &backgroundLoad{name: name, service: plan.Service, cancel: cancel, ended: make(chan struct{})}
	f.loads[name] = l
	go func() {
		defer close(l.ended)
		l.report = load.Run(ctx, load.NewClients(regions, s), plan)
	}()
	return nil
}

// await waits until the load has ended and returns its report.
func (l *backgroundLoad) await(timeout time.Duration) (*load.Report, error) {
	select {
	case <-l.ended:
		return l.report, nil
	case <-time.After(timeout):
		return nil, fmt.Errorf("load %s has not ended after %s", l.name, timeout)
	}
}

// runs returns the requests that each backend server ran. It reads their journals, which are complete even if the process
// has ended.
func (f *Fleet) runs() ([]backendserver.Runs, error) {
	var all []backendserver.Runs
	var errs []error
	for _, vm := range f.backendServers() {
		journal, err := f.journal(vm.Name)
		errs = append(errs, err)
		runs := backendserver.Runs{Name: vm.Name, ByID: map[string]int{}, Total: len(journal)}
		for _, r := range journal {
			runs.ByID[r.ID]++
			runs.LastWork = r.At
		}
		all = append(all, runs)
	}
	return all, errors.Join(errs...)
}

func (f *Fleet) journal(vm string) ([]backendserver.JournalRun, error) {
	file, err := os.Open(f.journalPath(vm))
	if err != nil {
		return nil, err
	}
	defer file.Close()
	return backendserver.ReadJournal(file)
}

// requests returns all requests of ended loads and "call" commands, with the outcomes that the callers received.
func (f *Fleet) requests() []load.Sent {
	var all []load.Sent
	for _, l := range f.loads {
		select {
		case <-l.ended:
			all = append(all, l.report.Requests...)
		default:
		}
	}
	for _, c := range f.calls {
		all = append(all, c.sent)
	}
	return all
}

// audit compares the outcomes that callers received with the journals of the backend servers.
func (f *Fleet) audit() (load.Audit, error) {
	runs, err := f.runs()
	if err != nil {
		return load.Audit{}, err
	}
	return load.AuditRequests(f.requests(), runs), nil
}

// idlePeriod is how long no backend server may have begun to run a request before the final audit.
const idlePeriod = 300 * time.Millisecond

// awaitIdle clears the faults of all links, resumes frozen processes, and waits until the backend servers no longer begin
// to run requests that the faults had delayed.
func (f *Fleet) awaitIdle() error {
	f.network.clearFaults()
	for _, p := range f.processes {
		if p.IsRunning() {
			_ = p.thaw()
		}
	}
	return periodic.Poll(defaultTimeout, func() error {
		runs, err := f.runs()
		if err != nil {
			return err
		}
		for _, r := range runs {
			if time.Since(r.LastWork) < idlePeriod {
				return fmt.Errorf("%s still begins to run requests", r.Name)
			}
		}
		return nil
	})
}

// serversThatRan returns the names of the backend servers that ran a request and how often each did, or "none".
func serversThatRan(id string, runs []backendserver.Runs) string {
	text := "none"
	for _, r := range runs {
		if n := r.ByID[id]; n > 0 {
			text = strings.TrimPrefix(text, "none") + fmt.Sprintf(" %s (%d)", r.Name, n)
		}
	}
	return text
}
