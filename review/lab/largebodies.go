package main

import (
	"errors"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/primroseladder/primroseladder/internal/route"
)

const (
	// largeBodyBytes is the size of a large body. The limit of the configuration is maxBodyBytes.
	largeBodyBytes = 40 << 20
	// largeAtOnce is how many consumers send a large body to a machine at the same time.
	largeAtOnce = 4
	// usualBodyBytes is the size of the bodies of the other requests.
	usualBodyBytes = 4000
	// largeBudget is the time budget of the requests.
	largeBudget = 2 * time.Second
	// memoryCheckInterval is how often the platform looks at the memory of the processes.
	memoryCheckInterval = 5 * time.Millisecond
	// restartDelay is the delay before the platform starts a process again that has ended.
	restartDelay = 500 * time.Millisecond
	// roundPause is the pause after the large bodies to one machine.
	roundPause = 4 * time.Second
	// maxLost is how many requests from kept connections may be lost.
	maxLost = 3
)

// memoryKeeper kills the processes whose memory exceeds the limit of the settings, and starts them again.
type memoryKeeper struct {
	fleet *fleet
	// kills counts the processes that were killed, peak is the highest resident memory seen.
	kills, peak atomic.Int64
}

func (k *memoryKeeper) run(m *machine, done <-chan struct{}) {
	ticker := time.NewTicker(memoryCheckInterval)
	defer ticker.Stop()
	for {
		select {
		case <-done:
			return
		case <-ticker.C:
		}
		current, ended := m.running()
		if current == nil {
			continue
		}
		used := residentBytes(current.Pid)
		for peak := k.peak.Load(); used > peak && !k.peak.CompareAndSwap(peak, used); peak = k.peak.Load() {
		}
		if used <= memoryLimitBytes {
			continue
		}
		_ = current.Signal(syscall.SIGKILL)
		<-ended
		k.kills.Add(1)
		k.fleet.record.logf("machine %s: the process has %d MB, more than MemoryMb, and is killed", m.name, used>>20)
		time.Sleep(restartDelay)
		if err := m.startAgain(); err != nil {
			k.fleet.record.logf("machine %s is not started again: %v", m.name, err)
		}
	}
}

// playLargeBodies sends requests with large bodies, largeAtOnce at a time, beside usual ones. LOST is broken if more than maxLost of the
// usual ones, which a backend server has begun to run, end with their kept connection and without an answer.
func playLargeBodies(r *recorder, hasTrouble bool) (isBroken bool, err error) {
	config := newConfig(7, route.NonIdempotent, largeBudget, []string{"wuno96b"}, []string{"wuno96b"})
	f, err := newFleet(r, []int{1, 1, 1, 1}, 220*time.Millisecond, config, 3)
	if err != nil {
		return false, err
	}
	defer f.close()
	time.Sleep(contact + time.Second)
	done := make(chan struct{})
	var background sync.WaitGroup
	keeper := &memoryKeeper{fleet: f}
	for _, m := range f.machines {
		background.Go(func() { keeper.run(m, done) })
	}
	var mu sync.Mutex
	var results []result
	for _, m := range f.machines {
		for range 6 {
			background.Go(func() {
				c := newConsumer(r, m.callerAddress())
				defer c.close()
				for !isClosed(done) {
					got := c.send("POST", pathPrefix+"2f", usualBodyBytes, largeBudget)
					mu.Lock()
					results = append(results, got)
					mu.Unlock()
					time.Sleep(100 * time.Millisecond)
				}
			})
		}
	}
	time.Sleep(2 * time.Second)
	size := usualBodyBytes
	if hasTrouble {
		size = largeBodyBytes
	}
	for round := range 3 {
		for _, m := range f.machines[:2] {
			var senders sync.WaitGroup
			for range largeAtOnce {
				senders.Go(func() {
					c := newConsumer(r, m.callerAddress())
					defer c.close()
					got := c.send("PUT", pathPrefix+"large", size, largeBudget)
					r.logf("round %d: a request with %d bytes to %s got status %d, error %v", round, size, m.name, got.status, got.err)
				})
			}
			senders.Wait()
			time.Sleep(roundPause)
		}
	}
	close(done)
	background.Wait()
	ran := map[string]bool{}
	for _, a := range f.site.ran() {
		ran[a.id] = true
	}
	lost, served, others := 0, 0, 0
	for _, got := range results {
		switch {
		case got.isServed:
			served++
		case got.err != nil && got.wasKept && ran[got.id] && !errors.Is(got.err, errNoConnection):
			r.logf("request %s ran and its kept connection was closed without an answer", got.id)
			lost++
		default:
			others++
		}
	}
	r.summaryf("peak memory of a gateway %d MB, processes killed for their memory %d", keeper.peak.Load()>>20, keeper.kills.Load())
	r.summaryf("usual requests: %d served, %d lost although a backend server ran them, %d others; LOST allows %d", served, lost, others, maxLost)
	return lost > maxLost, nil
}

func isClosed(done <-chan struct{}) bool {
	select {
	case <-done:
		return true
	default:
		return false
	}
}
