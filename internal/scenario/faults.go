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

// directions returns the directions that "A->B" or "A<->B" names.
func (f *Fleet) directions(text string) ([]*link.Direction, error) {
	var all []*link.Direction
	for _, oneWay := range splitBothWays(text) {
		from, to, err := f.ends(oneWay)
		if err != nil {
			return nil, err
		}
		found, err := f.network.find(from, to)
		if err != nil {
			return nil, err
		}
		all = append(all, found...)
	}
	return all, nil
}

// ends returns the names that the two sides of "A->B" stand for.
func (f *Fleet) ends(text string) (from, to []string, err error) {
	a, b, found := strings.Cut(text, "->")
	if !found {
		return nil, nil, fmt.Errorf("%q is neither A->B nor A<->B", text)
	}
	return f.expand(a), f.expand(b), nil
}

// splitBothWays returns "A->B" and "B->A" for "A<->B".
func splitBothWays(text string) []string {
	if from, to, found := strings.Cut(text, "<->"); found {
		return []string{from + "->" + to, to + "->" + from}
	}
	return []string{text}
}

// onDirections changes all directions that a text names and waits until the relays follow.
func (f *Fleet) onDirections(text string, change func(*link.Direction)) error {
	directions, err := f.directions(text)
	if err != nil {
		return err
	}
	for _, d := range directions {
		change(d)
	}
	return f.network.settle()
}

// cmdCut cuts links: "cut A->B...".
func cmdCut(f *Fleet, _ *testscript.TestScript, args []string) error {
	for _, text := range args {
		if err := f.onDirections(text, func(d *link.Direction) { d.SetCut(true) }); err != nil {
			return err
		}
	}
	return nil
}

// cmdHeal heals links: "heal A->B...". Without names it takes all faults off all links.
func cmdHeal(f *Fleet, _ *testscript.TestScript, args []string) error {
	if len(args) == 0 {
		f.network.heal()
		return f.network.settle()
	}
	for _, text := range args {
		if err := f.onDirections(text, func(d *link.Direction) { d.SetCut(false) }); err != nil {
			return err
		}
	}
	return nil
}

// cmdSlow delays links: "slow A->B 100ms".
func cmdSlow(f *Fleet, _ *testscript.TestScript, args []string) error {
	if len(args) != 2 {
		return fmt.Errorf("usage: slow A->B DURATION")
	}
	delay, err := time.ParseDuration(args[1])
	if err != nil {
		return err
	}
	return f.onDirections(args[0], func(d *link.Direction) { d.SetDelay(delay) })
}

// cmdThrottle bounds links: "throttle A->B 30mbit". All links from A to B share the bound; 0mbit takes it off.
func cmdThrottle(f *Fleet, _ *testscript.TestScript, args []string) error {
	if len(args) != 2 {
		return fmt.Errorf("usage: throttle A->B NUMBERmbit")
	}
	megabits, err := strconv.ParseFloat(strings.TrimSuffix(args[1], "mbit"), 64)
	if err != nil {
		return err
	}
	const bytesPerMegabit = 125_000
	for _, oneWay := range splitBothWays(args[0]) {
		var pipe *link.RateLimiter
		if megabits > 0 {
			pipe = link.NewRateLimiter(int64(megabits * bytesPerMegabit))
		}
		if err := f.onDirections(oneWay, func(d *link.Direction) { d.SetRateLimiter(pipe) }); err != nil {
			return err
		}
	}
	return nil
}

// cmdList sets how late changes of the VM list are seen: "list lag 2s".
func cmdList(f *Fleet, _ *testscript.TestScript, args []string) error {
	if len(args) != 2 || args[0] != "lag" {
		return fmt.Errorf("usage: list lag DURATION")
	}
	lag, err := time.ParseDuration(args[1])
	if err != nil {
		return err
	}
	f.platform.setLag(lag)
	return nil
}

// Values of backend server faults that the scenario does not set.
const (
	defaultErrorPercent = 100
	defaultSlowFactor   = 10
	defaultFlapMS       = 2000
	defaultTrickleMS    = 50
	defaultLateMS       = 50
	defaultSpoilPercent = 20
)

// workText is in the body of each non-idempotent request of a load.
const workText = "work"

// cmdBackend makes backend servers fail on real work while their probes stay green: "backend NAME FAULT [VALUE]
// [FAULT [VALUE]]...". NAME may be a service.
func cmdBackend(f *Fleet, _ *testscript.TestScript, args []string) error {
	if len(args) < 2 {
		return fmt.Errorf("usage: backend NAME error|slow|crash|flap|truncate|trickle|shed|drain|lose-answer|ok [VALUE]")
	}
	fault, err := parseBackendFault(args[1:])
	if err != nil {
		return err
	}
	body, err := json.Marshal(fault)
	if err != nil {
		return err
	}
	for _, name := range f.expand(args[0]) {
		vm, err := f.vm(name)
		if err != nil {
			return err
		}
		f.events[name] = time.Now()
		if err := put("http://"+vm.Address+"/control/fault", string(body)); err != nil {
			return err
		}
	}
	return nil
}

func parseBackendFault(words []string) (backendserver.Fault, error) {
	var fault backendserver.Fault
	for len(words) > 0 {
		word := words[0]
		words = words[1:]
		value := ""
		if len(words) > 0 && !isBackendFault(words[0]) {
			value, words = words[0], words[1:]
		}
		if err := setBackendFault(&fault, word, value); err != nil {
			return fault, err
		}
	}
	return fault, nil
}

// backendFaults are the words for the faults of a backend server.
const backendFaults = " ok error slow crash flap truncate trickle shed drain lose-answer late spoil "

func isBackendFault(word string) bool { return strings.Contains(backendFaults, " "+word+" ") }

func setBackendFault(fault *backendserver.Fault, word, value string) error {
	number := func(missing float64) (float64, error) {
		if value == "" {
			return missing, nil
		}
		if d, err := time.ParseDuration(value); err == nil {
			return float64(d.Milliseconds()), nil
		}
		return strconv.ParseFloat(strings.TrimRight(value, "%x"), 64)
	}
	var n float64
	var err error
	switch word {
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
			fault.CrashOn = workText
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
		return fmt.Errorf("a backend server has no fault %q", word)
	}
	return err
}
