package scenario

import (
	"fmt"
	"os/exec"
	"regexp"
	"strconv"
	"strings"
	"time"

	"github.com/rogpeppe/go-internal/testscript"

	"github.com/primroseladder/primroseladder/client"
	"github.com/primroseladder/primroseladder/internal/fleet"
	"github.com/primroseladder/primroseladder/internal/load"
)

// command is one command of the language. A returned error fails the scenario, or is what "!" asks for.
type command func(f *Fleet, ts *testscript.TestScript, args []string) error

// fleetKey is the key of the fleet among the values of a script.
type fleetKey struct{}

// allCommands returns the commands of the scenario language.
func allCommands() map[string]command {
	return map[string]command{
		"service": cmdService, "start": cmdStart, "apply": cmdApply, "ctl": cmdCtl, "load": cmdLoad,
		"load-wait": cmdLoadWait, "call": cmdCall, "expect": cmdExpect,
		"cut": cmdCut, "heal": cmdHeal, "slow": cmdSlow, "throttle": cmdThrottle,
		"freeze": eachProcess((*process).freeze), "thaw": eachProcess((*process).thaw),
		wordKill: eachProcess((*process).Kill), wordStop: eachProcess((*process).stop), "replace": cmdReplace,
		"vm": cmdVM, "list": cmdList, "store": cmdStore, "backend": cmdBackend,
		"race": cmdRace, "revisions": cmdRevisions,
		"recover": cmdRecover, "hold": cmdHold, "try": cmdTry,
	}
}

// Commands returns the commands in the form that testscript takes.
func Commands() map[string]func(*testscript.TestScript, bool, []string) {
	out := map[string]func(*testscript.TestScript, bool, []string){}
	for name, run := range allCommands() {
		out[name] = adapt(run)
	}
	return out
}

func adapt(run command) func(*testscript.TestScript, bool, []string) {
	return func(ts *testscript.TestScript, negated bool, args []string) {
		f := ts.Value(fleetKey{}).(*Fleet)
		err := run(f, ts, args)
		if err != nil && !negated {
			ts.Fatalf("%v", err)
		}
		if err == nil && negated {
			ts.Fatalf("succeeded, and was to fail")
		}
		if err != nil {
			fmt.Fprintln(ts.Stderr(), err)
		}
	}
}

// cmdService adds a service to the next "start": "service NAME [backends=8] [slots=4] [time=5ms] [answer=0] [connect=1ms] [probe=25ms]".
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
	t.hasLinks, t.hasDistances = o.flag("links", true), o.flag("distances", false)
	if err := o.err(); err != nil {
		return err
	}
	if len(rest) > 0 || t.regions > len(regionNames) || len(t.services) == 0 {
		return fmt.Errorf("start: surplus arguments %v, more than %d regions, or no service", rest, len(regionNames))
	}
	return f.start(t)
}

// cmdApply makes a folder of catalogue entries the accepted configuration and waits until it is in force:
// "apply FOLDER [FLAG]...". With the flag -nowait it does not wait.
func cmdApply(f *Fleet, ts *testscript.TestScript, args []string) error {
	if len(args) == 0 {
		return fmt.Errorf("usage: apply FOLDER [-nowait] [FLAG ...]")
	}
	flags := []string{"apply", "--store", "http://" + f.platform.address, "--author", "scenario"}
	isWaiting := true
	for _, arg := range args[1:] {
		if arg == "-nowait" {
			isWaiting = false
			continue
		}
		flags = append(flags, arg)
	}
	if isWaiting {
		flags = append(flags, "--wait")
		for _, name := range f.operatorNames() {
			flags = append(flags, "--operators", f.operators[name])
		}
	}
	output, err := f.runCtl(ts, append(flags, ts.MkAbs(args[0])))
	f.noteAccepted(output)
	if err == nil && isWaiting {
		f.watch.setInForce(f.revision)
	}
	return err
}

// noteAccepted keeps the revision that primrosectl printed as accepted.
func (f *Fleet) noteAccepted(output string) {
	if found := acceptedRevision.FindStringSubmatch(output); found != nil {
		f.revision, _ = strconv.ParseUint(found[1], 10, 64)
	}
}

