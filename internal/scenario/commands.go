package scenario

import (
	"cmp"
	"errors"
	"fmt"
	"maps"
	"os/exec"
	"regexp"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/rogpeppe/go-internal/testscript"

	"github.com/primroseladder/primroseladder/client"
	"github.com/primroseladder/primroseladder/internal/fleet"
	"github.com/primroseladder/primroseladder/internal/load"
	"github.com/primroseladder/primroseladder/internal/outcome"
)

// command implements one command of the scenario language. A returned error fails the scenario, unless the script
// negates the command with "!"; a negated command must return an error.
type command func(f *Fleet, ts *testscript.TestScript, args []string) error

// fleetKey is the key of the *Fleet among the values of a testscript environment.
type fleetKey struct{}

// allCommands returns the commands of the scenario language by the names that testscript uses.
func allCommands() map[string]command {
	return map[string]command{
		"service": cmdService, "start": cmdStart, "apply": cmdApply, "ctl": cmdCtl, "load": cmdLoad,
		"load-wait": cmdLoadWait, "call": cmdCall, "expect": cmdExpect,
		"cut": cmdCut, "heal": cmdHeal, "slow": cmdSlow, "throttle": cmdThrottle,
		"freeze": forEachProcess((*process).freeze), "thaw": forEachProcess((*process).thaw),
		testscriptKill: forEachProcess((*process).Kill), testscriptStop: forEachProcess((*process).stop), "replace": cmdReplace,
		"vm": cmdVM, "list": cmdList, "store": cmdStore, "backend": cmdBackend,
		"race": cmdRace, "revisions": cmdRevisions,
		"recover": cmdRecover, "hold": cmdHold, "try": cmdTry,
	}
}

// Commands returns the commands of the scenario language for testscript.Params.Cmds.
func Commands() map[string]func(*testscript.TestScript, bool, []string) {
	out := map[string]func(*testscript.TestScript, bool, []string){}
	for name, run := range allCommands() {
		out[name] = adapt(name, run)
	}
	return out
}

// adapt returns a command for testscript. A failure is also recorded in the fleet, for the audit of the scenario.
func adapt(name string, run command) func(*testscript.TestScript, bool, []string) {
	return func(ts *testscript.TestScript, negated bool, args []string) {
		f := ts.Value(fleetKey{}).(*Fleet)
		begin := time.Now()
		err := run(f, ts, args)
		failure := err
		if negated {
			failure = nil
			if err == nil {
				failure = errors.New("command succeeded, but \"!\" expects it to fail")
			}
		}
		if failure != nil {
			f.failure = fmt.Sprintf("%s %s: after %s: %v", name, strings.Join(args, " "), time.Since(begin).Round(time.Millisecond), failure)
			ts.Fatalf("%v", failure)
		}
		if err != nil {
			fmt.Fprintln(ts.Stderr(), err)
		}
	}
}

// cmdService adds a service to the fleet that the next "start" builds:
// "service NAME [backends=8] [slots=4] [time=5ms] [answer=0] [connect=1ms] [probe=25ms]".
func cmdService(f *Fleet, _ *testscript.TestScript, args []string) error {
	o, rest := parseOptions(args)
	if len(rest) != 1 {
		return fmt.Errorf("usage: service NAME [backends=N] [slots=N] [time=DURATION] [answer=BYTES] [connect=DURATION] [probe=DURATION]")
	}
	f.topology.services = append(f.topology.services, serviceSpec{
		name: rest[0], backends: o.integer("backends", 8), slots: o.integer("slots", 4),
		serviceTime: o.duration("time", 5*time.Millisecond), answerBytes: o.integer("answer", 0),
		connectionCost: o.duration("connect", time.Millisecond), probeCost: o.duration("probe", 25*time.Millisecond),
	})
	return o.err()
}

// cmdStart starts the fleet: "start [regions=2] [zones=2] [entries=4] [links=on] [distances=off]".
func cmdStart(f *Fleet, _ *testscript.TestScript, args []string) error {
	o, rest := parseOptions(args)
	t := f.topology
	t.regions, t.zones, t.entries = o.integer("regions", 2), o.integer("zones", 2), o.integer("entries", 4)
	t.hasRelays, t.hasDistances = o.flag("links", true), o.flag("distances", false)
	if err := o.err(); err != nil {
		return err
	}
	if len(rest) > 0 || t.regions > len(regionNames) || len(t.services) == 0 {
		return fmt.Errorf("start: unexpected arguments %v, more than %d regions, or no service", rest, len(regionNames))
	}
	return f.start(t)
}

