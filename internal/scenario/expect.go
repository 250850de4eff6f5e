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

// cmdExpect checks a condition. Those of the state of processes are looked at until they hold, for 5 s or as long as
// "within DURATION" says.
func cmdExpect(f *Fleet, ts *testscript.TestScript, args []string) error {
	bound, rest, err := takeBound(args)
	if err != nil {
		return err
	}
	if len(rest) == 0 {
		return errors.New("usage: expect CONDITION... [within DURATION]")
	}
	checks := map[string]func(args []string, bound time.Duration) error{
		"audit": f.expectAudit, "load": f.expectLoad, "status": f.expectStatus, "revision": f.expectRevision,
		"work": f.expectWork, "no-work": f.expectNoWork, "no-new-work": f.expectNoNewWork,
		"runs": f.expectRuns, "store-calls": f.expectStoreCalls, "store-holds": f.expectStoreHolds, "bytes": f.expectBytes, "ended": f.expectEnded,
		"ended-count": f.expectEndedCount,
		"connections": f.expectConnections, "ejected": f.expectEjected, "in-service": f.expectInService,
	}
	check := checks[rest[0]]
	if check == nil {
		return fmt.Errorf("expect does not know %q", rest[0])
	}
	if err := check(rest[1:], bound); err != nil {
		return fmt.Errorf("expect %s: %w", rest[0], err)
	}
	return nil
}

// takeBound takes "within DURATION" off the end of the arguments.
func takeBound(args []string) (time.Duration, []string, error) {
	if len(args) < 2 || args[len(args)-2] != "within" {
		return defaultBound, args, nil
	}
	bound, err := time.ParseDuration(args[len(args)-1])
	return bound, args[:len(args)-2], err
}

// expectAudit checks that each request so far is accounted for: "expect audit clean".
func (f *Fleet) expectAudit(args []string, _ time.Duration) error {
	if len(args) != 1 || args[0] != "clean" {
		return errors.New("usage: expect audit clean")
	}
	audit, err := f.audit()
	if err != nil {
		return err
	}
	if !audit.IsClean() {
		return errors.New(describe(audit))
	}
	return nil
}

// expectLoad compares figures of an ended load: "expect load NAME refused=0 served>=99%...". Percentages are of the
// requests sent.
func (f *Fleet) expectLoad(args []string, bound time.Duration) error {
	if len(args) < 2 || f.loads[args[0]] == nil {
		return errors.New("usage: expect load NAME FIGURE=VALUE..., of a load that was started")
	}
	report, err := f.loads[args[0]].result(bound)
	if err != nil {
		return err
	}
	runs, err := f.runs()
	if err != nil {
		return err
	}
	audit := load.AuditRequests(report.Requests, runs)
	var faults []error
	for _, text := range args[1:] {
		faults = append(faults, checkFigure(text, report, audit, f.topology.slotsOf(f.loads[args[0]].service)))
	}
	if err := errors.Join(faults...); err != nil {
		return fmt.Errorf("%w\n%s", err, describe(audit))
	}
	return nil
}

func checkFigure(text string, report *load.Report, a load.Audit, slots int) error {
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
	return c.checkShare(float64(figure), float64(a.Sent))
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

// expectStatus compares fields of the status of a process: "expect status entry-0/keeper revision>=2". A field of a
// field is written with a dot. "FIELD~TEXT" asks that the JSON of the field holds the text, "FIELD!~TEXT" that it
// does not. The name may be "every-entry" or "every-keeper".
func (f *Fleet) expectStatus(args []string, bound time.Duration) error {
	if len(args) < 2 {
		return errors.New("usage: expect status PROCESS FIELD=VALUE [FIELD=VALUE ...]")
	}
	processes, err := f.statusProcesses(args[0])
	if err != nil {
		return err
	}
	for _, p := range processes {
		if err := periodic.Poll(bound, func() error { return checkStatus(p, args[1:]) }); err != nil {
			return fmt.Errorf("%s: %w", p.Name, err)
		}
	}
	return nil
}

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
		return periodic.Permanent(errors.New("has no status page"))
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

// expectRevision waits until all running processes have a catalogue revision: "expect revision [NUMBER]". Without a
// number it is the last accepted one.
func (f *Fleet) expectRevision(args []string, bound time.Duration) error {
	wanted := fmt.Sprint(f.revision)
	if len(args) > 0 {
		wanted = args[0]
	}
	for _, group := range []string{"every-entry", "every-keeper"} {
		if err := f.expectStatus([]string{group, "revision=" + wanted}, bound); err != nil {
			return err
		}
	}
	return nil
}

// expectStoreCalls compares the calls that the store counted: "expect store-calls <=100".
func (f *Fleet) expectStoreCalls(args []string, _ time.Duration) error {
	calls, err := f.platform.storeCalls()
	if err != nil {
		return err
	}
	return checkOne(args, "calls", float64(calls))
}

// expectBytes compares the bytes that passed on links: "expect bytes A->B [work|configuration|keepers] <=100000".
func (f *Fleet) expectBytes(args []string, _ time.Duration) error {
	if len(args) < 2 || len(args) > 3 {
		return errors.New("usage: expect bytes A->B [KIND] <=NUMBER")
	}
	var kind trafficKind
	if len(args) == 3 {
		kind = trafficKind(args[1])
	}
	var total int64
	for _, oneWay := range splitBothWays(args[0]) {
		from, to, err := f.ends(oneWay)
		if err != nil {
			return err
		}
		total += f.network.passed(from, to, kind)
	}
	return checkOne(args[len(args)-1:], "bytes", float64(total))
}

// expectEnded waits until processes have ended by themselves or by a planned stop: "expect ended NAME...".
func (f *Fleet) expectEnded(args []string, bound time.Duration) error {
	for _, name := range args {
		processes, err := f.processesOf(name)
		if err != nil {
			return err
		}
		for _, p := range processes {
			select {
			case <-p.Ended():
			case <-time.After(bound):
				return fmt.Errorf("%s still runs after %s", p.Name, bound)
			}
		}
	}
	return nil
}

// expectEndedCount checks how many backend servers of a service have ended: "expect ended-count SERVICE =2".
func (f *Fleet) expectEndedCount(args []string, _ time.Duration) error {
	if len(args) != 2 {
		return errors.New("usage: expect ended-count SERVICE =NUMBER")
	}
	c, err := parseComparison("ended" + args[1])
	if err != nil {
		return err
	}
	ended, all := 0, 0
	for _, vm := range f.backendServers() {
		if vm.Service != args[0] {
			continue
		}
		processes, err := f.processesOf(vm.Name)
		if err != nil {
			return err
		}
		all++
		if !processes[0].IsRunning() {
			ended++
		}
	}
	return c.checkShare(float64(ended), float64(all))
}
