package gateway

import (
	"context"
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/rs/zerolog"

	"github.com/primroseladder/primroseladder/internal/backend"
	"github.com/primroseladder/primroseladder/internal/dispatch"
	"github.com/primroseladder/primroseladder/internal/kv"
	"github.com/primroseladder/primroseladder/internal/membership"
	"github.com/primroseladder/primroseladder/internal/mirror"
	"github.com/primroseladder/primroseladder/internal/roster"
	"github.com/primroseladder/primroseladder/internal/route"
)

// plainCodec decodes entries whose values are a version of the configuration, or the number of slots of a backend server.
type plainCodec struct{}

func (plainCodec) IsConfig(key string) bool { return key == "config" }

func (plainCodec) ServerID(key string) (string, bool) { return strings.CutPrefix(key, "servers/") }

func (plainCodec) IsNewer(a, b kv.Item) bool { return a.Revision > b.Revision }

func (plainCodec) DecodeConfig(value []byte) (*route.Config, error) {
	version, err := strconv.ParseUint(string(value), 10, 64)
	return &route.Config{Version: version, Services: []route.Service{{Name: "s"}}, Routes: []route.Route{{
		Host: "h", Prefix: "/", Kind: route.NonIdempotent, Timeout: 10 * time.Second, TargetLatency: time.Second, MaxAttempts: 1,
		Shares: []route.Share{{Service: "s", Weight: 1}},
	}}}, err
}

func (plainCodec) DecodeServer(item kv.Item) (roster.Server, error) {
	slots, err := strconv.Atoi(string(item.Value))
	return roster.Server{ID: strings.TrimPrefix(item.Key, "servers/"), Service: "s", Zone: "a", Slots: slots, Revision: item.Revision}, err
}

// answeringPool stands for a backend server that answers at once.
type answeringPool struct{}

func (answeringPool) Do(context.Context, *backend.Request) (*backend.Answer, error) {
	return &backend.Answer{Status: http.StatusOK, Header: http.Header{"X-Signature": {"s"}}}, nil
}

func (answeringPool) HasIdle() bool { return true }

func (answeringPool) Close() {}

// TestConfigurationPassesWaitingRequests guards against a configuration that a VM short of processor time has received and not in
// force (CONFIG): it must not wait behind changes of backend servers that stand in the queue of the requests.
func TestConfigurationPassesWaitingRequests(t *testing.T) {
	const (
		requests, choiceTime = 1000, 5 * time.Millisecond
		// applyBound is how long after its acknowledgement a configuration must be in force on the users' strictest deployments.
		applyBound = 2 * time.Second
	)
	c := qt.New(t)
	d := dispatch.New(dispatch.Options{
		Zone: "a", Region: "r", Regions: map[string]string{"a": "r"}, Protocol: dispatch.Protocol{Signature: "X-Signature"},
		Connect: func(roster.Server, int) dispatch.ConnectionPool { return answeringPool{} },
		Serves: func(string) bool {
			time.Sleep(choiceTime)
			return true
		},
		ShareEvidence: func(dispatch.Evidence) {}, RetryWindow: time.Second, RetryAllowance: func(string) float64 { return 0 }, Log: zerolog.Nop(),
	})
	state := NewState(plainCodec{}, d, nil, nil, membership.Member{}, nil, zerolog.Nop())
	items := mirror.NewCopy(state.Apply, plainCodec{})
	revision := uint64(0)
	write := func(key, value string) {
		revision++
		items.Adopt(kv.Changes{Items: []kv.Item{{Key: key, Value: []byte(value), Revision: revision}}, Revision: revision}, time.Now())
	}
	write("config", "1")
	for n := range 20 {
		write(fmt.Sprintf("servers/i-%d", n), "100")
	}
	var wait sync.WaitGroup
	for n := range requests {
		wait.Go(func() {
			d.Do(t.Context(), &dispatch.Request{
				ID: strconv.Itoa(n), Method: http.MethodPost, URI: "/", Host: "h", Header: http.Header{}, Service: "s",
				Target: state.Table().Find("h", "/"), Arrival: time.Now(),
			})
		})
	}
	// Versions come every 100 ms, each after a change of a backend server.
	began, latest := time.Now(), time.Duration(0)
	for n := range 5 {
		came := began.Add(time.Duration(n+1) * 100 * time.Millisecond)
		time.Sleep(time.Until(came))
		write("servers/i-0", strconv.Itoa(101+n))
		write("config", strconv.Itoa(2+n))
		latest = max(latest, time.Since(came))
	}
	wait.Wait()
	c.Check(state.Table().Config.Version, qt.Equals, uint64(6))
	c.Check(latest < applyBound, qt.IsTrue, qt.Commentf("in force after %v", latest))
}
