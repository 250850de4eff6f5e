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

// runningLoad is load in the background.
type runningLoad struct {
	name    string
	service string
	cancel  context.CancelFunc
	ended   chan struct{}
	report  *load.Report
}

// loadGrace is how long the last requests of a load may take after its duration.
const loadGrace = 20 * time.Second

// startLoad begins load from callers of a region, or of all regions in turns.
func (f *Fleet) startLoad(name string, plan load.Plan, s client.Settings) error {
	if f.loads[name] != nil {
		return fmt.Errorf("there is a load %q already", name)
	}
	var regions []string
	for _, vm := range f.entryVMs() {
		if s.Region != "" && vm.Region != s.Region {
			continue
		}
		s.Keepers = append(s.Keepers, "http://"+f.forCallers[vm.Name].KeeperCallerAddress)
		if !slices.Contains(regions, vm.Region) {
			regions = append(regions, vm.Region)
		}
	}
	ctx, cancel := context.WithCancel(context.Background())
	l := &runningLoad{name: name, service: plan.Service, cancel: cancel, ended: make(chan struct{})}
	f.loads[name] = l
	go func() {
		defer close(l.ended)
		l.report = load.Run(ctx, load.NewClients(regions, s), plan)
	}()
	return nil
}

// result waits for the end of the load.
func (l *runningLoad) result(bound time.Duration) (*load.Report, error) {
	select {
	case <-l.ended:
		return l.report, nil
	case <-time.After(bound):
		return nil, fmt.Errorf("load %s has not ended after %s", l.name, bound)
	}
}

// runs reads the journals of the backend servers, which outlive them.
func (f *Fleet) runs() ([]backendserver.Runs, error) {
	var all []backendserver.Runs
	var faults []error
	for _, vm := range f.backendServers() {
		journal, err := f.journal(vm.Name)
		faults = append(faults, err)
		runs := backendserver.Runs{Name: vm.Name, ByID: map[string]int{}, Total: len(journal)}
		for _, r := range journal {
			runs.ByID[r.ID]++
			runs.LastWork = r.At
		}
		all = append(all, runs)
	}
	return all, errors.Join(faults...)
}

func (f *Fleet) journal(vm string) ([]backendserver.JournalRun, error) {
	file, err := os.Open(f.journalPath(vm))
	if err != nil {
		return nil, err
	}
	defer file.Close()
	return backendserver.ReadJournal(file)
}

// requests returns what callers were told, over the ended loads and all calls by hand.
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

// audit compares what callers were told with what the backend servers ran.
func (f *Fleet) audit() (load.Audit, error) {
	runs, err := f.runs()
	if err != nil {
		return load.Audit{}, err
	}
	return load.AuditRequests(f.requests(), runs), nil
}

// quietTime is how long no run may begin before the final audit.
const quietTime = 300 * time.Millisecond

// settleRuns heals the links, wakes frozen processes, and waits until no held request arrives any more.
func (f *Fleet) settleRuns() error {
	f.network.heal()
	for _, p := range f.processes {
		if p.IsRunning() {
			_ = p.thaw()
		}
	}
	return periodic.Poll(defaultBound, func() error {
		runs, err := f.runs()
		if err != nil {
			return err
		}
		for _, r := range runs {
			if time.Since(r.LastWork) < quietTime {
				return fmt.Errorf("%s still begins work", r.Name)
			}
		}
		return nil
	})
}

// whereRan names the backend servers that ran a request, with their counts.
func whereRan(id string, runs []backendserver.Runs) string {
	text := "none"
	for _, r := range runs {
		if n := r.ByID[id]; n > 0 {
			text = strings.TrimPrefix(text, "none") + fmt.Sprintf(" %s (%d)", r.Name, n)
		}
	}
	return text
}
