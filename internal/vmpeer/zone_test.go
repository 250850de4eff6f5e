package vmpeer_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"net/netip"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/rs/zerolog"

	"github.com/primroseladder/primroseladder/internal/dispatch"
	"github.com/primroseladder/primroseladder/internal/membership"
	"github.com/primroseladder/primroseladder/internal/poison"
	"github.com/primroseladder/primroseladder/internal/vmpeer"
)

// testNet carries datagrams between the VMs of a zone under fake time, and loses some.
type testNet struct {
	loss float64

	mu      sync.Mutex
	random  *rand.Rand
	sockets map[netip.AddrPort]*testSocket
}

type testSocket struct {
	net     *testNet
	address netip.AddrPort
	queue   chan datagram
	closed  chan struct{}
	once    sync.Once
	// isCut tells that nothing comes in or goes out.
	isCut atomic.Bool
	// sent counts the datagrams and bytes that went out.
	sent, bytes atomic.Int64
}

type datagram struct {
	body []byte
	from netip.AddrPort
}

// queueLength is above the datagrams that a VM of these tests gets at one moment.
const queueLength = 4096

func (n *testNet) listen(address netip.AddrPort) *testSocket {
	s := &testSocket{net: n, address: address, queue: make(chan datagram, queueLength), closed: make(chan struct{})}
	n.mu.Lock()
	defer n.mu.Unlock()
	n.sockets[address] = s
	return s
}

// route returns the socket that a datagram reaches.
func (n *testNet) route(to netip.AddrPort) *testSocket {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.random.Float64() < n.loss {
		return nil
	}
	return n.sockets[to]
}

func (s *testSocket) ReadFromUDP(buffer []byte) (int, *net.UDPAddr, error) {
	select {
	case d := <-s.queue:
		return copy(buffer, d.body), net.UDPAddrFromAddrPort(d.from), nil
	case <-s.closed:
		return 0, nil, net.ErrClosed
	}
}

func (s *testSocket) WriteToUDPAddrPort(body []byte, to netip.AddrPort) (int, error) {
	s.sent.Add(1)
	s.bytes.Add(int64(len(body)))
	if at := s.net.route(to); at != nil && !s.isCut.Load() && !at.isCut.Load() {
		select {
		case at.queue <- datagram{append([]byte(nil), body...), s.address}:
		default:
		}
	}
	return len(body), nil
}

func (s *testSocket) Close() error {
	s.once.Do(func() { close(s.closed) })
	return nil
}

// testVM is a VM of the zone.
type testVM struct {
	self   membership.Member
	fleet  *membership.Fleet
	socket *testSocket
	stop   context.CancelFunc
}

type noGroups struct{}

func (noGroups) Addresses(string) []string { return nil }
func (noGroups) Distant(string) []string   { return nil }

type deaf struct{}

func (deaf) ReceiveEvidence(string, dispatch.Evidence) {}
func (deaf) ReceiveHealthTransition(dispatch.Evidence) {}
func (deaf) ReceiveCrash(poison.Fingerprint, string)   {}

// testZone is a zone of VMs that have read the registrations of all.
type testZone struct {
	net *testNet
	vms []*testVM
}

func newTestZone(ctx context.Context, size int, loss float64) *testZone {
	z := &testZone{net: &testNet{loss: loss, random: rand.New(rand.NewPCG(7, 8)), sockets: map[netip.AddrPort]*testSocket{}}}
	for n := range size {
		address := netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 1, byte(n / 250), byte(n % 250)}), 7620)
		z.vms = append(z.vms, &testVM{self: membership.Member{
			Name: fmt.Sprintf("front-zona-%d", n), Zone: "a", Region: "r", PeerAddress: address.String(),
			CallerAddress: address.String(), Revision: 9, Capacity: 200,
		}})
	}
	for _, v := range z.vms {
		z.start(ctx, v)
	}
	return z
}

func (z *testZone) start(ctx context.Context, v *testVM) {
	ctx, v.stop = context.WithCancel(ctx)
	v.fleet = membership.New(v.self, map[string]string{"a": "r"}, zerolog.Nop())
	v.fleet.SetMeshSize(meshSize)
	for _, other := range z.vms {
		v.fleet.Register(other.self)
	}
	v.socket = z.net.listen(netip.MustParseAddrPort(v.self.PeerAddress))
	peer := vmpeer.New(v.socket, v.fleet, noGroups{}, zerolog.Nop())
	fleet := v.fleet
	self := v.self
	peer.Introduce(func() membership.Member {
		now := self
		now.IsReader = fleet.ReaderRank() == 0
		return now
	})
	go peer.Receive(deaf{})
	go func() {
		peer.SendHeartbeats(ctx)
		_ = peer.Close()
	}()
}

// lose ends VMs without notice.
func (z *testZone) lose(vms []*testVM) {
	for _, v := range vms {
		v.socket.isCut.Store(true)
		v.stop()
	}
}

