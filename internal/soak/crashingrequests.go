package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/primroseladder/primroseladder/internal/route"
)

const (
	// crashPrefix is the prefix of the paths of requests that crash the backend servers which run them.
	crashPrefix = "/crashing/"
	// meanCrashInterval is the mean pause between two requests with the same path, for each VM.
	meanCrashInterval = 12 * time.Second
	// restartInterval is the pause between the restarts of two VMs.
	restartInterval = 3 * time.Second
	// contactMargin is how long after contactBound a VM is sent a request.
	contactMargin = 200 * time.Millisecond
	// crashTime is how long a backend server counts as disturbed after a crash.
	crashTime = time.Second
	// crashCallers is how many addresses the same crashing request comes from.
	crashCallers = 8
	// maxLateRetries is how many retries of a crashing request the users allow later than contactBound after its third crash.
	maxLateRetries = 3
)

// crash is the crash of a backend server by a request.
type crash struct {
	at      time.Time
	server  string
	request *request
}

// sendCrashingRequests sends requests with a path that crashes backend servers: to random VMs, and to each VM that was restarted,
// once it must know what the others know. The VMs are restarted in turn.
func (d *deployment) sendCrashingRequests(draw *rand.Rand, end time.Time) {
	var wait sync.WaitGroup
	wait.Go(func() { d.restartInTurn(end, &wait) })
	for n := 0; time.Now().Before(end); n++ {
		time.Sleep(time.Duration(draw.ExpFloat64() * float64(meanCrashInterval) / float64(len(d.vms))))
		v := d.vms[draw.IntN(len(d.vms))]
		wait.Go(func() { d.sendCrashingRequest(v, n, fmt.Sprintf("crash-%d", n)) })
	}
	wait.Wait()
}

// sendCrashingRequest sends the crashing request from one of crashCallers addresses.
func (d *deployment) sendCrashingRequest(v *vm, caller int, id string) {
	r := &request{
		id: id, method: http.MethodGet, host: callerHost, uri: fmt.Sprint(crashPrefix, d.options.Seed), kind: route.Idempotent, vm: v,
		limit: routeTimeout, isDirect: true,
	}
	dialer := &net.Dialer{LocalAddr: &net.TCPAddr{IP: net.IPv4(127, 0, 0, byte(2+caller%crashCallers))}}
	client := &http.Client{Timeout: shortClient.Timeout, Transport: &http.Transport{DisableKeepAlives: true, DialContext: dialer.DialContext}}
	// exchange records the result in the ledger.
	_, _ = d.exchange(context.Background(), client, r)
}

func (d *deployment) restartInTurn(end time.Time, wait *sync.WaitGroup) {
	for n := 0; time.Now().Add(contactBound).Before(end); n++ {
		time.Sleep(restartInterval)
		v := d.vms[n%len(d.vms)]
		endFault := d.beginProcessFaults([]*vm{v})
		v.kill()
		if err := v.start(d.ledger); err != nil {
			d.ledger.recordViolation("FAULT: %s could not be restarted: %v", v.Name, err)
		}
		endFault()
		wait.Go(func() {
			time.Sleep(contactBound + contactMargin)
			d.sendCrashingRequest(v, n, fmt.Sprintf("crash-after-restart-%d", n))
		})
	}
}

// crashBy ends all connections of the backend server if the request is one that crashes it.
func (b *backendServer) crashBy(sent *request) {
	if !strings.HasPrefix(sent.uri, crashPrefix) {
		return
	}
	b.ledger.recordCrash(crash{at: time.Now(), server: b.ID, request: sent})
	time.AfterFunc(crashTime, b.disturbances.begin(false))
	b.relay.Reset()
	panic(http.ErrAbortHandler)
}

// checkCrashes checks that VMs refuse a request once it has crashed three backend servers.
func (d *deployment) checkCrashes() {
	for uri, crashes := range d.ledger.crashesByURI() {
		servers := map[string]bool{}
		var third time.Time
		late := 0
		for _, c := range crashes {
			servers[c.server] = true
			if len(servers) == 3 && third.IsZero() {
				third = c.at
			}
			isLate := !third.IsZero() && c.at.Sub(third) > contactBound
			if isLate && c.request.vm.wasUndisturbed(c.request.sent, c.at) && d.isStoreUndisturbed(c.at.Add(-contactBound), c.at) {
				late++
			}
		}
		d.options.Logf("requests for %s crashed backend servers %d times, %d of them late", uri, len(crashes), late)
		if late > maxLateRetries {
			d.ledger.recordViolation("BUDGET: requests for %s ran %d times later than %v after they had crashed three backend servers",
				uri, late, contactBound)
		}
	}
}

// isStoreUndisturbed reports whether no VM's connection to the store was disturbed between two times.
func (d *deployment) isStoreUndisturbed(from, to time.Time) bool {
	return !slices.ContainsFunc(d.vms, func(v *vm) bool { return !v.storeDisturbances.isUndisturbed(from, to, true) })
}
