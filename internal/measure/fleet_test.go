package measure

import (
	"testing"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	qt "github.com/frankban/quicktest"

	"github.com/primroseladder/primroseladder/internal/load"
	"github.com/primroseladder/primroseladder/internal/outcome"
	"github.com/primroseladder/primroseladder/internal/standin/backendserver"
)

func TestDetectionIsTheLastRequestBeforeAPause(t *testing.T) {
	begin := time.Unix(1_800_000_000, 0)
	for _, test := range []struct {
		name                           string
		atMS                           []int
		detectionMS                    float64
		untilDetection, afterDetection float64
	}{
		{"requests stop for good", []int{-300, 100, 250}, 250, 2, 0},
		{"trials come later", []int{-300, 100, 250, 2500, 3000}, 250, 2, 2},
		{"no pause", []int{-300, 0, 900, 1800, 2700, 3600, 4500, 4990}, -1, 7, 0},
		{"no request shortly before the fault", []int{-900, 100}, -1, 1, 0},
		{"requests after the fault do not count", []int{-300, 100, 5100}, 100, 1, 0},
	} {
		c := qt.New(t)
		var runs []backendserver.JournalRun
		for _, ms := range test.atMS {
			runs = append(runs, backendserver.JournalRun{At: begin.Add(time.Duration(ms) * time.Millisecond)})
		}
		report := &load.Report{
			Added: hdrhistogram.New(1, 1000, 3), Requests: []load.Sent{
				{Outcome: string(outcome.Done), Status: 200},
				{Outcome: string(outcome.Done), Status: 500},
				{Outcome: string(outcome.NotRun)},
				{Outcome: string(outcome.Unknown)},
			},
		}
		r := analyze(report, runs, begin, begin.Add(faultDuration))
		c.Check(r.detectionMS, qt.Equals, test.detectionMS, qt.Commentf("%s", test.name))
		c.Check(r.untilDetection, qt.Equals, test.untilDetection, qt.Commentf("%s", test.name))
		c.Check(r.afterDetection, qt.Equals, test.afterDetection, qt.Commentf("%s", test.name))
		c.Check([]float64{r.goodputPercent, r.unknownOr5xx, r.refused}, qt.DeepEquals, []float64{25, 2, 1})
	}
}

func TestSummaryCountsRunsWithoutAValue(t *testing.T) {
	c := qt.New(t)
	s := summarize([]float64{5, -1, 1, 3})
	c.Assert(s, qt.Equals, Summary{Median: 3, Min: 1, Max: 5, Missing: 1})
	c.Assert(summarize([]float64{-1, -1}).String(), qt.Equals, "never in 2")
}
