package health

import (
	"cmp"
	"slices"
	"time"
)

// Explanation gives the reasons why a backend server is in or out of service on this VM.
type Explanation struct {
	Backend string `json:"backend"`
	// State is what the evidence calls for, regardless of the floor: in, out, trial or slow-start.
	State string `json:"standing"`
	// Excluded is set if the backend server gets no requests other than trials.
	Excluded bool `json:"out"`
	// KeptInByFloor is set if the evidence calls for an ejection but the floor keeps the backend server in service.
	KeptInByFloor bool `json:"held_in_by_floor,omitempty"`
	Draining      bool `json:"draining,omitempty"`
	// Scope is local or shared.
	Scope string `json:"scope,omitempty"`
	Kind  string `json:"kind,omitempty"`
	// Since is when the state began, Until when the ejection's lease expires.
	Since *time.Time `json:"since,omitempty"`
	Until *time.Time `json:"until,omitempty"`
	// Ejections counts the ejections in a row.
	Ejections int `json:"absences,omitempty"`
	// Observers are the VMs with evidence.
	Observers []ObserverScore `json:"observers,omitempty"`
}

// ObserverScore is the evidence of one VM. Scores have no unit; a score of 1 ejects a backend server.
type ObserverScore struct {
	VM      string  `json:"vm"`
	Zone    string  `json:"zone"`
	Kind    string  `json:"kind"`
	Failing float64 `json:"failing"`
	Slow    float64 `json:"slow"`
	// Distrusted is set if the VM's network path to the service is considered unhealthy.
	Distrusted bool `json:"distrusted,omitempty"`
}

// Report is the health of a service's backend servers as seen from this VM.
type Report struct {
	Live     int `json:"live"`
	Draining int `json:"draining"`
	// Floor is the least number that stays in service, Budget how many may be ejected, InService how many are in service.
	Floor     int      `json:"floor"`
	Budget    int      `json:"budget"`
	InService int      `json:"in_service"`
	Out       []string `json:"out"`
	// HasReference is set if enough latencies were measured to recognise a slow backend server.
	HasReference bool `json:"reference"`
	// MostOut is the largest number of backend servers out at a time since this VM began to serve the service.
	MostOut int `json:"most_out"`
	// FloorBreaches counts the computed views that would have violated the floor; each put all backend servers in service
	// instead. It is 0 unless the assessment has a fault.
	FloorBreaches int `json:"floor_breaches"`
	// MostEjections is the largest number of ejections in a row that one backend server has had.
	MostEjections int           `json:"most_absences"`
	Backends      []Explanation `json:"backends"`
}

// Explain returns the reasons why the backend server is in or out of service. It returns false if the backend server is
// not live.
func (b *Board) Explain(name string) (Explanation, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	s := b.byName[name]
	if s == nil {
		return Explanation{}, false
	}
	return b.explain(s), true
}

// Report returns the health of all backend servers.
func (b *Board) Report() Report {
	b.mu.Lock()
	defer b.mu.Unlock()
	r := Report{
		Live: len(b.servers), Out: b.Out(), MostOut: b.mostOut, MostEjections: b.mostEjections, FloorBreaches: b.floorBreaches,
	}
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
	shouldBeOut := s.state == StateOut || s.state == StateTrial
	e.KeptInByFloor = shouldBeOut && !e.Excluded && !s.draining
	if s.state != StateInService {
		since := s.stateSince
		e.Since = &since
	}
	if shouldBeOut {
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
