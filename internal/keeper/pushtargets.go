package keeper

import (
	"sync"
	"time"

	"github.com/primroseladder/primroseladder/internal/fleet"
)

const (
	// pushTargetLifetime is how long a keeper is remembered that asked to be pushed to.
	pushTargetLifetime = time.Minute
	// maxPushTargets bounds the remembered keepers.
	maxPushTargets = 16
)

// pushTargetSet remembers keepers whose own calls get no answer, or from which no answer comes, so that each new change
// is pushed to them.
type pushTargetSet struct {
	mu      sync.Mutex
	entries map[string]pushTarget
}

type pushTarget struct {
	vm        fleet.VM
	expiresAt time.Time
}

// record remembers or forgets a keeper by its last answer.
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

// list returns the remembered keepers.
func (p *pushTargetSet) list() []fleet.VM {
	p.mu.Lock()
	defer p.mu.Unlock()
	var out []fleet.VM
	for name, k := range p.entries {
		if time.Now().After(k.expiresAt) {
			delete(p.entries, name)
			continue
		}
		out = append(out, k.vm)
	}
	return out
}
