package scenario

import (
	"fmt"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"
)

// chaosSeeds are the seeds that run unless CHAOS_SEED is set.
var chaosSeeds = []uint64{1, 2, 3, 4, 5, 6}

// chaosSeedVariable is the environment variable that replaces the seeds by one seed ("7") or by an inclusive range ("7-20").
const chaosSeedVariable = "CHAOS_SEED"

// TestChaosPairs runs one chaos scenario for each seed. Each injects two overlapping faults under load.
func TestChaosPairs(t *testing.T) {
	c := qt.New(t)
	seeds := chaosSeeds
	if text := os.Getenv(chaosSeedVariable); text != "" {
		var err error
		seeds, err = parseSeeds(text)
		c.Assert(err, qt.IsNil)
	}
	dir := t.TempDir()
	var files []string
	for _, seed := range seeds {
		file := filepath.Join(dir, fmt.Sprintf("chaos-%d.txtar", seed))
		c.Assert(os.WriteFile(file, []byte(ChaosScript(seed)), 0o600), qt.IsNil)
		files = append(files, file)
	}
	runScenarios(t, files)
}

func parseSeeds(text string) ([]uint64, error) {
	from, to, isRange := strings.Cut(text, "-")
	if !isRange {
		to = from
	}
	first, err := strconv.ParseUint(from, 10, 64)
	if err != nil {
		return nil, err
	}
	last, err := strconv.ParseUint(to, 10, 64)
	var seeds []uint64
	for seed := first; seed <= last; seed++ {
		seeds = append(seeds, seed)
	}
	return seeds, err
}
