package scenario

import (
	"fmt"
	"math/rand/v2"
	"strings"
)

// chaosFault holds the commands that inject a fault and those that clear it. In the commands the letters E and F are
// placeholders for two entry VMs, B and C for two backend servers, R and S for two regions.
type chaosFault struct {
	begin []string
	end   []string
}

// chaosFaults are the faults from which a chaos scenario draws two.
var chaosFaults = []chaosFault{
	{begin: []string{"cut E->bookings"}, end: []string{"heal E->bookings"}},
	{begin: []string{"cut bookings->E"}, end: []string{"heal bookings->E"}},
	{begin: []string{"cut E->B F->C"}, end: []string{"heal E->B F->C"}},
	{begin: []string{"cut E->F"}, end: []string{"heal E->F"}},
	{begin: []string{"cut E<->F"}, end: []string{"heal E<->F"}},
	{begin: []string{"cut R->S"}, end: []string{"heal R->S"}},
	{begin: []string{"cut R<->S"}, end: []string{"heal R<->S"}},
	{begin: []string{"cut callers->E"}, end: []string{"heal callers->E"}},
	{begin: []string{"cut E->callers"}, end: []string{"heal E->callers"}},
	{begin: []string{"cut E->store F->list"}, end: []string{"heal E->store F->list"}},
	{begin: []string{"slow R<->S 60ms"}, end: []string{"slow R<->S 0s"}},
	{begin: []string{"slow E->bookings 80ms"}, end: []string{"slow E->bookings 0s"}},
	{begin: []string{"throttle R<->S 1mbit"}, end: []string{"throttle R<->S 0mbit"}},
	{begin: []string{"freeze E/entry"}, end: []string{"thaw E/entry"}},
	{begin: []string{"freeze E/keeper"}, end: []string{"thaw E/keeper"}},
	{begin: []string{"freeze E"}, end: []string{"thaw E"}},
	{begin: []string{"freeze B"}, end: []string{"thaw B"}},
	{begin: []string{"stop E/entry"}, end: []string{"replace E/entry"}},
	{begin: []string{"stop E/keeper"}, end: []string{"replace E/keeper"}},
	{begin: []string{"kill E/entry"}, end: []string{"replace E/entry"}},
	{begin: []string{"kill E/keeper"}, end: []string{"replace E/keeper"}},
	{begin: []string{"kill E"}, end: []string{"replace E"}},
	{begin: []string{"kill B"}, end: []string{"replace B"}},
	{begin: []string{"vm E leaving"}, end: []string{"vm E live"}},
	{begin: []string{"vm B leaving", "vm C gone"}, end: []string{"vm B live"}},
	{begin: []string{"list lag 1s", "vm B leaving"}, end: []string{"vm B live", "list lag 0s"}},
	{begin: []string{"store down"}, end: []string{"store ok"}},
	{begin: []string{"store slow 300ms"}, end: []string{"store ok"}},
	{begin: []string{"store lagging 1s"}, end: []string{"store ok"}},
	{begin: []string{"backend B error"}, end: []string{"backend B ok"}},
	{begin: []string{"backend bookings error 30%"}, end: []string{"backend bookings ok"}},
	{begin: []string{"backend B slow 10x"}, end: []string{"backend B ok"}},
	{begin: []string{"backend bookings slow 10x"}, end: []string{"backend bookings ok"}},
	{begin: []string{"backend B error flap 200ms"}, end: []string{"backend B ok"}},
	{begin: []string{"backend B lose-answer flap 300ms"}, end: []string{"backend B ok"}},
	{begin: []string{"backend B truncate"}, end: []string{"backend B ok"}},
	{begin: []string{"backend B trickle 50ms"}, end: []string{"backend B ok"}},
	{begin: []string{"backend B shed"}, end: []string{"backend B ok"}},
	{begin: []string{"backend B drain"}, end: []string{"backend B ok"}},
	{begin: []string{"backend B lose-answer"}, end: []string{"backend B ok"}},
	{begin: []string{"backend bookings spoil 20% late 20ms"}, end: []string{"backend bookings ok"}},
	{begin: []string{"backend B crash 7"}, end: []string{"replace B"}},
}

const (
	chaosEntries  = 4
	chaosBackends = 8
	// chaosRounds is how many times a scenario injects and clears its two faults.
	chaosRounds = 2
)

// chaosTimeouts are the timeouts of the callers in the two regions. The short one makes them resend requests during faults.
var chaosTimeouts = [2]string{"250ms", "1s"}

// ChaosScript returns the chaos scenario for a seed. The same seed always gives the same script.
func ChaosScript(seed uint64) string {
	random := rand.New(rand.NewPCG(seed, seed))
	var script strings.Builder
	fmt.Fprintf(&script, "# Chaos with seed %d: two faults at once, twice in a row, under load. All invariants are audited.\n", seed)
	fmt.Fprintf(&script, "service bookings backends=%d slots=4 time=5ms answer=500\n", chaosBackends)
	fmt.Fprintf(&script, "start regions=2 zones=2 entries=%d\napply catalogue\n", chaosEntries)
	for i, region := range regionNames[:2] {
		fmt.Fprintf(&script, "load load-%s service=bookings rate=100 duration=6s mix=60 seed=%d timeout=%s region=%s\n",
			region, seed*10+uint64(i), chaosTimeouts[i], region)
	}
	first, second := drawFault(random), drawFault(random)
	for round := range chaosRounds {
		fmt.Fprintf(&script, "\n# Round %d.\n", round+1)
		writeRound(&script, random, first, second)
	}
	fmt.Fprintf(&script, chaosEpilogue, seed*10+2)
	return script.String()
}

// drawFault picks a random fault and replaces its placeholders by random VMs and regions.
func drawFault(random *rand.Rand) chaosFault {
	fault := chaosFaults[random.IntN(len(chaosFaults))]
	entries, backends, regions := random.Perm(chaosEntries), random.Perm(chaosBackends), random.Perm(2)
	targets := strings.NewReplacer(
		"E", fmt.Sprintf("entry-%d", entries[0]), "F", fmt.Sprintf("entry-%d", entries[1]),
		"B", fmt.Sprintf("bookings-%d", backends[0]), "C", fmt.Sprintf("bookings-%d", backends[1]),
		"R", regionNames[regions[0]], "S", regionNames[regions[1]],
	)
	return chaosFault{replaceAll(targets, fault.begin), replaceAll(targets, fault.end)}
}

func replaceAll(targets *strings.Replacer, lines []string) []string {
	out := make([]string, len(lines))
	for i, line := range lines {
		out[i] = targets.Replace(line)
	}
	return out
}

// writeRound writes the commands that inject two faults so that they overlap, and then clear them in the same order.
func writeRound(script *strings.Builder, random *rand.Rand, first, second chaosFault) {
	for _, step := range [][]string{first.begin, second.begin, first.end, second.end} {
		fmt.Fprintf(script, "hold %dms\n", 100+random.IntN(500))
		for _, line := range step {
			// A command fails if the other fault has already ended its process; "try" continues after that.
			fmt.Fprintf(script, "try %s\n", line)
		}
	}
}

// chaosEpilogue clears all faults, checks that requests are served again, and audits all requests.
const chaosEpilogue = `
# Clear all faults.
recover
load-wait load-central load-occidente
load after service=bookings rate=100 duration=2s mix=60 seed=%d timeout=3s
load-wait after
expect load after served>=95%%
expect revision 1
expect audit clean

-- catalogue/bookings.yaml --
service: bookings
owner: scheduling
class: protected
routes:
  - prefix: /bookings
limits:
  request_timeout: 3s
`
