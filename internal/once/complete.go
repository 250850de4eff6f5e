package once

import (
	"context"
	"time"

	"github.com/primroseladder/primroseladder/internal/fleet"
	"github.com/primroseladder/primroseladder/internal/outcome"
	"github.com/primroseladder/primroseladder/internal/request"
)

const (
	// completeTimeout bounds one try to tell a home.
	completeTimeout = 2 * time.Second
	// completeAttempts bounds the tries.
	completeAttempts = 3
	// completeRetryDelay is the wait between two tries.
	completeRetryDelay = 200 * time.Millisecond
)

// complete records how the send ended and tells the VMs that know of the claim, and the home of now, in the background.
func (g *Guard) complete(contacted []fleet.VM, s Send, response *request.Response) {
	answer := Answer{Status: response.Status, Header: response.Header}
	if len(response.Body) <= maxKeptBody {
		answer.Body, answer.BodyKept = response.Body, true
	}
	s.Copy = true
	g.memory.Complete(s, response.Outcome, answer)
	g.reportResult(g.addCurrentHome(contacted, s.Key), s, response.Outcome, answer)
}

// withdraw drops a claim that is not dispatched, here and at the VMs that were asked.
func (g *Guard) withdraw(contacted []fleet.VM, s Send) {
	g.memory.Withdraw(s)
	g.reportResult(contacted, s, outcome.NotRun, Answer{})
}

func (g *Guard) addCurrentHome(contacted []fleet.VM, k Key) []fleet.VM {
	homes := g.rankedHomes(k, g.region)
	if len(homes) == 0 || homes[0].Name == g.self {
		return contacted
	}
	for _, vm := range contacted {
		if vm.Name == homes[0].Name {
			return contacted
		}
	}
	return append(contacted, homes[0])
}

func (g *Guard) reportResult(homes []fleet.VM, s Send, result outcome.Outcome, a Answer) {
	for _, home := range homes {
		g.completions.Go(func() { g.reportResultTo(home, s, result, a) })
	}
}

func (g *Guard) reportResultTo(home fleet.VM, s Send, result outcome.Outcome, a Answer) {
	for range completeAttempts {
		ctx, cancel := context.WithTimeout(context.Background(), completeTimeout)
		err := g.peers.Complete(ctx, home, s, result, a)
		cancel()
		if err == nil {
			return
		}
		time.Sleep(completeRetryDelay)
	}
}

// Flush waits until all homes have been told, or until ctx ends.
func (g *Guard) Flush(ctx context.Context) {
	done := make(chan struct{})
	go func() {
		g.completions.Wait()
		close(done)
	}()
	select {
	case <-done:
	case <-ctx.Done():
	}
}
