package scenario

import (
	"encoding/json"
	"fmt"
	"strconv"
	"strings"
	"time"

	"github.com/rogpeppe/go-internal/testscript"

	"github.com/primroseladder/primroseladder/internal/standin/backendserver"
	"github.com/primroseladder/primroseladder/internal/standin/link"
)

// directions returns all link directions that an expression such as "A->B" or "A<->B" selects.
func (f *Fleet) directions(text string) ([]*link.Direction, error) {
	var all []*link.Direction
	for _, oneWay := range splitDirections(text) {
		from, to, err := f.endNames(oneWay)
		if err != nil {
			return nil, err
		}
		found, err := f.network.between(from, to)
		if err != nil {
			return nil, err
		}
		all = append(all, found...)
	}
	return all, nil
}

// endNames expands both sides of "A->B": see expandName.
func (f *Fleet) endNames(text string) (from, to []string, err error) {
	a, b, found := strings.Cut(text, "->")
	if !found {
		return nil, nil, fmt.Errorf("link %q is neither A->B nor A<->B", text)
	}
	return f.expandName(a), f.expandName(b), nil
}

// splitDirections returns "A->B" and "B->A" for "A<->B", and any other text as it is.
func splitDirections(text string) []string {
	if from, to, found := strings.Cut(text, "<->"); found {
		return []string{from + "->" + to, to + "->" + from}
	}
	return []string{text}
}

// updateDirections applies a change to all selected directions and waits until it has taken effect on the relays.
func (f *Fleet) updateDirections(text string, change func(*link.Direction)) error {
	directions, err := f.directions(text)
	if err != nil {
		return err
	}
	for _, d := range directions {
		change(d)
	}
	return f.network.awaitApplied()
}

// cmdCut cuts links in one direction or both: "cut A->B...". Data on a cut link is queued and delivered once the link is
// healed.
func cmdCut(f *Fleet, _ *testscript.TestScript, args []string) error {
	for _, text := range args {
		if err := f.updateDirections(text, func(d *link.Direction) { d.SetCut(true) }); err != nil {
			return err
		}
	}
	return nil
}

// cmdHeal reverts cuts: "heal A->B...". Without arguments it clears all faults of all links, also delays and bandwidth
// limits.
func cmdHeal(f *Fleet, _ *testscript.TestScript, args []string) error {
	if len(args) == 0 {
		f.network.clearFaults()
		return f.network.awaitApplied()
	}
	for _, text := range args {
		if err := f.updateDirections(text, func(d *link.Direction) { d.SetCut(false) }); err != nil {
			return err
		}
	}
	return nil
}

// cmdSlow sets the delay of links: "slow A->B 100ms".
func cmdSlow(f *Fleet, _ *testscript.TestScript, args []string) error {
	if len(args) != 2 {
		return fmt.Errorf("usage: slow A->B DURATION")
	}
	delay, err := time.ParseDuration(args[1])
	if err != nil {
		return err
	}
	return f.updateDirections(args[0], func(d *link.Direction) { d.SetDelay(delay) })
}

// cmdThrottle limits the bandwidth that all links from A to B share: "throttle A->B 30mbit". 0mbit removes the limit.
func cmdThrottle(f *Fleet, _ *testscript.TestScript, args []string) error {
	if len(args) != 2 {
		return fmt.Errorf("usage: throttle A->B NUMBERmbit")
	}
	megabits, err := strconv.ParseFloat(strings.TrimSuffix(args[1], "mbit"), 64)
	if err != nil {
		return err
	}
	const bytesPerMegabit = 125_000
	for _, oneWay := range splitDirections(args[0]) {
		var limiter *link.RateLimiter
		if megabits > 0 {
			limiter = link.NewRateLimiter(int64(megabits * bytesPerMegabit))
		}
		if err := f.updateDirections(oneWay, func(d *link.Direction) { d.SetRateLimiter(limiter) }); err != nil {
			return err
		}
	}
	return nil
}

