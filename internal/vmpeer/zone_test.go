package vmpeer_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"net/netip"
	"os"
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

// testNet simulates the network of a zone under fake time. It drops datagrams with probability loss.
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
	// isDisconnected is set if all datagrams from and to the socket are dropped.
	isDisconnected atomic.Bool
	// sent and bytes count the datagrams that were sent and their bytes.
	sent, bytes atomic.Int64
}

type datagram struct {
	body []byte
	from netip.AddrPort
}

// socketQueueLength exceeds the number of datagrams that a VM of these tests receives at one moment.
const socketQueueLength = 4096

func (n *testNet) listen(address netip.AddrPort) *testSocket {
	s := &testSocket{net: n, address: address, queue: make(chan datagram, socketQueueLength), closed: make(chan struct{})}
	n.mu.Lock()
	defer n.mu.Unlock()
	n.sockets[address] = s
	return s
}

// route returns the socket that a datagram to the address reaches, or nil if the datagram is lost.
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
	if receiver := s.net.route(to); receiver != nil && !s.isDisconnected.Load() && !receiver.isDisconnected.Load() {
		select {
		case receiver.queue <- datagram{append([]byte(nil), body...), s.address}:
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
	// rate is the number of requests per second to the host h that the VM reports.
	rate atomic.Int64
}

type noGroups struct{}

func (noGroups) LocalAddresses(string) []string  { return nil }
func (noGroups) RemoteAddresses(string) []string { return nil }

type discardReceiver struct{}

func (discardReceiver) ReceiveEvidence(string, dispatch.Evidence) {}
func (discardReceiver) ReceiveHealthTransition(dispatch.Evidence) {}
func (discardReceiver) ReceiveCrash(poison.Crash)                 {}

func (discardReceiver) BlocksBesides(uint64) []poison.Block        { return nil }
func (discardReceiver) ReceiveBlocks([]poison.Block)               {}
func (discardReceiver) LeavingBesides(uint64) []dispatch.Evidence  { return nil }
func (discardReceiver) KnownHealth(string) []dispatch.ServerHealth { return nil }

func (discardReceiver) ReceiveHealth(string, []dispatch.ServerHealth) {}

func (discardReceiver) KnownProof() (uint64, time.Duration, bool)  { return 0, 0, false }
func (discardReceiver) ReceiveProof(uint64, uint64, time.Duration) {}

// testZone is a zone of VMs, each of which has read the registrations of all.
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
	endpoint := vmpeer.New(v.socket, v.fleet, noGroups{}, zerolog.Nop())
	fleet := v.fleet
	self := v.self
	endpoint.SetSelf(func() membership.Member {
		current := self
		current.IsReader = fleet.ReaderRank() == 0
		if rate := v.rate.Load(); rate > 0 {
			current.Rates = map[string]float64{"h": float64(rate)}
		}
		return current
	})
	go endpoint.Receive(discardReceiver{})
	go func() {
		endpoint.SendHeartbeats(ctx)
		_ = endpoint.Close()
	}()
}

// crash stops VMs without a leave notice.
func (z *testZone) crash(vms []*testVM) {
	for _, v := range vms {
		v.socket.isDisconnected.Store(true)
		v.stop()
	}
}

// countConsideringAlive returns the number of VMs of a list that consider any of the others alive. If that one is lost,
// these VMs would direct callers to it or fetch changes from it.
func countConsideringAlive(list, others []*testVM) int {
	n := 0
	for _, v := range list {
		alive := map[string]bool{}
		for _, s := range v.fleet.Sources() {
			alive[s.Name] = true
		}
		for _, other := range others {
			if alive[other.self.Name] {
				n++
				break
			}
		}
	}
	return n
}

// countSilentPairs returns the number of pairs of VMs in which the first considers the second silent.
func countSilentPairs(list []*testVM) int {
	n := 0
	for _, v := range list {
		alive := map[string]bool{v.self.Name: true}
		for _, s := range v.fleet.Sources() {
			alive[s.Name] = true
		}
		for _, other := range list {
			if !alive[other.self.Name] {
				n++
			}
		}
	}
	return n
}

const (
	// detectionTime is the time within which all VMs must detect the loss of a VM. The users' callers cache the addresses
	// of VMs for a second or more.
	detectionTime = 1500 * time.Millisecond
	// massDetectionTime is the limit if many VMs fail together, some with all their monitors. It is the users' limit Contact.
	massDetectionTime = 3 * time.Second
	// meshSize is low enough that the zones of these tests count as large.
	meshSize = 32
	// refreshTime is the time within which each VM receives a heartbeat from every other.
	refreshTime = 16 * time.Second
	// datagramLoss is the probability that a datagram is lost.
	datagramLoss = 0.01
)

// TestCrashedVMsAreDetectedInALargeZone checks how soon all VMs detect the loss of one or many VMs. The zones of 75 and 100
// VMs are large, so that a VM does not receive the regular heartbeats of all others.
func TestCrashedVMsAreDetectedInALargeZone(t *testing.T) {
	tests := []struct {
		size, lost int
		within     time.Duration
	}{{20, 1, detectionTime}, {75, 1, detectionTime}, {100, 25, massDetectionTime}, {75, 50, massDetectionTime}}
	for _, test := range tests {
		t.Run(fmt.Sprintf("%d of %d", test.lost, test.size), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				ctx, cancel := context.WithCancel(context.Background())
				defer cancel()
				z := newTestZone(ctx, test.size, datagramLoss)
				time.Sleep(5 * time.Second)
				qt.Check(t, countSilentPairs(z.vms), qt.Equals, 0)
				z.crash(z.vms[:test.lost])
				time.Sleep(test.within)
				left := z.vms[test.lost:]
				qt.Check(t, countConsideringAlive(left, z.vms[:test.lost]), qt.Equals, 0)
				time.Sleep(time.Second)
				qt.Check(t, countSilentPairs(left), qt.Equals, 0)
				cancel()
				time.Sleep(time.Second)
			})
		})
	}
}

