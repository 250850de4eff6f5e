package keeper

import (
	"sync"
	"time"

	"github.com/primroseladder/primroseladder/internal/fleet"
)

const (
	// pushTargetLifetime is how long a keeper stays in the set after it was last recorded.
	pushTargetLifetime = time.Minute
	// maxPushTargets bounds the size of the set.
	maxPushTargets = 16
)

// pushTargetSet holds the keepers to which each new change is pushed, by VM name: those that asked for it because their
// own calls are unanswered, and those that did not answer a call.
type pushTargetSet struct {
	mu      sync.Mutex
	targets map[string]pushTarget
}

type pushTarget struct {
	vm        fleet.VM
	expiresAt time.Time
}

// record adds a keeper to the set if pushWanted is set, and else removes it. While the set is full,
// no keeper is added and no lifetime is extended.
func (p *pushTargetSet) record(vm fleet.VM, pushWanted bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !pushWanted {
		delete(p.targets, vm.Name)
		return
	}
	if p.targets == nil {
		p.targets = map[string]pushTarget{}
	}
	if len(p.targets) < maxPushTargets {
		p.targets[vm.Name] = pushTarget{vm, time.Now().Add(pushTargetLifetime)}
	}
}

// list returns the keepers in the set and removes expired ones.
func (p *pushTargetSet) list() []fleet.VM {
	p.mu.Lock()
	defer p.mu.Unlock()
	var out []fleet.VM
	for name, target := range p.targets {
		if time.Now().After(target.expiresAt) {
			delete(p.targets, name)
			continue
		}
		out = append(out, target.vm)
	}
	return out
}
