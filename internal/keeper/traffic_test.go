package keeper

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"strings"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/rs/zerolog"
	"google.golang.org/grpc"

	pb "github.com/primroseladder/primroseladder/api/primrosev1"
	"github.com/primroseladder/primroseladder/internal/catalogue"
	"github.com/primroseladder/primroseladder/internal/duration"
	"github.com/primroseladder/primroseladder/internal/fleet"
	"github.com/primroseladder/primroseladder/internal/keeperpeer"
	"github.com/primroseladder/primroseladder/internal/settings"
)

const (
	// targetRegionKeepers is how many keepers a region has with 5,200 nodes in ten regions.
	targetRegionKeepers = 520
	// targetChangesPerSecond corresponds to 70,000 changes a day.
	targetChangesPerSecond = 70_000.0 / 86_400
	// headerBytes is what TCP and IP add to a segment; segments is how many segments an exchange takes in both
	// directions, including acknowledgements.
	headerBytes = 52
	segments    = 4
	// maxControlBytesPerSecond is how many bytes per second a node may spend on control traffic.
	maxControlBytesPerSecond = 4096
)

// countingListener counts the bytes of all its connections in both directions.
type countingListener struct {
	net.Listener
	bytes atomic.Int64
}

type countingConn struct {
	net.Conn
	bytes *atomic.Int64
}

func (l *countingListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	return &countingConn{conn, &l.bytes}, err
}

func (c *countingConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.bytes.Add(int64(n))
	return n, err
}

func (c *countingConn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.bytes.Add(int64(n))
	return n, err
}

func testChange(revision uint64) *catalogue.Change {
	e := catalogue.NewEntry()
	e.Service, e.Owner = "bookings", "scheduling"
	e.Routes = []catalogue.Route{{Prefix: "/bookings", IdempotentMethods: []string{"GET", "HEAD", "PUT", "DELETE"}}}
	content, _ := json.Marshal(e)
	return &catalogue.Change{
		Revision: revision, OperationID: fmt.Sprintf("%032d", revision), Author: "operator", Message: strings.Repeat("m", 60),
		PreviousOperationID: fmt.Sprintf("%032d", revision-1), Time: time.Now(),
		Entries: []catalogue.EncodedEntry{{Service: e.Service, Content: content}},
	}
}

// TestExchangeBytes measures the bytes of exchanges on the wire and computes from them what a keeper uses at target
// size.
func TestExchangeBytes(t *testing.T) {
	inner, err := net.Listen("tcp", "127.0.0.1:0")
	qt.Assert(t, err, qt.IsNil)
	listener := &countingListener{Listener: inner}
	settings := &Settings{
		Common:           settings.Common{VM: "entry-0001", Region: "perth", Zone: "perth-a"},
		ExchangeInterval: duration.Duration(time.Second),
	}
	state := NewState()
	state.SetList(fleet.NewView(7, []fleet.VM{{Name: "entry-0001", Role: fleet.RoleEntry, State: fleet.StateLive}}))
	state.Freshness.Confirm(time.Now())
	peers := keeperpeer.NewClient()
	defer peers.Close()
	x := NewExchanger(settings, state, peers, NewRoles(settings, state), zerolog.Nop())
	server := grpc.NewServer()
	pb.RegisterKeeperServer(server, &Server{state: state, exchanger: x})
	go func() { _ = server.Serve(listener) }()
	defer server.Stop()
	for revision := uint64(1); revision <= 1000; revision++ {
		_, err := state.Catalogue.Apply(testChange(revision))
		qt.Assert(t, err, qt.IsNil)
	}
	vm := fleet.VM{Name: "entry-0002", KeeperAddress: inner.Addr().String()}
	measure := func(request *pb.ExchangeRequest) float64 {
		const calls = 200
		for i := range 2 * calls {
			if i == calls {
				listener.bytes.Store(0)
			}
			_, err := x.call(context.Background(), vm, request, 5*time.Second)
			qt.Assert(t, err, qt.IsNil)
		}
		return float64(listener.bytes.Load()) / calls
	}
	unchanged := measure(x.newRequest()) + segments*headerBytes
	behind := x.newRequest()
	behind.Revision = 999
	perExtraChange := measure(behind) + segments*headerBytes - unchanged

	// In each interval a keeper asks its parent, and a region peer with a probability of regionPeerPercent. On average the
	// same number of region peers ask it. Near the top of the tree, pullArity keepers also ask it as their parent. A
	// keeper receives each change once and pushes the change to pushArity others.
	callsPerInterval := 1 + regionPeerPercent/100.0
	perSecond := unchanged*(callsPerInterval+pullArity+regionPeerPercent/100.0)/maxIntervalFactor +
		targetChangesPerSecond*(1+pushArity)*(unchanged+perExtraChange)
	t.Logf("an exchange without changes takes %.0f bytes, a change %.0f more; %d keepers per region: at most %.0f bytes per second",
		unchanged, perExtraChange, targetRegionKeepers, perSecond)
	qt.Check(t, perSecond < maxControlBytesPerSecond, qt.IsTrue)
}

// TestChangeCrossesTheLinkFewTimes checks that the number of times a change is sent to another region does not grow
// with the number of VMs: at most once by each watcher that reads the store over the link, and occasionally between
// watchers.
func TestChangeCrossesTheLinkFewTimes(t *testing.T) {
	const changes = 60
	for _, size := range []int{8, 40, 160} {
		synctest.Test(t, func(t *testing.T) {
			c := newCluster(size, 1)
			defer c.stopAll()
			time.Sleep(healLimit)
			for range changes {
				_, err := c.write(context.Background(), "ann")
				qt.Assert(t, err, qt.IsNil)
				time.Sleep(time.Second)
			}
			c.mu.Lock()
			defer c.mu.Unlock()
			perChange := float64(c.crossRegionChanges)/changes + watchersPerRegion
			t.Logf("%d keepers: a change is sent over the link %.2f times", size, perChange)
			qt.Check(t, perChange < 2*watchersPerRegion, qt.IsTrue)
		})
	}
}
