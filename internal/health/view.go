package health

import (
	"maps"
	"slices"
	"time"
)

// State is the state of a backend server according to the evidence, regardless of the floor.
type State int

// The states, in the order in which an unhealthy backend server passes through them.
const (
	StateInService State = iota
	// StateOut means that the backend server is ejected until its lease expires.
	StateOut
	// StateTrial means that the backend server receives single idempotent requests, which decide whether it returns.
	StateTrial
	// StateSlowStart means that the backend server is back in service and receives a growing share of the requests.
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

// Scope states on whose evidence a backend server is ejected.
type Scope int

// The scopes.
const (
	ScopeNone Scope = iota
	// ScopeLocal means the evidence of this VM alone.
	ScopeLocal
	// ScopeShared means the consistent evidence of several VMs.
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

// View is a snapshot of which backend servers may be chosen for requests. It is immutable.
type View struct {
	// out holds the names of the backend servers that receive no requests other than trials.
	out map[string]struct{}
	// draining holds the names of the backend servers that announced that they accept no new work.
	draining map[string]struct{}
	// Trials names the backend servers that should receive the next idempotent request: those in a trial, and probably
	// unhealthy ones in service. Board.ClaimTrial must allow each request.
	Trials []string
	// LocalPathUnhealthy is set if the network path from this VM to the service is considered unhealthy. Another VM
	// should then run the requests.
	LocalPathUnhealthy bool
	// slowStartedAt holds the time at which slow start began, for each backend server in slow start.
	slowStartedAt map[string]time.Time
	// slowStart is the length of slow start.
	slowStart time.Duration
}

// View returns the current view. It takes no lock.
func (b *Board) View() *View { return b.view.Load() }

// IsExcluded reports whether the backend server receives no requests other than trials because it is out of service or
// draining.
func (v *View) IsExcluded(name string) bool {
	if _, out := v.out[name]; out {
		return true
	}
	return v.IsDraining(name)
}

// Draining returns the names of the backend servers that announced that they accept no new work.
func (v *View) Draining() []string { return slices.Collect(maps.Keys(v.draining)) }

// IsDraining reports whether the backend server announced that it accepts no new work.
func (v *View) IsDraining(name string) bool {
	_, draining := v.draining[name]
	return draining
}

// slowStartShare is the share of requests at the beginning of slow start.
const slowStartShare = 0.1

// Share returns how much of its usual share of the requests the backend server should receive, from 0 to 1.
func (v *View) Share(name string, now time.Time) float64 {
	if len(v.slowStartedAt) == 0 {
		return 1
	}
	begin, starting := v.slowStartedAt[name]
	if !starting {
		return 1
	}
	grown := float64(now.Sub(begin)) / float64(v.slowStart)
	return min(1, max(slowStartShare, grown))
}

// IsExcluded reports whether the backend server receives no requests other than trials in the current view.
func (b *Board) IsExcluded(name string) bool { return b.View().IsExcluded(name) }

// Out returns the sorted names of the backend servers that are out of service, without the draining ones.
func (b *Board) Out() []string {
	out := slices.AppendSeq([]string{}, maps.Keys(b.View().out))
	slices.Sort(out)
	return out
}

// publish computes the view and stores it if it changed. It reports whether the view changed.
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
			if view.slowStartedAt == nil {
				view.slowStartedAt = map[string]time.Time{}
			}
			view.slowStartedAt[s.name] = s.stateSince
		}
	}
	old := b.view.Load()
	if old.isSame(view) {
		return false
	}
	b.view.Store(view)
	return true
}

// drainingSet returns the names of the draining backend servers, or nil.
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

// checkFloor protects the floor against a fault in the assessment: in a view that would violate the floor, it puts all
// backend servers in service.
func (b *Board) checkFloor(view *View, draining int) {
	inService := len(b.servers) - draining - len(view.out)
	if len(view.out) > 0 && inService < Floor(len(b.servers), b.settings.FloorPercent) {
		b.floorBreaches++
		view.out, view.Trials = nil, nil
	}
	b.mostOut = max(b.mostOut, len(view.out))
}

func (v *View) isSame(other *View) bool {
	return maps.Equal(v.out, other.out) && maps.Equal(v.draining, other.draining) &&
		slices.Equal(v.Trials, other.Trials) && maps.Equal(v.slowStartedAt, other.slowStartedAt) &&
		v.slowStart == other.slowStart && v.LocalPathUnhealthy == other.LocalPathUnhealthy
}