// cmdApply applies a folder of catalogue entries with primrosectl and waits until all running processes of the entry VMs
// use the accepted revision: "apply FOLDER [FLAG]...". With the flag -nowait it does not wait.
func cmdApply(f *Fleet, ts *testscript.TestScript, args []string) error {
	if len(args) == 0 {
		return fmt.Errorf("usage: apply FOLDER [-nowait] [FLAG ...]")
	}
	flags := []string{"apply", "--store", "http://" + f.platform.address, "--author", "scenario"}
	shouldWait := true
	for _, arg := range args[1:] {
		if arg == "-nowait" {
			shouldWait = false
			continue
		}
		flags = append(flags, arg)
	}
	if shouldWait {
		flags = append(flags, "--wait")
		for _, name := range f.runningEntryVMProcesses() {
			flags = append(flags, "--operators", f.operatorListeners[name])
		}
	}
	output, err := f.runCtl(ts, append(flags, ts.MkAbs(args[0])))
	f.recordAcceptedRevision(output)
	if err == nil && shouldWait {
		f.revisionMonitor.setInForce(f.revision)
	}
	return err
}

// recordAcceptedRevision stores the revision that primrosectl reported as accepted or unchanged.
func (f *Fleet) recordAcceptedRevision(output string) {
	if found := acceptedRevision.FindStringSubmatch(output); found != nil {
		f.revision, _ = strconv.ParseUint(found[1], 10, 64)
	}
}

var acceptedRevision = regexp.MustCompile(`(?:accepted as|no change,) revision (\d+)`)

// runningEntryVMProcesses returns the names of the running entry and keeper processes.
func (f *Fleet) runningEntryVMProcesses() []string {
	var names []string
	for _, name := range f.processNames() {
		if f.operatorListeners[name] != "" && f.processes[name].IsRunning() {
			names = append(names, name)
		}
	}
	return names
}

// cmdCtl runs primrosectl with the given arguments. The environment sets the addresses of the store, the VM list and the
// operators' listeners: see ctlOutput.
func cmdCtl(f *Fleet, ts *testscript.TestScript, args []string) error {
	_, err := f.runCtl(ts, args)
	return err
}

// runCtl runs primrosectl and copies its output to the standard output of the script.
func (f *Fleet) runCtl(ts *testscript.TestScript, args []string) (string, error) {
	output, err := f.ctlOutput(args...)
	fmt.Fprint(ts.Stdout(), output)
	if err != nil {
		return output, fmt.Errorf("primrosectl %s: %w: %s", args[0], err, output)
	}
	return output, nil
}

// ctlOutput runs primrosectl and returns its standard output and standard error. PRIMROSE_STORE, PRIMROSE_VMS and
// PRIMROSE_OPERATORS are set to the addresses of the scenario's fleet.
func (f *Fleet) ctlOutput(args ...string) (string, error) {
	cmd := exec.Command(f.programDir+"/primrosectl", args...)
	cmd.Dir = f.dir
	cmd.Env = append(cmd.Environ(),
		"PRIMROSE_STORE=http://"+f.platform.address,
		"PRIMROSE_VMS=http://"+f.platform.address+"/viewer/"+f.entryVMs()[0].Name,
		"PRIMROSE_OPERATORS="+strings.Join(f.runningOperatorAddresses(), ","))
	output, err := cmd.CombinedOutput()
	return string(output), err
}

func (f *Fleet) runningOperatorAddresses() []string {
	var out []string
	for _, name := range f.runningEntryVMProcesses() {
		out = append(out, f.operatorListeners[name])
	}
	return out
}

// cmdLoad starts a load in the background: "load NAME service=S [target=/S] [rate=100] [duration=5s] [mix=50]
// [organisations=20] [greedy=0] [seed=1] [timeout=3s] [region=R] [retry=off] [sends=4]".
func cmdLoad(f *Fleet, ts *testscript.TestScript, args []string) error {
	o, rest := parseOptions(args)
	if len(rest) != 1 {
		return fmt.Errorf("usage: load NAME service=S [OPTION=VALUE ...]")
	}
	service := o.text("service", "")
	plan := load.Plan{
		Service: service, Target: o.text("target", "/"+service), Rate: o.number("rate", 100),
		Duration: o.duration("duration", 5*time.Second), NonIdempotentPercent: o.integer("mix", 50),
		Organisations: o.integer("organisations", 20), GreedyPercent: o.integer("greedy", 0), Seed: uint64(o.integer("seed", 1)),
		Timeout: o.duration("timeout", 3*time.Second),
	}
	s := client.Settings{
		Region: o.text("region", ""), RetryRefused: o.flag("retry", false), MaxSends: o.integer("sends", 4),
	}
	if err := o.err(); err != nil {
		return err
	}
	ts.Logf("load %s: seed %d", rest[0], plan.Seed)
	return f.startLoad(rest[0], plan, s)
}