// believers counts the VMs of a list that name one of the others to callers or count it among the sources of a copy.
func believers(list, lost []*testVM) int {
	n := 0
	for _, v := range list {
		known := map[string]bool{}
		for _, s := range v.fleet.Sources() {
			known[s.Name] = true
		}
		for _, l := range lost {
			if known[l.self.Name] {
				n++
				break
			}
		}
	}
	return n
}

// unknown counts the pairs of VMs of which the first takes the second for silent.
func unknown(list []*testVM) int {
	n := 0
	for _, v := range list {
		known := map[string]bool{v.self.Name: true}
		for _, s := range v.fleet.Sources() {
			known[s.Name] = true
		}
		for _, other := range list {
			if !known[other.self.Name] {
				n++
			}
		}
	}
	return n
}

const (
	// lossSeen is when a loss has to be known to all: the users' callers keep an answer for a second or more.
	lossSeen = 1500 * time.Millisecond
	// massLossSeen is the same where many VMs fail together, some with all their monitors: the users' Contact.
	massLossSeen = 3 * time.Second
	// meshSize makes zones large that a test can play.
	meshSize = 32
	// refreshWithin is the time within which each VM hears from each other one.
	refreshWithin = 16 * time.Second
	// datagramLoss is the share of datagrams that are lost.
	datagramLoss = 0.01
)

// TestLossIsKnownInALargeZone checks how long a loss stays unseen in zones in which VMs do not hear all others.
func TestLossIsKnownInALargeZone(t *testing.T) {
	tests := []struct {
		size, lost int
		within     time.Duration
	}{{20, 1, lossSeen}, {75, 1, lossSeen}, {100, 25, massLossSeen}, {75, 50, massLossSeen}}
	for _, test := range tests {
		t.Run(fmt.Sprintf("%d of %d", test.lost, test.size), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				ctx, cancel := context.WithCancel(context.Background())
				defer cancel()
				z := newTestZone(ctx, test.size, datagramLoss)
				time.Sleep(5 * time.Second)
				qt.Check(t, unknown(z.vms), qt.Equals, 0)
				z.lose(z.vms[:test.lost])
				time.Sleep(test.within)
				left := z.vms[test.lost:]
				qt.Check(t, believers(left, z.vms[:test.lost]), qt.Equals, 0)
				time.Sleep(time.Second)
				qt.Check(t, unknown(left), qt.Equals, 0)
				cancel()
				time.Sleep(time.Second)
			})
		})
	}
}

// TestCutOffVMIsKnownAgain cuts VMs of a large zone off for longer than any VM may be silent, and heals the cut.
func TestCutOffVMIsKnownAgain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(context.Background())
		defer cancel()
		z := newTestZone(ctx, 75, datagramLoss)
		time.Sleep(5 * time.Second)
		for _, v := range z.vms[:4] {
			v.socket.isCut.Store(true)
		}
		time.Sleep(5 * time.Second)
		qt.Check(t, believers(z.vms[4:], z.vms[:4]), qt.Equals, 0)
		for _, v := range z.vms[:4] {
			v.socket.isCut.Store(false)
		}
		time.Sleep(lossSeen)
		for _, v := range z.vms[:4] {
			qt.Check(t, believers(z.vms, []*testVM{v}), qt.Equals, len(z.vms)-1)
		}
		// A VM that returns hears the answer of each other one once; where that is lost, it hears the next refresh.
		time.Sleep(refreshWithin)
		qt.Check(t, unknown(z.vms), qt.Equals, 0)
		cancel()
		time.Sleep(time.Second)
	})
}

// TestHeartbeatsDoNotGrowWithTheZone checks what a VM that does not read the store sends in a quiet zone of the target's size,
// against the 4 KB a second that a VM may spend on control, and that nobody is taken for silent who lives.
func TestHeartbeatsDoNotGrowWithTheZone(t *testing.T) {
	const (
		size         = 153
		seconds      = 16
		controlBytes = 4096
	)
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(context.Background())
		defer cancel()
		z := newTestZone(ctx, size, datagramLoss)
		time.Sleep(5 * time.Second)
		for _, v := range z.vms {
			v.socket.bytes.Store(0)
			v.socket.sent.Store(0)
		}
		wrong := 0
		for range seconds {
			time.Sleep(time.Second)
			wrong += unknown(z.vms)
		}
		var bytes, sent, readers int64
		for _, v := range z.vms {
			if v.fleet.ReaderRank() == 0 {
				readers++
				continue
			}
			bytes = max(bytes, v.socket.bytes.Load()/seconds)
			sent = max(sent, v.socket.sent.Load()/seconds)
		}
		t.Logf("at most %d datagrams and %d bytes a second, %d pairs of %d taken for silent in %d looks", sent, bytes, wrong, size*size, seconds)
		qt.Check(t, readers, qt.Equals, int64(1))
		qt.Check(t, bytes <= controlBytes, qt.IsTrue)
		qt.Check(t, float64(wrong)/(size*size*seconds) < 0.001, qt.IsTrue)
		cancel()
		time.Sleep(time.Second)
	})
}
