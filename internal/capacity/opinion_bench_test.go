package capacity_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/primroseladder/primroseladder/internal/health/trial"
)

// opinionTime is the duration of one run in virtual time.
const opinionTime = 2 * time.Minute

// BenchmarkQuietOpinions measures how many opinions one VM sends a second for one service without a fault, with each
// peer counted separately. The size n is the number of requests a second to the service's group.
func BenchmarkQuietOpinions(b *testing.B) {
	for _, rate := range []int{10, 25, 50} {
		b.Run(fmt.Sprintf("n=%d", rate), func(b *testing.B) {
			config := trial.Default()
			config.Policy, config.Fault = trial.PolicyCareful, trial.FaultNone
			config.Rate, config.Duration = float64(rate), opinionTime
			sent, runs := 0, 0
			for b.Loop() {
				runs++
				config.Seed = uint64(runs)
				sent += trial.Run(config).Opinions
			}
			b.ReportMetric(float64(sent)/float64(runs*config.Entries)/opinionTime.Seconds(), "opinions/s")
		})
	}
}
