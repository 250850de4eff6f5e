package dispatch_test

import (
	"context"
	"fmt"
	"net/http"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/rs/zerolog"

	"github.com/primroseladder/primroseladder/internal/backend"
	"github.com/primroseladder/primroseladder/internal/dispatch"
	"github.com/primroseladder/primroseladder/internal/evidence"
	"github.com/primroseladder/primroseladder/internal/roster"
	"github.com/primroseladder/primroseladder/internal/route"
)

// instantPool is a connection pool whose requests succeed at once.
type instantPool struct{}

func (instantPool) Do(_ context.Context, r *backend.Request) (*backend.Answer, error) {
	return &backend.Answer{Status: http.StatusOK, Body: backend.Body{make([]byte, 2048)}, Header: http.Header{"X-Signature": {"s"}, "X-Id": {r.ID}}}, nil
}
func (instantPool) HasIdle() bool { return true }
func (instantPool) Close()        {}

// newLargeService returns a VM in the first of eight zones in two regions, and the target of a service with n backend
// servers in all of them, about which the VM has the evidence of eight peers.
func newLargeService(tb testing.TB, n int) (*dispatch.Dispatcher, *route.Target) {
	config := &route.Config{Version: 1, Services: []route.Service{{Name: simService}}, Routes: []route.Route{{
		Name: "r", Host: "h", Prefix: "/", Timeout: 4 * time.Second, TargetLatency: 1500 * time.Millisecond, MaxAttempts: 2,
		Shares: []route.Share{{Service: simService, Weight: 1}},
	}}}
	qt.Assert(tb, config.Validate(), qt.IsNil)
	regions := map[string]string{}
	for zone := range 8 {
		regions[fmt.Sprint("z", zone)] = fmt.Sprint("r", zone%2)
	}
	d := dispatch.New(dispatch.Options{
		Zone: "z0", Region: "r0", Regions: regions, Protocol: simProtocol, Log: zerolog.Nop(),
		Connect:       func(roster.Server, int) dispatch.ConnectionPool { return instantPool{} },
		ShareEvidence: func(dispatch.Evidence) {}, RetryWindow: time.Second, RetryAllowance: func(string) float64 { return 9 },
	})
	var list []roster.Server
	for i := range n {
		list = append(list, roster.Server{ID: fmt.Sprint("s", i), Service: simService, Slots: 4, Zone: fmt.Sprint("z", i%8)})
	}
	d.Update(map[string][]roster.Server{simService: list}, config)
	for i := range n {
		for peer := range 8 {
			d.ReceiveEvidence(fmt.Sprint("peer", peer), dispatch.Evidence{
				Service: simService, Server: fmt.Sprint("s", i), HasOutcome: true, Outcome: evidence.Success, Took: 300 * time.Millisecond,
			})
		}
	}
	return d, route.NewTable(config, nil).Find("h", "/")
}

// BenchmarkRequestOfALargeService measures the processor time of a request by the number of backend servers of its service.
func BenchmarkRequestOfALargeService(b *testing.B) {
	for _, n := range []int{18, 119, 649} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			d, target := newLargeService(b, n)
			for i := range b.N {
				d.Do(context.Background(), &dispatch.Request{
					ID: fmt.Sprint(i), URI: fmt.Sprintf("/%d", i), Header: http.Header{}, Target: target, Service: simService, Arrival: time.Now(),
				})
			}
		})
	}
}
