package scenario

import (
	"encoding/json"
	"errors"
	"fmt"
	"time"

	"github.com/rogpeppe/go-internal/testscript"

	"github.com/primroseladder/primroseladder/internal/load"
	"github.com/primroseladder/primroseladder/internal/periodic"
)

// cmdExpect checks a condition: "expect CONDITION... [within DURATION]". Conditions on the state of processes are polled
// until they are met, for at most 5 s (defaultTimeout) unless "within" sets another timeout.
func cmdExpect(f *Fleet, ts *testscript.TestScript, args []string) error {
	timeout, rest, err := cutTimeout(args)
	if err != nil {
		return err
	}
	if len(rest) == 0 {
		return errors.New("usage: expect CONDITION... [within DURATION]")
	}
	checks := map[string]func(args []string, timeout time.Duration) error{
		"audit": f.expectAudit, "load": f.expectLoad, "status": f.expectStatus, "revision": f.expectRevision,
		"work": f.expectWork, "no-work": f.expectNoWork, "no-new-work": f.expectNoNewWork,
		"runs": f.expectRuns, "store-calls": f.expectStoreCalls, "store-holds": f.expectStoreHolds, "bytes": f.expectBytes,
		"ended": f.expectEnded, "ended-count": f.expectEndedCount,
		"connections": f.expectConnections, "ejected": f.expectEjected, "in-service": f.expectInService,
	}
	check := checks[rest[0]]
	if check == nil {
		return fmt.Errorf("expect: unknown condition %q", rest[0])
	}
	if err := check(rest[1:], timeout); err != nil {
		return fmt.Errorf("expect %s: %w", rest[0], err)
	}
	return nil
}

// cutTimeout parses "within DURATION" at the end of the arguments and returns the timeout and the remaining arguments.
func cutTimeout(args []string) (time.Duration, []string, error) {
	if len(args) < 2 || args[len(args)-2] != "within" {
		return defaultTimeout, args, nil
	}
	timeout, err := time.ParseDuration(args[len(args)-1])
	return timeout, args[:len(args)-2], err
}

// expectAudit checks that the outcomes of all requests so far agree with the journals of the backend servers:
// "expect audit clean".
func (f *Fleet) expectAudit(args []string, _ time.Duration) error {
	if len(args) != 1 || args[0] != "clean" {
		return errors.New("usage: expect audit clean")
	}
	audit, err := f.audit()
	if err != nil {
		return err
	}
	if !audit.IsClean() {
		return errors.New(summarizeAudit(audit))
	}
	return nil
}

// expectLoad waits for the end of a load and checks its results: "expect load NAME refused=0 served>=99%...". Percentages
// are of the requests sent.
func (f *Fleet) expectLoad(args []string, timeout time.Duration) error {
	if len(args) < 2 || f.loads[args[0]] == nil {
		return errors.New("usage: expect load NAME FIGURE=VALUE..., of a load that was started")
	}
	report, err := f.loads[args[0]].await(timeout)
	if err != nil {
		return err
	}
	runs, err := f.runs()
	if err != nil {
		return err
	}
	audit := load.AuditRequests(report.Requests, runs)
	var errs []error
	for _, text := range args[1:] {
		errs = append(errs, checkLoadFigure(text, report, audit, f.topology.totalSlots(f.loads[args[0]].service)))
	}
	if err := errors.Join(errs...); err != nil {
		return fmt.Errorf("%w\n%s%s", err, summarizeAudit(audit), summarizeReasons(report))
	}
	return nil
}

// checkLoadFigure checks one condition on the results of a load. A name other than those of the figures is a refusal
// reason: the number of requests with that reason is checked.
func checkLoadFigure(text string, report *load.Report, a load.Audit, slots int) error {
	c, err := parseComparison(text)
	if err != nil {
		return err
	}
	figures := map[string]int{
		"sent": a.Sent, "served": a.Served, "refused": a.Refused, "unknown": a.Unknown, "run-twice": a.RunTwice,
		"false-not-run": a.FalseNotRun, "not-whole": a.AnswerMismatch, "missing": a.FalseDone,
		"errors":           countRequests(report, func(s load.Sent) bool { return s.Status >= 500 && s.Reason == "" }),
		"p50-us":           int(report.Latency.ValueAtQuantile(50)),
		"p99-us":           int(report.Latency.ValueAtQuantile(99)),
		"added-p99":        int(report.Added.ValueAtQuantile(99)),
		"served-of-greedy": report.ServedForOrganisation(load.Greedy), "fewest-served-percent": report.LowestServedPercent(),
		"refused-p99-us": int(report.RefusalLatencyP99US()), "goodput-5s-percent": report.GoodputPercent(slots, 5*time.Second),
	}
	figure, found := figures[c.name]
	if !found {
		figure = countRequests(report, func(s load.Sent) bool { return s.Reason == c.name })
	}
	return c.checkNumber(float64(figure), float64(a.Sent))
}

func countRequests(report *load.Report, matches func(load.Sent) bool) int {
	n := 0
	for _, s := range report.Requests {
		if matches(s) {
			n++
		}
	}
	return n
}

