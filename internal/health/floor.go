package health

import (
	"cmp"
	"slices"
)

// Candidate is a backend server that should be out of service according to the evidence.
type Candidate struct {
	Name string
	// Severity orders the candidates: the highest are taken out of service first.
	Severity float64
}

// Floor returns how many of the live backend servers must stay in service. It is at least 1 unless none is live.
func Floor(live, percent int) int {
	if live <= 0 {
		return 0
	}
	return min(live, max(1, (live*percent+99)/100))
}

// EjectionBudget returns how many backend servers may be out of service in addition to the draining ones, which accept
// no new work in any case.
func EjectionBudget(live, draining, percent int) int {
	return max(0, live-draining-Floor(live, percent))
}

// SelectOutOfService returns the names of the most severe candidates, as many as the budget allows. No other code
// decides which backend servers are out of service.
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
