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

// pushTargetSet holds the keepers to which each new change is pushed because they asked for it, as their own calls
// are unanswered, or because they did not answer a call.
type pushTargetSet struct {
	mu      sync.Mutex
	entries map[string]pushTarget
}

type pushTarget struct {
	vm        fleet.VM
	expiresAt time.Time
}

// record adds a keeper to the set if pushWanted is set, and else removes it. A full set stays as it is.
func (p *pushTargetSet) record(vm fleet.VM, pushWanted bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !pushWanted {
		delete(p.entries, vm.Name)
		return
	}
	if p.entries == nil {
		p.entries = map[string]pushTarget{}
	}
	if len(p.entries) < maxPushTargets {
		p.entries[vm.Name] = pushTarget{vm, time.Now().Add(pushTargetLifetime)}
	}
}

// list returns the keepers in the set and removes expired ones.
func (p *pushTargetSet) list() []fleet.VM {
	p.mu.Lock()
	defer p.mu.Unlock()
	var out []fleet.VM
	for name, target := range p.entries {
		if time.Now().After(target.expiresAt) {
			delete(p.entries, name)
			continue
		}
		out = append(out, target.vm)
	}
	return out
}
