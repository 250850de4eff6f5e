package scenario

import (
	"fmt"
	"slices"
	"time"

	"github.com/primroseladder/primroseladder/internal/periodic"
	"github.com/primroseladder/primroseladder/internal/standin/link"
)

// endpoints are the names of the two ends of a link direction.
type endpoints struct{ from, to string }

// network is the set of simulated links between the VMs, the platform and the callers.
type network struct {
	// hasRelays is false if processes connect to each other directly. Then links cannot be changed.
	hasRelays  bool
	directions map[endpoints]*link.Direction
	relays     []namedRelay
	// baseline holds the links' properties without faults. A link without an entry has no delay and no bandwidth limit.
	baseline map[endpoints]baselineLink
}

// baselineLink holds the delay and the bandwidth limit of a link without faults.
type baselineLink struct {
	delay time.Duration
	pipe  *link.RateLimiter
}

// trafficKind is the kind of traffic that a relay carries.
type trafficKind string

// The kinds of traffic.
const (
	// trafficWork is traffic of callers, between entries, and from entries to backend servers.
	trafficWork trafficKind = "work"
	// trafficConfiguration is traffic to the store and the VM list.
	trafficConfiguration trafficKind = "configuration"
	// trafficKeepers is traffic to the keepers of other VMs: configuration and health.
	trafficKeepers trafficKind = "keepers"
)

// namedRelay is a relay with its endpoints and its kind of traffic.
type namedRelay struct {
	*link.Relay
	ends endpoints
	kind trafficKind
}

func newNetwork(hasRelays bool) *network {
	return &network{hasRelays: hasRelays, directions: map[endpoints]*link.Direction{}, baseline: map[endpoints]baselineLink{}}
}

// direction returns the direction between two endpoints and creates it on first use.
func (n *network) direction(from, to string) *link.Direction {
	key := endpoints{from, to}
	if n.directions[key] == nil {
		n.directions[key] = link.NewDirection(from, to)
	}
	return n.directions[key]
}

// addRelay starts a relay to the address of "to" and returns the address that "from" must use instead. Without relays it
// returns the address itself.
func (n *network) addRelay(from, to, address string, kind trafficKind) (string, error) {
	if !n.hasRelays {
		return address, nil
	}
	r, err := link.NewRelay(address, n.direction(from, to), n.direction(to, from))
	if err != nil {
		return "", err
	}
	n.relays = append(n.relays, namedRelay{r, endpoints{from, to}, kind})
	return r.Address(), nil
}

// between returns the existing directions from one set of endpoints to another.
func (n *network) between(from, to []string) ([]*link.Direction, error) {
	var found []*link.Direction
	for _, a := range from {
		for _, b := range to {
			if d := n.directions[endpoints{a, b}]; d != nil {
				found = append(found, d)
			}
		}
	}
	if len(found) == 0 {
		return nil, fmt.Errorf("no link from %v to %v", from, to)
	}
	return found, nil
}

// awaitApplied waits until all relays have applied the latest cuts.
func (n *network) awaitApplied() error {
	return periodic.Poll(defaultTimeout, func() error {
		for _, r := range n.relays {
			if !r.HasAppliedCuts() {
				return fmt.Errorf("relay %s has not applied the cut", r.Address())
			}
		}
		return nil
	})
}

// clearFaults sets all links back to their baseline.
func (n *network) clearFaults() {
	for ends, d := range n.directions {
		d.SetCut(false)
		d.SetDelay(n.baseline[ends].delay)
		d.SetRateLimiter(n.baseline[ends].pipe)
	}
}

func (n *network) close() {
	for _, r := range n.relays {
		r.Close()
	}
}

// bytesPassed returns how many bytes of one kind of traffic went from one set of endpoints to another, as requests or as
// answers. The empty kind counts all traffic.
func (n *network) bytesPassed(from, to []string, kind trafficKind) int64 {
	var total int64
	for _, r := range n.relays {
		if kind != "" && r.kind != kind {
			continue
		}
		forward, back := r.BytesRelayed()
		if slices.Contains(from, r.ends.from) && slices.Contains(to, r.ends.to) {
			total += forward
		}
		if slices.Contains(from, r.ends.to) && slices.Contains(to, r.ends.from) {
			total += back
		}
	}
	return total
}
