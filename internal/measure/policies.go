// Package measure runs the measurements that the users asked for: comparisons of ejection policies and of placements in
// virtual time, and faults on a fleet of real processes. All runs are seeded. The tables give the median over the seeds
// with the lowest and highest value. A run without a value, such as a fault that was never detected, is counted as missing.
package measure

import (
	"slices"

	"github.com/primroseladder/primroseladder/internal/health/trial"
)

// Summary is the median of a value over several runs, with its lowest and highest value.
type Summary struct {
	Median float64 `json:"median"`
	Min    float64 `json:"min"`
	Max    float64 `json:"max"`
	// Missing counts the runs without a value.
	Missing int `json:"missing,omitempty"`
}

// summarize returns the summary of values. Negative values count as missing.
func summarize(values []float64) Summary {
	var present []float64
	for _, v := range values {
		if v >= 0 {
			present = append(present, v)
		}
	}
	summary := Summary{Missing: len(values) - len(present)}
	if len(present) == 0 {
		return summary
	}
	slices.Sort(present)
	summary.Median, summary.Min, summary.Max = present[len(present)/2], present[0], present[len(present)-1]
	return summary
}

// Deployment is a service of the users in which policies are compared.
type Deployment struct {
	Name   string       `json:"name"`
	Config trial.Config `json:"-"`
}

// Deployments returns the deposits of Kalgoorie and the bookings of Cristal Brillante, each at its real size.
func Deployments() []Deployment {
	deposits, bookings := trial.Default(), trial.Default()
	bookings.Slots = 4
	return []Deployment{{Name: "deposits, 18 backend servers with 3 slots", Config: deposits}, {Name: "bookings, 18 backend servers with 4 slots", Config: bookings}}
}

// PolicyRow is how one policy handled one fault in one deployment. Its values are those of trial.Result.
type PolicyRow struct {
	Deployment string       `json:"user"`
	Policy     trial.Policy `json:"policy"`
	Fault      trial.Fault  `json:"fault"`
	Runs       int          `json:"runs"`
	// DetectionMS is the time from the onset of the fault to the last request dispatched to the unhealthy backend server
	// before all VMs had ejected it.
	DetectionMS     Summary `json:"detection_ms"`
	UnhealthyWork   Summary `json:"sick_work"`
	UnhealthyTrials Summary `json:"sick_trials"`
	// FalseOutSeconds is the time for which healthy backend servers were ejected, summed over the backend servers and
	// averaged over the VMs.
	FalseOutSeconds Summary `json:"false_out_seconds"`
	FalseEjections  Summary `json:"false_ejections"`
	ReturnMS        Summary `json:"return_ms"`
	// GoodputPercent is the percentage of requests that were done.
	GoodputPercent Summary `json:"goodput_percent"`
	RefusedPercent Summary `json:"refused_percent"`
	Opinions       Summary `json:"opinions"`
	FloorBroken    int     `json:"floor_broken"`
}

// ComparePolicies runs each policy against each fault in each deployment, once for each seed.
func ComparePolicies(seeds int) []PolicyRow {
	var rows []PolicyRow
	for _, deployment := range Deployments() {
		for _, fault := range trial.Faults() {
			for _, policy := range trial.Policies() {
				rows = append(rows, PolicyRow{Deployment: deployment.Name, Policy: policy, Fault: fault, Runs: seeds})
			}
		}
	}
	inParallel(len(rows), func(i int) { rows[i].fill() })
	return rows
}

// maxParallelTrials limits the processor cores that the trials use.
const maxParallelTrials = 4

func (row *PolicyRow) fill() {
	config := trial.Default()
	for _, deployment := range Deployments() {
		if deployment.Name == row.Deployment {
			config = deployment.Config
		}
	}
	config.Policy, config.Fault = row.Policy, row.Fault
	var results []trial.Result
	for seed := range row.Runs {
		config.Seed = uint64(seed + 1)
		results = append(results, trial.Run(config))
	}
	row.summarizeResults(results)
}

func (row *PolicyRow) summarizeResults(results []trial.Result) {
	summarizeField := func(value func(trial.Result) float64) Summary {
		var values []float64
		for _, r := range results {
			values = append(values, value(r))
		}
		return summarize(values)
	}
	row.DetectionMS = summarizeField(func(r trial.Result) float64 { return r.DetectionMS })
	row.UnhealthyWork = summarizeField(func(r trial.Result) float64 { return float64(r.UnhealthyWork) })
	row.UnhealthyTrials = summarizeField(func(r trial.Result) float64 { return float64(r.UnhealthyTrials) })
	row.FalseOutSeconds = summarizeField(func(r trial.Result) float64 { return r.FalseOutSeconds })
	row.FalseEjections = summarizeField(func(r trial.Result) float64 { return float64(r.FalseEjections) })
	row.ReturnMS = summarizeField(func(r trial.Result) float64 { return r.ReturnMS })
	row.GoodputPercent = summarizeField(func(r trial.Result) float64 { return percent(r.Done, r.Requests) })
	row.RefusedPercent = summarizeField(func(r trial.Result) float64 { return percent(r.Refused, r.Requests) })
	row.Opinions = summarizeField(func(r trial.Result) float64 { return float64(r.Opinions) })
	for _, r := range results {
		row.FloorBroken += r.FloorBroken
	}
}

func percent(part, whole int) float64 { return 100 * float64(part) / float64(max(1, whole)) }
