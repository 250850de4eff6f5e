package once

import (
	"context"
	"time"

	"github.com/primroseladder/primroseladder/internal/fleet"
	"github.com/primroseladder/primroseladder/internal/outcome"
	"github.com/primroseladder/primroseladder/internal/request"
)

const (
	// completeTimeout is the timeout of one attempt to send a result to another VM.
	completeTimeout = 2 * time.Second
	// completeAttempts is the maximum number of attempts for each VM.
	completeAttempts = 3
	// completeRetryDelay is the wait after a failed attempt.
	completeRetryDelay = 200 * time.Millisecond
)

// complete records how a send ended. In the background it sends the result to the VMs that were contacted for the claim and
// to the current home of the key.
func (g *Guard) complete(contacted []fleet.VM, s Send, response *request.Response) {
	answer := Answer{Status: response.Status, Header: response.Header}
	if len(response.Body) <= maxKeptBodyBytes {
		answer.Body, answer.BodyKept = response.Body, true
	}
	// If the record of the claim is missing, the result is recorded as a copy.
	s.Copy = true
	g.memory.Complete(s, response.Outcome, answer)
	g.reportResult(g.addCurrentHome(contacted, s.Key), s, response.Outcome, answer)
}

// withdraw drops the claim of a send that is not dispatched, on this VM and, in the background, on the contacted VMs.
func (g *Guard) withdraw(contacted []fleet.VM, s Send) {
	g.memory.Withdraw(s)
	g.reportResult(contacted, s, outcome.NotRun, Answer{})
}

// addCurrentHome adds the key's home by the current VM list, which may differ from the list by which the send was claimed.
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

// reportResult sends a result to other VMs in the background.
func (g *Guard) reportResult(vms []fleet.VM, s Send, result outcome.Outcome, a Answer) {
	for _, vm := range vms {
		g.completions.Go(func() { g.reportResultTo(vm, s, result, a) })
	}
}

// reportResultTo sends a result to another VM, with retries. If all attempts fail, the claim on that VM stays pending until
// it is overdue.
func (g *Guard) reportResultTo(vm fleet.VM, s Send, result outcome.Outcome, a Answer) {
	for range completeAttempts {
		ctx, cancel := context.WithTimeout(context.Background(), completeTimeout)
		err := g.peers.Complete(ctx, vm, s, result, a)
		cancel()
		if err == nil {
			return
		}
		time.Sleep(completeRetryDelay)
	}
}

// Flush waits until the results of all sends have been sent to the other VMs or have failed, or until ctx ends.
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
