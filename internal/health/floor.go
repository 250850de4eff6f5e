package health

import (
	"cmp"
	"slices"
)

// Candidate is a backend server that evidence wants out of service.
type Candidate struct {
	Name string
	// Severity orders the candidates. The worst go first.
	Severity float64
}

// Floor returns how many of live backend servers must stay in service. One always stays.
func Floor(live, percent int) int {
	if live <= 0 {
		return 0
	}
	return min(live, max(1, (live*percent+99)/100))
}

// EjectionBudget returns how many backend servers may be out when draining of the live ones take no new work anyhow.
func EjectionBudget(live, draining, percent int) int {
	return max(0, live-draining-Floor(live, percent))
}

// SelectOutOfService returns the candidates that are out of service: the worst, as many as the budget allows. It is the only
// place that decides who is out.
func SelectOutOfService(candidates []Candidate, live, draining, percent int) []string {
	sorted := slices.Clone(candidates)
	slices.SortFunc(sorted, func(a, b Candidate) int {
		return cmp.Or(cmp.Compare(b.Severity, a.Severity), cmp.Compare(a.Name, b.Name))
	})
	sorted = sorted[:min(len(sorted), EjectionBudget(live, draining, percent))]
	out := make([]string, 0, len(sorted))
	for _, c := range sorted {
		out = append(out, c.Name)
	}
	return out
}
