package measure

import (
	"sync"
	"time"

	"github.com/primroseladder/primroseladder/internal/health/trial"
)

// CurvePoint is one policy at one sensitivity: how fast it ejects an unhealthy backend server, and how much healthy
// capacity it ejects without a fault.
type CurvePoint struct {
	Policy      trial.Policy `json:"policy"`
	Sensitivity float64      `json:"sensitivity"`
	Runs        int          `json:"runs"`
	// DetectionMS is the detection time where all requests fail, PartialDetectionMS where a third of them fails.
	DetectionMS        Summary `json:"detection_ms"`
	PartialDetectionMS Summary `json:"some_detection_ms"`
	// FalseOutSeconds is the time for which healthy backend servers were ejected, summed over the backend servers, in ten
	// minutes without a fault in which 2 % of all requests fail.
	FalseOutSeconds Summary `json:"false_out_seconds"`
}

const (
	backgroundErrorShare = 0.02
	noFaultDuration      = 10 * time.Minute
	usualLoadDuration    = time.Hour
	nearCapacityShare    = 0.95
	nearCapacityDuration = time.Minute
	overloadFactor       = 10
	overloadDuration     = 10 * time.Second
)

var curveSensitivities = []float64{0.4, 0.7, 1, 1.6, 2.5}

// MeasureCurve measures each policy but PolicyNone at each sensitivity.
func MeasureCurve(seeds int) []CurvePoint {
	var points []CurvePoint
	for _, policy := range trial.Policies() {
		if policy == trial.PolicyNone {
			continue
		}
		for _, sensitivity := range curveSensitivities {
			points = append(points, CurvePoint{Policy: policy, Sensitivity: sensitivity, Runs: seeds})
		}
	}
	inParallel(len(points), func(i int) { points[i].fill() })
	return points
}

func (p *CurvePoint) fill() {
	var all, partial, falseOut []float64
	for seed := range p.Runs {
		config := trial.Default()
		config.Policy, config.Sensitivity, config.Seed = p.Policy, p.Sensitivity, uint64(seed+1)
		config.Fault = trial.FaultErrors
		all = append(all, trial.Run(config).DetectionMS)
		config.Fault = trial.FaultSomeErrors
		partial = append(partial, trial.Run(config).DetectionMS)
		config.Fault, config.ErrorShare, config.Duration = trial.FaultNone, backgroundErrorShare, noFaultDuration
		falseOut = append(falseOut, trial.Run(config).FalseOutSeconds)
	}
	p.DetectionMS, p.PartialDetectionMS, p.FalseOutSeconds = summarize(all), summarize(partial), summarize(falseOut)
}

// NoFaultRow is what one policy did to healthy backend servers at one load without a fault.
type NoFaultRow struct {
	Load            string       `json:"load"`
	Policy          trial.Policy `json:"policy"`
	Runs            int          `json:"runs"`
	FalseEjections  Summary      `json:"false_ejections"`
	FalseOutSeconds Summary      `json:"false_out_seconds"`
	RefusedPercent  Summary      `json:"refused_percent"`
	Opinions        Summary      `json:"opinions"`
}

// noFaultLoad is a load that is run without a fault. Its rate is in requests a second.
type noFaultLoad struct {
	name     string
	rate     float64
	duration time.Duration
}

// noFaultLoads returns the usual load for an hour, 95 % of the capacity for a minute, and ten times the capacity for 10 s.
func noFaultLoads() []noFaultLoad {
	c := trial.Default()
	// The service time is lognormal with sigma 0.5, so that its mean is 1.133 times its median.
	capacity := float64(c.Servers*c.Slots) / (1.133 * c.ServiceTime.Seconds())
	return []noFaultLoad{
		{"an hour at 50 requests/s", c.Rate, usualLoadDuration},
		{"a minute at 95 % of the capacity", nearCapacityShare * capacity, nearCapacityDuration},
		{"a storm of ten times the capacity for 10 s", overloadFactor * capacity, overloadDuration},
	}
}

// MeasureNoFault runs each policy under each load without a fault.
func MeasureNoFault(seeds int) []NoFaultRow {
	var rows []NoFaultRow
	loads := noFaultLoads()
	for _, load := range loads {
		for _, policy := range trial.Policies() {
			rows = append(rows, NoFaultRow{Load: load.name, Policy: policy, Runs: seeds})
		}
	}
	inParallel(len(rows), func(i int) { rows[i].fill(loads[i/len(trial.Policies())]) })
	return rows
}

func (row *NoFaultRow) fill(load noFaultLoad) {
	var p PolicyRow
	var results []trial.Result
	for seed := range row.Runs {
		config := trial.Default()
		config.Policy, config.Fault, config.Seed = row.Policy, trial.FaultNone, uint64(seed+1)
		config.Rate, config.Duration = load.rate, load.duration
		results = append(results, trial.Run(config))
	}
	p.summarizeResults(results)
	row.FalseEjections, row.FalseOutSeconds = p.FalseEjections, p.FalseOutSeconds
	row.RefusedPercent, row.Opinions = p.RefusedPercent, p.Opinions
}

// inParallel calls do for each number below n, maxParallelTrials of them at a time, and waits for all.
func inParallel(n int, do func(i int)) {
	var wg sync.WaitGroup
	slots := make(chan struct{}, maxParallelTrials)
	for i := range n {
		wg.Go(func() {
			slots <- struct{}{}
			defer func() { <-slots }()
			do(i)
		})
	}
	wg.Wait()
}
