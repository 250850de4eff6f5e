package keeper

import (
	"sync"
	"time"

	"github.com/primroseladder/primroseladder/internal/fleet"
)

const (
	// muteMemory is how long a keeper is remembered that asked to be pushed to.
	muteMemory = time.Minute
	// maxMute bounds the remembered keepers.
	maxMute = 16
)

// muteKeepers remembers keepers whose own calls get no answer, or from which no answer comes, so that each new change
// is pushed to them.
type muteKeepers struct {
	mu      sync.Mutex
	entries map[string]muteKeeper
}

type muteKeeper struct {
	vm    fleet.VM
	until time.Time
}

// note remembers or forgets a keeper by its last answer.
func (m *muteKeepers) note(vm fleet.VM, pushWanted bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if !pushWanted {
		delete(m.entries, vm.Name)
		return
	}
	if m.entries == nil {
		m.entries = map[string]muteKeeper{}
	}
	if len(m.entries) < maxMute {
		m.entries[vm.Name] = muteKeeper{vm, time.Now().Add(muteMemory)}
	}
}

// list returns the remembered keepers.
func (m *muteKeepers) list() []fleet.VM {
	m.mu.Lock()
	defer m.mu.Unlock()
	var out []fleet.VM
	for name, k := range m.entries {
		if time.Now().After(k.until) {
			delete(m.entries, name)
			continue
		}
		out = append(out, k.vm)
	}
	return out
}
