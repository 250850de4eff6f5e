package trial

import (
	"flag"
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

var seeds = flag.Int("seeds", 8, "runs of each row of the table")

var only = flag.String("fault", "", "print only the rows of faults whose name contains this text")

var table = flag.Bool("table", false, "print a table of all policies and faults")

// TestTable prints the measurements of every policy with every fault. It checks nothing and runs only with -table.
func TestTable(t *testing.T) {
	if !*table {
		t.Skip("run with -table")
	}
	for _, fault := range Faults() {
		if !strings.Contains(string(fault), *only) {
			continue
		}
		for _, policy := range Policies() {
			fmt.Println(row(policy, fault))
		}
	}
}

func row(policy Policy, fault Fault) string {
	var detection, falseOut []float64
	var work, trials, ejections, opinions, most, missed, failed, requests int
	var back []float64
	for seed := range uint64(*seeds) {
		c := Default()
		c.Policy, c.Fault, c.Seed = policy, fault, seed+1
		r := Run(c)
		if r.DetectionMS < 0 {
			missed++
		} else {
			detection = append(detection, r.DetectionMS)
		}
		if r.ReturnMS >= 0 {
			back = append(back, r.ReturnMS)
		}
		falseOut = append(falseOut, r.FalseOutSeconds)
		work += r.UnhealthyWork
		trials += r.UnhealthyTrials
		ejections += r.FalseEjections
		opinions += r.Opinions
		failed += r.Failed
		requests += r.Requests
		most = max(most, r.MaxOpinionsPerSecond)
	}
	return fmt.Sprintf("%-12s %-12s detect p50 %7.0f p90 %7.0f missed %2d  unhealthy work %5d trials %4d  false out %8.1f s (%d)  return p50 %7.0f  failed %5d/%d opinions %6d max/s %d",
		fault, policy, quantile(detection, 0.5), quantile(detection, 0.9), missed, work / *seeds, trials / *seeds,
		sum(falseOut), ejections, quantile(back, 0.5), failed, requests, opinions / *seeds, most)
}

func quantile(values []float64, q float64) float64 {
	if len(values) == 0 {
		return -1
	}
	sorted := slices.Sorted(slices.Values(values))
	return sorted[int(q*float64(len(sorted)-1)+0.5)]
}

func sum(values []float64) float64 {
	total := 0.0
	for _, v := range values {
		total += v
	}
	return total
}

// TestSameSeedGivesSameResult guards against a random source or an iteration order that the seed does not determine.
func TestSameSeedGivesSameResult(t *testing.T) {
	c := Default()
	c.Fault = FaultFlap20
	qt.Assert(t, Run(c), qt.DeepEquals, Run(c))
}

var long = flag.Bool("long", false, "run an hour without faults, and storms")

// TestNoFalseEjections checks that the careful policy ejects no healthy backend server without a fault, also under
// overload, and that neither detection policy violates the floor. Rows that take minutes run only with -long.
func TestNoFalseEjections(t *testing.T) {
	const storm = 12_000
	tests := []struct {
		name   string
		rate   float64
		length time.Duration
		long   bool
	}{
		{"five minutes of deposits", 50, 5 * time.Minute, false},
		{"storm for two seconds", storm, 2 * time.Second, false},
		{"an hour of deposits", 50, time.Hour, true},
		{"an hour at 95 % of capacity", 1140, time.Hour, true},
		{"storm for a minute", storm, time.Minute, true},
	}
	for _, test := range tests {
		for _, policy := range []Policy{PolicyCareful, PolicyQuick} {
			t.Run(fmt.Sprint(test.name, " ", policy), func(t *testing.T) {
				if test.long && !*long {
					t.Skip("run with -long")
				}
				c := Default()
				c.Policy, c.Fault, c.Rate, c.Duration = policy, FaultNone, test.rate, test.length
				r := Run(c)
				t.Logf("%+v", r)
				qt.Assert(t, r.FloorBroken, qt.Equals, 0)
				if policy == PolicyCareful {
					qt.Assert(t, r.FalseEjections, qt.Equals, 0)
				}
			})
		}
	}
}