// expectStatus waits until fields in the status of a process have the expected values: "expect status entry-0/keeper
// revision>=2". The name of a nested field is written with dots. "FIELD~TEXT" checks that the JSON of the field contains
// the text, "FIELD!~TEXT" that it does not. The process may be "every-entry" or "every-keeper": all running processes of
// that kind.
func (f *Fleet) expectStatus(args []string, timeout time.Duration) error {
	if len(args) < 2 {
		return errors.New("usage: expect status PROCESS FIELD=VALUE [FIELD=VALUE ...]")
	}
	processes, err := f.statusProcesses(args[0])
	if err != nil {
		return err
	}
	for _, p := range processes {
		if err := periodic.Poll(timeout, func() error { return checkStatus(p, args[1:]) }); err != nil {
			return fmt.Errorf("%s: %w", p.Name, err)
		}
	}
	return nil
}

// statusProcesses returns the processes whose status is checked. The name of a VM selects the first
// process of the VM. "every-entry" and "every-keeper" select all running processes of that kind.
func (f *Fleet) statusProcesses(name string) ([]*process, error) {
	suffix := map[string]string{"every-entry": entrySuffix, "every-keeper": keeperSuffix}[name]
	if suffix == "" {
		found, err := f.processesOf(name)
		if err != nil {
			return nil, err
		}
		return found[:1], nil
	}
	var out []*process
	for _, vm := range f.entryVMs() {
		if p := f.processes[vm.Name+suffix]; p.IsRunning() {
			out = append(out, p)
		}
	}
	return out, nil
}

func checkStatus(p *process, conditions []string) error {
	if p.statusURL == "" {
		return periodic.Permanent(fmt.Errorf("process %s has no status page", p.Name))
	}
	body, err := get(p.statusURL)
	if err != nil {
		return err
	}
	var status map[string]json.RawMessage
	if err := json.Unmarshal(body, &status); err != nil {
		return err
	}
	for _, text := range conditions {
		c, err := parseComparison(text)
		if err != nil {
			return periodic.Permanent(err)
		}
		if err := c.checkJSON(status); err != nil {
			return err
		}
	}
	return nil
}

// expectRevision waits until all running entries and keepers use a catalogue revision: "expect revision [NUMBER]". Without
// a number it is the last accepted revision.
func (f *Fleet) expectRevision(args []string, timeout time.Duration) error {
	revision := fmt.Sprint(f.revision)
	if len(args) > 0 {
		revision = args[0]
	}
	for _, group := range []string{"every-entry", "every-keeper"} {
		if err := f.expectStatus([]string{group, "revision=" + revision}, timeout); err != nil {
			return err
		}
	}
	return nil
}

// expectStoreCalls checks how many calls the store has counted: "expect store-calls <=100".
func (f *Fleet) expectStoreCalls(args []string, _ time.Duration) error {
	calls, err := f.platform.storeCalls()
	if err != nil {
		return err
	}
	return checkUnnamed(args, "calls", float64(calls))
}

// expectBytes checks how many bytes were transferred over links, of one kind of traffic or of all:
// "expect bytes A->B [work|configuration|keepers] <=100000".
func (f *Fleet) expectBytes(args []string, _ time.Duration) error {
	if len(args) < 2 || len(args) > 3 {
		return errors.New("usage: expect bytes A->B [KIND] <=NUMBER")
	}
	var kind trafficKind
	if len(args) == 3 {
		kind = trafficKind(args[1])
	}
	var total int64
	for _, oneWay := range splitDirections(args[0]) {
		from, to, err := f.endNames(oneWay)
		if err != nil {
			return err
		}
		total += f.network.bytesRelayed(from, to, kind)
	}
	return checkUnnamed(args[len(args)-1:], "bytes", float64(total))
}

// expectEnded waits until processes have ended, for whatever reason: "expect ended NAME...".
func (f *Fleet) expectEnded(args []string, timeout time.Duration) error {
	for _, name := range args {
		processes, err := f.processesOf(name)
		if err != nil {
			return err
		}
		for _, p := range processes {
			select {
			case <-p.Ended():
			case <-time.After(timeout):
				return fmt.Errorf("%s is still running after %s", p.Name, timeout)
			}
		}
	}
	return nil
}

// expectEndedCount checks how many backend servers of a service have ended: "expect ended-count SERVICE =2". Percentages
// are of the service's backend servers.
func (f *Fleet) expectEndedCount(args []string, _ time.Duration) error {
	if len(args) != 2 {
		return errors.New("usage: expect ended-count SERVICE =NUMBER")
	}
	c, err := parseComparison("ended" + args[1])
	if err != nil {
		return err
	}
	ended, total := 0, 0
	for _, vm := range f.backendServers() {
		if vm.Service != args[0] {
			continue
		}
		processes, err := f.processesOf(vm.Name)
		if err != nil {
			return err
		}
		total++
		if !processes[0].IsRunning() {
			ended++
		}
	}
	return c.checkNumber(float64(ended), float64(total))
}