// cmdList sets the delay after which changes of the VM list become visible: "list lag 2s".
func cmdList(f *Fleet, _ *testscript.TestScript, args []string) error {
	if len(args) != 2 || args[0] != "lag" {
		return fmt.Errorf("usage: list lag DURATION")
	}
	lag, err := time.ParseDuration(args[1])
	if err != nil {
		return err
	}
	f.platform.setListLag(lag)
	return nil
}

// Default values of the faults of backend servers, for commands that give no value.
const (
	defaultErrorPercent = 100
	defaultSlowFactor   = 10
	defaultFlapMS       = 2000
	defaultTrickleMS    = 50
	defaultLateMS       = 50
	defaultSpoilPercent = 20
)

// workBody is part of the body of each non-idempotent request of a load. The fault "crash" without a value ends the process
// on such a request.
const workBody = "work"

// cmdBackend injects faults into backend servers, whose health probes still succeed: "backend NAME FAULT [VALUE] [FAULT
// [VALUE]]...". NAME may be a service. The fault "ok" clears all faults.
func cmdBackend(f *Fleet, _ *testscript.TestScript, args []string) error {
	if len(args) < 2 {
		return fmt.Errorf("usage: backend NAME ok|error|slow|crash|flap|truncate|trickle|shed|drain|lose-answer|late|spoil [VALUE]")
	}
	fault, err := parseBackendFault(args[1:])
	if err != nil {
		return err
	}
	body, err := json.Marshal(fault)
	if err != nil {
		return err
	}
	for _, name := range f.expandName(args[0]) {
		vm, err := f.vm(name)
		if err != nil {
			return err
		}
		f.commandTimes[name] = time.Now()
		if err := put("http://"+vm.Address+"/control/fault", string(body)); err != nil {
			return err
		}
	}
	return nil
}

// parseBackendFault parses "FAULT [VALUE]" one or more times. An argument that is not a fault name is the value of the fault
// before it.
func parseBackendFault(args []string) (backendserver.Fault, error) {
	var fault backendserver.Fault
	for len(args) > 0 {
		name := args[0]
		args = args[1:]
		value := ""
		if len(args) > 0 && !isBackendFault(args[0]) {
			value, args = args[0], args[1:]
		}
		if err := setBackendFault(&fault, name, value); err != nil {
			return fault, err
		}
	}
	return fault, nil
}

// backendFaults are the names of the faults of a backend server, each between two spaces.
const backendFaults = " ok error slow crash flap truncate trickle shed drain lose-answer late spoil "

func isBackendFault(name string) bool { return strings.Contains(backendFaults, " "+name+" ") }

// setBackendFault sets one fault. A value is a number, optionally with a suffix % or x, or a duration, read as milliseconds.
func setBackendFault(fault *backendserver.Fault, name, value string) error {
	number := func(fallback float64) (float64, error) {
		if value == "" {
			return fallback, nil
		}
		if d, err := time.ParseDuration(value); err == nil {
			return float64(d.Milliseconds()), nil
		}
		return strconv.ParseFloat(strings.TrimRight(value, "%x"), 64)
	}
	var n float64
	var err error
	switch name {
	case "ok":
		*fault = backendserver.Fault{}
	case "error":
		n, err = number(defaultErrorPercent)
		fault.ErrorPercent = int(n)
	case "slow":
		fault.SlowFactor, err = number(defaultSlowFactor)
	case "flap":
		n, err = number(defaultFlapMS)
		fault.FlapMS = int(n)
	case "trickle":
		n, err = number(defaultTrickleMS)
		fault.TrickleMS = int(n)
	case "late":
		n, err = number(defaultLateMS)
		fault.LateMS = int(n)
	case "spoil":
		n, err = number(defaultSpoilPercent)
		fault.SpoilPercent = int(n)
	case "crash":
		fault.CrashOn = value
		if value == "" {
			fault.CrashOn = workBody
		}
	case "truncate":
		fault.Truncate = true
	case "shed":
		fault.Shed = true
	case "drain":
		fault.Drain = true
	case "lose-answer":
		fault.LoseAnswers = true
	default:
		return fmt.Errorf("unknown backend server fault %q", name)
	}
	return err
}