var acceptedRevision = regexp.MustCompile(`(?:accepted as|no change,) revision (\d+)`)

// operatorNames returns the processes of entry VMs that run.
func (f *Fleet) operatorNames() []string {
	var names []string
	for _, name := range f.processNames() {
		if f.operators[name] != "" && f.processes[name].IsRunning() {
			names = append(names, name)
		}
	}
	return names
}

// cmdCtl runs primrosectl. $STORE, $VMS and $OPERATORS in the arguments are set by start.
func cmdCtl(f *Fleet, ts *testscript.TestScript, args []string) error {
	_, err := f.runCtl(ts, args)
	return err
}

func (f *Fleet) runCtl(ts *testscript.TestScript, args []string) (string, error) {
	output, err := f.outputOfCtl(args...)
	fmt.Fprint(ts.Stdout(), output)
	if err != nil {
		return output, fmt.Errorf("primrosectl %s: %w: %s", args[0], err, output)
	}
	return output, nil
}

// outputOfCtl runs primrosectl and returns all that it prints.
func (f *Fleet) outputOfCtl(args ...string) (string, error) {
	cmd := exec.Command(f.programs+"/primrosectl", args...)
	cmd.Dir = f.dir
	cmd.Env = append(cmd.Environ(),
		"PRIMROSE_STORE=http://"+f.platform.address,
		"PRIMROSE_VMS=http://"+f.platform.address+"/viewer/"+f.entryVMs()[0].Name,
		"PRIMROSE_OPERATORS="+strings.Join(f.operatorAddresses(), ","))
	output, err := cmd.CombinedOutput()
	return string(output), err
}

func (f *Fleet) operatorAddresses() []string {
	var out []string
	for _, name := range f.operatorNames() {
		out = append(out, f.operators[name])
	}
	return out
}

// cmdLoad begins load in the background: "load NAME service=S [target=/S] [rate=100] [duration=5s] [mix=50]
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

// cmdLoadWait waits for the end of loads and prints what came of them: "load-wait NAME...".
func cmdLoadWait(f *Fleet, ts *testscript.TestScript, args []string) error {
	for _, name := range args {
		l := f.loads[name]
		if l == nil {
			return fmt.Errorf("no load %q", name)
		}
		report, err := l.result(loadGrace + time.Minute)
		if err != nil {
			return err
		}
		runs, err := f.runs()
		if err != nil {
			return err
		}
		fmt.Fprintf(ts.Stdout(), "%s: %s\n", name, describe(load.AuditRequests(report.Requests, runs)))
	}
	return nil
}

func describe(a load.Audit) string {
	return fmt.Sprintf("sent %d, served %d, refused %d, unknown %d, run twice %d, false not-run %d, not whole %d, missing %d",
		a.Sent, a.Served, a.Refused, a.Unknown, a.RunTwice, a.FalseNotRun, a.AnswerMismatch, a.FalseDone)
}

func cmdCall(f *Fleet, ts *testscript.TestScript, args []string) error {
	c, err := parseCall(args)
	if err != nil {
		return err
	}
	return f.call(c, ts.Stdout())
}

// eachProcess runs an action on all processes of the named VMs, or on single processes such as entry-0/keeper.
func eachProcess(action func(*process) error) command {
	return func(f *Fleet, _ *testscript.TestScript, args []string) error {
		for _, name := range args {
			processes, err := f.processesOf(name)
			if err != nil {
				return err
			}
			f.events[name] = time.Now()
			for _, p := range processes {
				if err := action(p); err != nil {
					return err
				}
			}
		}
		return nil
	}
}

// cmdReplace starts the named VMs or processes anew with empty memory. Those that run are killed first.
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
			if err := p.awaitReady(startBound); err != nil {
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
		f.events[args[0]] = time.Now()
		f.platform.setState(args[0], args[1])
		return nil
	default:
		return fmt.Errorf("no state %q", args[1])
	}
}
