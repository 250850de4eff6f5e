package health

import (
	"maps"
	"slices"
	"time"
)

// State is whether a backend server is in service, as evidence wants it.
type State int

// The standings, in the order in which a sick backend server goes through them.
const (
	StateInService State = iota
	StateOut
	// StateTrial gets a trickle of idempotent requests.
	StateTrial
	// StateSlowStart gets a growing share of the work.
	StateSlowStart
)

func (s State) String() string {
	switch s {
	case StateOut:
		return "out"
	case StateTrial:
		return "trial"
	case StateSlowStart:
		return "slow-start"
	default:
		return "in"
	}
}

// Scope tells on whose evidence a backend server is out.
type Scope int

// The scopes.
const (
	ScopeNone Scope = iota
	// ScopeLocal is this VM's own evidence alone.
	ScopeLocal
	// ScopeShared is the agreement of several VMs.
	ScopeShared
)

func (s Scope) String() string {
	switch s {
	case ScopeLocal:
		return "local"
	case ScopeShared:
		return "shared"
	default:
		return "none"
	}
}

// View tells which backend servers may be picked. It is immutable.
type View struct {
	// out holds the backend servers that get no work but trial requests.
	out map[string]struct{}
	// draining holds the backend servers that said they take no new work.
	draining map[string]struct{}
	// Trials are those that the next idempotent request should go to: those that may return, and those that are
	// suspected and still in service. ClaimTrial has the last word.
	Trials []string
	// LocalPathUnhealthy is set where this VM's own path to the service looks sick: work is better done on another VM.
	LocalPathUnhealthy bool
	// starts holds the beginning of slow start.
	starts    map[string]time.Time
	slowStart time.Duration
}

// View returns the newest view without a lock.
func (b *Board) View() *View { return b.view.Load() }

// IsExcluded reports whether the backend server gets no ordinary work: it is out of service or draining.
func (v *View) IsExcluded(name string) bool {
	if _, out := v.out[name]; out {
		return true
	}
	return v.IsDraining(name)
}

// Draining returns the backend servers that said they take no new work.
func (v *View) Draining() []string { return slices.Collect(maps.Keys(v.draining)) }

// IsDraining reports whether the backend server said that it takes no new work.
func (v *View) IsDraining(name string) bool {
	_, draining := v.draining[name]
	return draining
}

// slowStartShare is the share of the work at the beginning of slow start.
const slowStartShare = 0.1

// Share returns the share of its ordinary work that the backend server should get, from 0 to 1.
func (v *View) Share(name string, now time.Time) float64 {
	if len(v.starts) == 0 {
		return 1
	}
	begin, starting := v.starts[name]
	if !starting {
		return 1
	}
	grown := float64(now.Sub(begin)) / float64(v.slowStart)
	return min(1, max(slowStartShare, grown))
}

// IsExcluded reports whether the backend server gets no ordinary work.
func (b *Board) IsExcluded(name string) bool { return b.View().IsExcluded(name) }

// Out returns the names of the backend servers that are out of service.
func (b *Board) Out() []string {
	out := slices.AppendSeq([]string{}, maps.Keys(b.View().out))
	slices.Sort(out)
	return out
}

// publish computes the view. It returns whether the set of usable backend servers changed.
func (b *Board) publish() bool {
	var candidates []Candidate
	draining := 0
	for _, s := range b.servers {
		if s.draining {
			draining++
			continue
		}
		if s.state == StateOut || s.state == StateTrial {
			candidates = append(candidates, Candidate{s.name, s.severity})
		}
	}
	view := &View{
		slowStart: b.settings.SlowStart, draining: b.drainingSet(), LocalPathUnhealthy: b.distrusted[b.self.VM],
	}
	for _, name := range SelectOutOfService(candidates, len(b.servers), draining, b.settings.FloorPercent) {
		if view.out == nil {
			view.out = map[string]struct{}{}
		}
		view.out[name] = struct{}{}
		if b.byName[name].state == StateTrial {
			view.Trials = append(view.Trials, name)
		}
	}
	b.checkFloor(view, draining)
	for _, s := range b.servers {
		if s.wantsConfirmation && !s.draining {
			view.Trials = append(view.Trials, s.name)
		}
		if s.state == StateSlowStart {
			if view.starts == nil {
				view.starts = map[string]time.Time{}
			}
			view.starts[s.name] = s.stateSince
		}
	}
	old := b.view.Load()
	if old.isSame(view) {
		return false
	}
	b.view.Store(view)
	return true
}

// drainingSet returns the backend servers that take no new work, or nil.
func (b *Board) drainingSet() map[string]struct{} {
	var set map[string]struct{}
	for _, s := range b.servers {
		if !s.draining {
			continue
		}
		if set == nil {
			set = map[string]struct{}{}
		}
		set[s.name] = struct{}{}
	}
	return set
}

// checkFloor guards the floor against a fault in the judgement: a view that breaks it puts everybody in service.
func (b *Board) checkFloor(view *View, draining int) {
	inService := len(b.servers) - draining - len(view.out)
	if len(view.out) > 0 && inService < Floor(len(b.servers), b.settings.FloorPercent) {
		b.floorBreaches++
		view.out, view.Trials = nil, nil
	}
	b.mostOut = max(b.mostOut, len(view.out))
}

func (v *View) isSame(other *View) bool {
	return maps.Equal(v.out, other.out) && maps.Equal(v.draining, other.draining) && slices.Equal(v.Trials, other.Trials) && maps.Equal(v.starts, other.starts) &&
		v.slowStart == other.slowStart && v.LocalPathUnhealthy == other.LocalPathUnhealthy
}