// TestLossOfAThirdIsDetectedAtAnySize takes away a third of a zone at once, at sizes up to that of a whole fleet. All other
// VMs detect it within the time of a single loss and a census, hardly any live VM is considered silent, and the datagrams
// that a VM sends for it do not exceed a few for each VM of the zone. LARGE_ZONES=1 adds a zone of 444 VMs, which takes
// about two minutes.
func TestLossOfAThirdIsDetectedAtAnySize(t *testing.T) {
	const (
		// within is the time to detect a loss, the time of a census, and two ticks of the heartbeats.
		within = 2 * time.Second
		// maxDatagramsEach is the number of datagrams for each VM of the zone: three probes, a reply to each of the other
		// VMs' probes, and three reports of each of the few VMs that a monitor detects itself.
		maxDatagramsEach = 40
		maxSilentShare   = 0.001
	)
	sizes := []int{50, 200}
	if os.Getenv("LARGE_ZONES") != "" {
		sizes = append(sizes, 444)
	}
	for _, size := range sizes {
		t.Run(fmt.Sprint(size), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				ctx, cancel := context.WithCancel(context.Background())
				defer cancel()
				z := newTestZone(ctx, size, datagramLoss)
				time.Sleep(5 * time.Second)
				lost, left := z.vms[:size/3], z.vms[size/3:]
				for _, v := range left {
					v.socket.sent.Store(0)
				}
				z.crash(lost)
				time.Sleep(within)
				qt.Check(t, countConsideringAlive(left, lost), qt.Equals, 0)
				var sent int64
				for _, v := range left {
					sent += v.socket.sent.Load()
				}
				silent := float64(countSilentPairs(left)) / float64(len(left)*len(left))
				t.Logf("%d datagrams a VM, %.5f of the pairs considered silent", sent/int64(len(left)), silent)
				qt.Check(t, sent/int64(len(left)) < int64(maxDatagramsEach*size), qt.IsTrue)
				qt.Check(t, silent < maxSilentShare, qt.IsTrue)
				cancel()
				time.Sleep(time.Second)
			})
		})
	}
}

// TestServingVMsTellTheirRatesToAll checks that in a large zone the rates of a VM that serves callers reach all others
// within two heartbeats, also when they change by less than what is announced at once.
func TestServingVMsTellTheirRatesToAll(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(context.Background())
		defer cancel()
		z := newTestZone(ctx, 75, 0)
		time.Sleep(5 * time.Second)
		for _, rate := range []float64{100, 110, 120} {
			z.vms[7].rate.Store(int64(rate))
			time.Sleep(2*membership.HeartbeatInterval + 50*time.Millisecond)
			for _, v := range z.vms {
				for _, s := range v.fleet.Sources() {
					if s.Name == z.vms[7].self.Name {
						qt.Check(t, s.Rates["h"], qt.Equals, rate)
					}
				}
			}
		}
		cancel()
		time.Sleep(time.Second)
	})
}

// TestDisconnectedVMsReturn disconnects VMs of a large zone for longer than the silence limit, and reconnects them.
func TestDisconnectedVMsReturn(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(context.Background())
		defer cancel()
		z := newTestZone(ctx, 75, datagramLoss)
		time.Sleep(5 * time.Second)
		for _, v := range z.vms[:4] {
			v.socket.isDisconnected.Store(true)
		}
		time.Sleep(5 * time.Second)
		qt.Check(t, countConsideringAlive(z.vms[4:], z.vms[:4]), qt.Equals, 0)
		for _, v := range z.vms[:4] {
			v.socket.isDisconnected.Store(false)
		}
		time.Sleep(detectionTime)
		for _, v := range z.vms[:4] {
			qt.Check(t, countConsideringAlive(z.vms, []*testVM{v}), qt.Equals, len(z.vms)-1)
		}
		// Every other VM replies once to a VM that returns. If the reply is lost, the VM receives its next heartbeat.
		time.Sleep(refreshTime)
		qt.Check(t, countSilentPairs(z.vms), qt.Equals, 0)
		cancel()
		time.Sleep(time.Second)
	})
}

// TestHeartbeatsDoNotGrowWithTheZone checks that a VM that does not read the store stays, in an idle zone of the target
// size, within the 4 KB a second that a VM may spend on control traffic, and that hardly any live VM is considered silent.
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
		silentPairs := 0
		for range seconds {
			time.Sleep(time.Second)
			silentPairs += countSilentPairs(z.vms)
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
		t.Logf("at most %d datagrams and %d bytes a second; %d of %d pairs considered silent in %d checks",
			sent, bytes, silentPairs, size*size, seconds)
		qt.Check(t, readers, qt.Equals, int64(1))
		qt.Check(t, bytes <= controlBytes, qt.IsTrue)
		qt.Check(t, float64(silentPairs)/(size*size*seconds) < 0.001, qt.IsTrue)
		cancel()
		time.Sleep(time.Second)
	})
}
