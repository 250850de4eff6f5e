package lag_test

import (
	"context"
	"runtime"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/rs/zerolog"

	"github.com/primroseladder/primroseladder/internal/lag"
)

// TestWorkThatWaitsCountsAsLag guards against a saturated VM that does not notice that it is late (CONFIG: requests held past their
// time limit): the scheduler runs a goroutine that a timer wakes before all that wait, so a timer alone shows no lag.
func TestWorkThatWaitsCountsAsLag(t *testing.T) {
	c := qt.New(t)
	defer runtime.GOMAXPROCS(runtime.GOMAXPROCS(1))
	ctx, cancel := context.WithCancel(t.Context())
	var working sync.WaitGroup
	defer working.Wait()
	defer cancel()
	m := lag.NewMonitor(zerolog.Nop())
	go m.Run(ctx)
	// Each goroutine that waits for its turn waits for those of all others: 200 times 3 ms.
	const workers, turn = 200, 3 * time.Millisecond
	for range workers {
		working.Go(func() {
			for ctx.Err() == nil {
				for end := time.Now().Add(turn); time.Now().Before(end); {
				}
				runtime.Gosched()
			}
		})
	}
	time.Sleep(time.Second)
	const samples = 30
	overloaded := 0
	for range samples {
		time.Sleep(50 * time.Millisecond)
		if m.IsOverloaded() {
			overloaded++
		}
	}
	c.Check(overloaded > samples/2, qt.IsTrue, qt.Commentf("%d of %d, goroutines wait %v, the lag is %v", overloaded, samples, workers*turn, m.Lag()))
}
