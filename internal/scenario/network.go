package scenario

import (
	"fmt"
	"slices"
	"time"

	"github.com/primroseladder/primroseladder/internal/periodic"
	"github.com/primroseladder/primroseladder/internal/standin/link"
)

// endpoints names the two ends of a direction.
type endpoints struct{ from, to string }

// network holds the links between the VMs, the platform and the callers.
type network struct {
	// hasRelays is false where VMs talk without links in between.
	hasRelays  bool
	directions map[endpoints]*link.Direction
	relays     []namedRelay
	// usual is how links are without faults. A link without an entry has neither delay nor bound.
	usual map[endpoints]usualLink
}

// usualLink is a link without faults.
type usualLink struct {
	delay time.Duration
	pipe  *link.RateLimiter
}

// trafficKind tells what a relay carries.
type trafficKind string

// The kinds of traffic.
const (
	// trafficWork is requests of callers, on their way to entries, between entries and to backend servers.
	trafficWork trafficKind = "work"
	// trafficConfiguration is the store and the VM list.
	trafficConfiguration trafficKind = "configuration"
	// trafficKeepers is what keepers tell each other: configuration and health.
	trafficKeepers trafficKind = "keepers"
)

// namedRelay is a relay with its ends and what it carries.
type namedRelay struct {
	*link.Relay
	ends endpoints
	kind trafficKind
}

func newNetwork(hasRelays bool) *network {
	return &network{hasRelays: hasRelays, directions: map[endpoints]*link.Direction{}, usual: map[endpoints]usualLink{}}
}

func (n *network) direction(from, to string) *link.Direction {
	key := endpoints{from, to}
	if n.directions[key] == nil {
		n.directions[key] = link.NewDirection(from, to)
	}
	return n.directions[key]
}

// relay returns the address at which from reaches to.
func (n *network) relay(from, to, address string, kind trafficKind) (string, error) {
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

// find returns the known directions between two sets of names.
func (n *network) find(from, to []string) ([]*link.Direction, error) {
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

// settle waits until the relays have taken in the newest cuts.
func (n *network) settle() error {
	return periodic.Poll(defaultBound, func() error {
		for _, r := range n.relays {
			if !r.HasAppliedCuts() {
				return fmt.Errorf("relay %s has not taken in the cut", r.Address())
			}
		}
		return nil
	})
}

// heal takes all faults off the links.
func (n *network) heal() {
	for ends, d := range n.directions {
		d.SetCut(false)
		d.SetDelay(n.usual[ends].delay)
		d.SetRateLimiter(n.usual[ends].pipe)
	}
}

func (n *network) close() {
	for _, r := range n.relays {
		r.Close()
	}
}

// passed returns how many bytes of a kind went from one set of names to another. An empty kind is all kinds.
func (n *network) passed(from, to []string, kind trafficKind) int64 {
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
