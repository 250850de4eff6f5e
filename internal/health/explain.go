package health

import (
	"cmp"
	"slices"
	"time"
)

// Explanation tells why a backend server is in or out of service on this VM.
type Explanation struct {
	Backend string `json:"backend"`
	// State is what evidence wants: in, out, trial or slow-start.
	State string `json:"standing"`
	// Excluded tells whether it gets no ordinary work.
	Excluded bool `json:"out"`
	// KeptInByFloor is set where evidence wants it out and the floor keeps it in.
	KeptInByFloor bool `json:"held_in_by_floor,omitempty"`
	Draining      bool `json:"draining,omitempty"`
	// Scope is local or shared.
	Scope string `json:"scope,omitempty"`
	Kind  string `json:"kind,omitempty"`
	// Since is when the standing began, Until when the lease lapses.
	Since *time.Time `json:"since,omitempty"`
	Until *time.Time `json:"until,omitempty"`
	// Ejections counts the absences in a row.
	Ejections int `json:"absences,omitempty"`
	// Observers are the VMs with evidence.
	Observers []ObserverScore `json:"observers,omitempty"`
}

// ObserverScore is the evidence of one VM. Scores have no unit; 1 takes a backend server out.
type ObserverScore struct {
	VM      string  `json:"vm"`
	Zone    string  `json:"zone"`
	Kind    string  `json:"kind"`
	Failing float64 `json:"failing"`
	Slow    float64 `json:"slow"`
	// Distrusted is set where the VM's own path looks sick.
	Distrusted bool `json:"distrusted,omitempty"`
}

// Report is the standing of a service's backend servers on this VM.
type Report struct {
	Live     int `json:"live"`
	Draining int `json:"draining"`
	// Floor is how many stay in service, Budget how many may be out, InService how many are in.
	Floor     int      `json:"floor"`
	Budget    int      `json:"budget"`
	InService int      `json:"in_service"`
	Out       []string `json:"out"`
	// HasReference tells whether enough is known of ordinary latencies to call a backend server slow.
	HasReference bool `json:"reference"`
	// MostOut is the most that were out at a time since this VM began to serve the service.
	MostOut int `json:"most_out"`
	// FloorBreaches counts how often the floor did not hold. It is always 0.
	FloorBreaches int `json:"floor_breaches"`
	// MostEjections is the most absences in a row that one backend server has had.
	MostEjections int           `json:"most_absences"`
	Backends      []Explanation `json:"backends"`
}

// Explain tells why the backend server is in or out of service. It returns false where the server is not live.
func (b *Board) Explain(name string) (Explanation, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	s := b.byName[name]
	if s == nil {
		return Explanation{}, false
	}
	return b.explain(s), true
}

// Report returns the standing of all backend servers.
func (b *Board) Report() Report {
	b.mu.Lock()
	defer b.mu.Unlock()
	r := Report{Live: len(b.servers), Out: b.Out(), MostOut: b.mostOut, MostEjections: b.mostEjections, FloorBreaches: b.floorBreaches}
	for _, s := range b.servers {
		if s.draining {
			r.Draining++
		}
		r.Backends = append(r.Backends, b.explain(s))
	}
	r.Floor = Floor(r.Live, b.settings.FloorPercent)
	r.Budget = EjectionBudget(r.Live, r.Draining, b.settings.FloorPercent)
	for _, known := range b.references {
		r.HasReference = r.HasReference || known.spread > 0
	}
	r.InService = r.Live - r.Draining - len(r.Out)
	return r
}

func (b *Board) explain(s *server) Explanation {
	e := Explanation{Backend: s.name, State: s.state.String(), Excluded: b.IsExcluded(s.name), Draining: s.draining}
	wantedOut := s.state == StateOut || s.state == StateTrial
	e.KeptInByFloor = wantedOut && !e.Excluded && !s.draining
	if s.state != StateInService {
		since := s.stateSince
		e.Since = &since
	}
	if wantedOut {
		until := s.leaseEnd
		e.Until = &until
		e.Scope, e.Kind, e.Ejections = s.scope.String(), s.kind.String(), s.ejections()
	}
	for _, observed := range s.evidence {
		if observed.failing == 0 && observed.slow == 0 {
			continue
		}
		e.Observers = append(e.Observers, ObserverScore{
			VM: observed.vm, Zone: observed.zone, Kind: observed.kind.String(), Failing: observed.failing, Slow: observed.slow,
			Distrusted: b.distrusted[observed.vm],
		})
	}
	slices.SortFunc(e.Observers, func(x, y ObserverScore) int { return cmp.Compare(x.VM, y.VM) })
	return e
}