// cmdLoadWait waits until the named loads have ended and prints the audit of each: "load-wait NAME...".
func cmdLoadWait(f *Fleet, ts *testscript.TestScript, args []string) error {
	for _, name := range args {
		l := f.loads[name]
		if l == nil {
			return fmt.Errorf("no load %q", name)
		}
		report, err := l.await(loadGrace + time.Minute)
		if err != nil {
			return err
		}
		runs, err := f.runs()
		if err != nil {
			return err
		}
		fmt.Fprintf(ts.Stdout(), "%s: %s%s\n", name, summarizeAudit(load.AuditRequests(report.Requests, runs)), summarizeReasons(report))
	}
	return nil
}

func summarizeAudit(a load.Audit) string {
	return fmt.Sprintf("sent %d, served %d, refused %d, unknown %d, run twice %d, false not-run %d, not whole %d, missing %d",
		a.Sent, a.Served, a.Refused, a.Unknown, a.RunTwice, a.FalseNotRun, a.AnswerMismatch, a.FalseDone)
}

// summarizeReasons counts the requests that were not done by outcome and reason. It returns "" if all were done.
func summarizeReasons(report *load.Report) string {
	counts := map[string]int{}
	for _, s := range report.Requests {
		if s.Outcome != string(outcome.Done) {
			counts[cmp.Or(s.Outcome, "no outcome")+" "+cmp.Or(s.Reason, "without reason")]++
		}
	}
	var out strings.Builder
	for _, reason := range slices.Sorted(maps.Keys(counts)) {
		fmt.Fprintf(&out, ", %s %d", reason, counts[reason])
	}
	return out.String()
}

// cmdCall sends one request to an entry VM: "call VM METHOD TARGET [-H 'Name: value']... [-d BODY] [-timeout DURATION]".
func cmdCall(f *Fleet, ts *testscript.TestScript, args []string) error {
	c, err := parseCall(args)
	if err != nil {
		return err
	}
	return f.call(c, ts.Stdout())
}

// forEachProcess returns a command that runs an action on all processes of the named VMs, or on single processes such as
// entry-0/keeper.
func forEachProcess(action func(*process) error) command {
	return func(f *Fleet, _ *testscript.TestScript, args []string) error {
		for _, name := range args {
			processes, err := f.processesOf(name)
			if err != nil {
				return err
			}
			f.commandTimes[name] = time.Now()
			for _, p := range processes {
				if err := action(p); err != nil {
					return err
				}
			}
		}
		return nil
	}
}

// cmdReplace restarts the processes of the named VMs, or the named processes, and waits until they are ready. Running
// processes are killed first, so that all state in memory is lost.
func cmdReplace(f *Fleet, _ *testscript.TestScript, args []string) error {
	for _, name := range args {
		processes, err := f.processesOf(name)
		if err != nil {
			return err
		}
		for _, p := range processes {
			p.KillIfRunning()
			if err := p.Start(); err != nil {
				return err
			}
		}
		for _, p := range processes {
			if err := p.awaitReady(startTimeout); err != nil {
				return err
			}
		}
	}
	return nil
}

// cmdVM changes the state of a VM in the VM list: "vm NAME live|leaving|gone".
func cmdVM(f *Fleet, _ *testscript.TestScript, args []string) error {
	if len(args) != 2 {
		return fmt.Errorf("usage: vm NAME live|leaving|gone")
	}
	if _, err := f.vm(args[0]); err != nil {
		return err
	}
	switch args[1] {
	case string(fleet.StateLive), string(fleet.StateLeaving), stateGone:
		f.commandTimes[args[0]] = time.Now()
		f.platform.setState(args[0], args[1])
		return nil
	default:
		return fmt.Errorf("unknown VM state %q", args[1])
	}
}
