package measure

import (
	"time"

	"github.com/primroseladder/primroseladder/internal/placement/trial"
)

// PlacementRow is the cost of one placement at one load. A placement is how many entries send to each backend server, and
// how they choose among the backend servers. Load is a fraction of the capacity of all slots.
type PlacementRow struct {
	Entries         int          `json:"entries"`
	Choice          trial.Choice `json:"choice"`
	Load            float64      `json:"load"`
	Runs            int          `json:"runs"`
	ShedsPerRequest Summary      `json:"sheds_per_request"`
	WaitP50MS       Summary      `json:"wait_p50_ms"`
	WaitP99MS       Summary      `json:"wait_p99_ms"`
}

// The compared placements. The numbers of entries represent a single entry that sends to each backend server, groups of
// several sizes, and all entries sending to each backend server.
var (
	placementEntries = []int{1, 3, 6, 12, 40}
	placementLoads   = []float64{0.5, 0.8, 0.95}
	placementChoices = []trial.Choice{trial.ChoiceRandom, trial.ChoiceOfTwo, trial.ChoiceLeast}
)

const (
	placementRequests    = 20_000
	placementServers     = 18
	placementSlots       = 4
	placementServiceTime = 20 * time.Millisecond
)

// ComparePlacement runs each placement at each load once for each seed.
func ComparePlacement(seeds int) []PlacementRow {
	var rows []PlacementRow
	for _, load := range placementLoads {
		for _, choice := range placementChoices {
			for _, entries := range placementEntries {
				row := PlacementRow{Entries: entries, Choice: choice, Load: load, Runs: seeds}
				row.fill()
				rows = append(rows, row)
			}
		}
	}
	return rows
}

func (row *PlacementRow) fill() {
	var sheds, p50, p99 []float64
	for seed := range row.Runs {
		r := trial.Run(trial.Config{
			Entries: row.Entries, BackendServers: placementServers, Slots: placementSlots, ServiceTime: placementServiceTime,
			Load: row.Load, Choice: row.Choice, Requests: placementRequests, Seed: uint64(seed + 1),
		})
		sheds = append(sheds, r.ShedsPerRequest)
		p50 = append(p50, milliseconds(r.WaitP50))
		p99 = append(p99, milliseconds(r.WaitP99))
	}
	row.ShedsPerRequest, row.WaitP50MS, row.WaitP99MS = summarize(sheds), summarize(p50), summarize(p99)
}

func milliseconds(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }
