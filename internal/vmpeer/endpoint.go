package vmpeer

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/netip"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"github.com/primroseladder/primroseladder/internal/dispatch"
	"github.com/primroseladder/primroseladder/internal/logevent"
	"github.com/primroseladder/primroseladder/internal/membership"
	"github.com/primroseladder/primroseladder/internal/poison"
)

const (
	// maxDatagramBytes is the size of the receive buffer; a heartbeat has about 250 bytes.
	maxDatagramBytes = 2048
	// subscriptionWindow is the time in which a VM has to send subscriptionMinEvidence on a service to be sent the evidence on
	// it in return, and how long it then is. A VM with fewer requests asks for what it needs: see AskHealth.
	subscriptionWindow = 3 * time.Second
	// subscriptionMinEvidence is the evidence of 10 requests.
	subscriptionMinEvidence = 20
	// announcementRepeats is the number of regular heartbeats after an announcement that also go to all VMs of the zone,
	// since a datagram may be lost.
	announcementRepeats = 2
)

// Receiver processes the datagrams of other VMs, except heartbeats and silence reports, which go to the Fleet.
type Receiver interface {
	// ReceiveEvidence is called with evidence from the VM of this region at the address peer.
	ReceiveEvidence(peer string, e dispatch.Evidence)
	// ReceiveHealthTransition is called with a health transition in another region, or with news that a backend server has
	// told another VM about itself.
	ReceiveHealthTransition(e dispatch.Evidence)
	// ReceiveCrash is called with a request that broke the connection of a backend server.
	ReceiveCrash(c poison.Crash)
	// BlocksBesides returns the blocks of this VM if their digest differs from the given one.
	BlocksBesides(digest uint64) []poison.Block
	// LeavingBesides returns the backend servers that have said that they are leaving if their digest differs from the given one.
	LeavingBesides(digest uint64) []dispatch.Evidence
	// ReceiveBlocks is called with the answer to a question for blocks.
	ReceiveBlocks(blocks []poison.Block)
	// KnownHealth returns what this VM knows of the health of a service's backend servers.
	KnownHealth(service string) []dispatch.ServerHealth
	// ReceiveHealth is called with the answer to a question of this VM.
	ReceiveHealth(service string, known []dispatch.ServerHealth)
	Prover
}

// Groups provides the peer addresses of the other VMs that serve a service.
type Groups interface {
	// LocalAddresses returns those in the local region, which share all evidence.
	LocalAddresses(service string) []string
	// RemoteAddresses returns those in the other regions, which receive health transitions only.
	RemoteAddresses(service string) []string
}

// Conn is a datagram socket. *net.UDPConn implements it.
type Conn interface {
	ReadFromUDP(buffer []byte) (int, *net.UDPAddr, error)
	WriteToUDPAddrPort(datagram []byte, to netip.AddrPort) (int, error)
	Close() error
}

// Endpoint sends and receives the datagrams of this VM. It is safe for concurrent use.
type Endpoint struct {
	conn   Conn
	fleet  *membership.Fleet
	groups Groups
	// self returns the current state of this VM.
	self func() membership.Member
	log  zerolog.Logger
	// allowances receives the datagrams on allowances, if it is set.
	allowances Allowances
	// announcedAsReader is set if the last heartbeat to the zone relays announced this VM as a store reader.
	announcedAsReader atomic.Bool
	// announced is the state of this VM in the last heartbeat to all VMs of the zone.
	announced atomic.Pointer[membership.Member]
	// repeatsLeft is the number of upcoming regular heartbeats that go to all VMs of the zone.
	repeatsLeft atomic.Int32

	mu sync.Mutex
	// evidenceSenders holds the VMs that send evidence, by service and address.
	evidenceSenders map[string]map[string]*evidenceSender
}

// evidenceSender is a VM that sends evidence on a service.
type evidenceSender struct {
	// count is the amount of evidence since windowStart.
	count       int
	windowStart time.Time
	// subscribedUntil is how long the VM is sent evidence in return.
	subscribedUntil time.Time
}

// Listen opens a UDP socket at address and returns an Endpoint that uses it.
func Listen(address string, f *membership.Fleet, g Groups, log zerolog.Logger) (*Endpoint, error) {
	local, err := net.ResolveUDPAddr("udp4", address)
	if err != nil {
		return nil, err
	}
	conn, err := net.ListenUDP("udp4", local)
	if err != nil {
		return nil, err
	}
	return New(conn, f, g, log), nil
}

// New returns an Endpoint that uses an open socket.
func New(conn Conn, f *membership.Fleet, g Groups, log zerolog.Logger) *Endpoint {
	return &Endpoint{conn: conn, fleet: f, groups: g, log: log, evidenceSenders: map[string]map[string]*evidenceSender{}}
}

// SetSelf sets the function that returns the current state of this VM. It must be called before heartbeats are sent or
// received.
func (ep *Endpoint) SetSelf(self func() membership.Member) { ep.self = self }

// Close closes the socket.
func (ep *Endpoint) Close() error { return ep.conn.Close() }

// Receive processes datagrams until the socket is closed.
func (ep *Endpoint) Receive(to Receiver) {
	buffer := make([]byte, maxDatagramBytes)
	for {
		n, from, err := ep.conn.ReadFromUDP(buffer)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err == nil && n > 0 {
			err = ep.handle(buffer[:n], from, to)
		}
		if err != nil {
			logevent.DatagramFailed.Log(ep.log).Stringer("peer", from).Err(err).Send()
		}
	}
}

// handle decodes a datagram and passes it on to the Fleet or the Receiver.
func (ep *Endpoint) handle(datagram []byte, from *net.UDPAddr, to Receiver) error {
	if isHandled, err := ep.handleAllowance(datagram, from); isHandled {
		return err
	}
	body := datagram[1:]
	switch datagramKind(datagram[0]) {
	case kindHeartbeat:
		m, err := decodeHeartbeat(body)
		if err == nil {
			ep.replyToHeartbeat(m, ep.fleet.ReceiveHeartbeat(m, time.Now()))
		}
		return err
	case kindSilenceReport:
		if ep.fleet.ReceiveSilenceReport(string(body), time.Now()) {
			ep.AnnounceToZone()
		}
		return nil
	case kindProbe:
		if m, known := ep.fleet.ZonePeer(string(body)); known {
			ep.sendHeartbeat(ep.self(), []membership.Member{m})
		}
		return nil
	case kindEvidence:
		e, err := decodeEvidence(body)
		if err == nil {
			ep.recordEvidenceSender(e.Service, from.String())
			to.ReceiveEvidence(from.String(), e)
		}
		return err
	case kindHealthTransition:
		e, err := decodeEvidence(body)
		if err == nil {
			to.ReceiveHealthTransition(e)
		}
		return err
	case kindHealthQuestion:
		service, _, err := decodeName(body)
		if err == nil {
			// A VM that knows nothing answers too, so that the request there does not wait in vain.
			ep.send(from.String(), encodeHealthAnswer(service, to.KnownHealth(service)))
		}
		return err
	case kindHealthAnswer:
		service, servers, err := decodeHealthAnswer(body)
		if err == nil {
			to.ReceiveHealth(service, servers)
		}
		return err
	case kindCrash:
		c, err := decodeCrash(body)
		if err == nil {
			to.ReceiveCrash(c)
		}
		return err
	case kindNewsQuestion:
		question, err := decodeNewsQuestion(body)
		if err == nil {
			ep.sendBlocks(from.String(), to.BlocksBesides(question.blocks))
			ep.sendLeaving(from.String(), to.LeavingBesides(question.leaving))
		}
		return err
	case kindBlockAnswer:
		blocks, err := decodeBlockAnswer(body)
		if err == nil {
			to.ReceiveBlocks(blocks)
		}
		return err
	case kindProofQuestion:
		nonce, err := decodeProofQuestion(body)
		if err == nil {
			ep.answerProof(from.String(), nonce, to)
		}
		return err
	case kindProofAnswer:
		answer, err := decodeProofAnswer(body)
		if err == nil {
			to.ReceiveProof(answer.nonce, answer.version, answer.age)
		}
		return err
	default:
		return fmt.Errorf("decode datagram: unknown kind %d", datagram[0])
	}
}

func (ep *Endpoint) recordEvidenceSender(service, address string) {
	now := time.Now()
	ep.mu.Lock()
	defer ep.mu.Unlock()
	senders := ep.evidenceSenders[service]
	if senders == nil {
		senders = map[string]*evidenceSender{}
		ep.evidenceSenders[service] = senders
	}
	sender := senders[address]
	if sender == nil {
		sender = &evidenceSender{windowStart: now}
		senders[address] = sender
	}
	if now.Sub(sender.windowStart) > subscriptionWindow {
		sender.count, sender.windowStart = 0, now
	}
	sender.count++
	if sender.count >= subscriptionMinEvidence {
		sender.subscribedUntil = now.Add(subscriptionWindow)
	}
}

// SendEvidence sends evidence to the VMs of the local region that serve its service, and to the VMs that have many requests
// for it without being known to serve it. VMs of other regions are sent health transitions only. News that a backend server says of itself
// goes to all VMs.
func (ep *Endpoint) SendEvidence(e dispatch.Evidence) {
	datagram := encodeEvidence(e)
	sent := map[string]bool{}
	for _, address := range ep.groups.LocalAddresses(e.Service) {
		sent[address] = true
		ep.send(address, datagram)
	}
	for _, address := range ep.evidenceSubscribers(e.Service) {
		if !sent[address] {
			ep.send(address, datagram)
		}
	}
	if e.IsHealthTransition {
		ep.sendHealthTransition(e)
	}
	if e.IsNews {
		ep.sendNews(e)
	}
}

// sendNews sends what a backend server has newly said about itself to all registered VMs: any of them may get a request for
// it at any time.
func (ep *Endpoint) sendNews(e dispatch.Evidence) {
	// Peers that share evidence have the outcome already and must not count it twice.
	e.HasOutcome, e.IsTrial = false, false
	datagram := encodeHealthTransition(e)
	for _, m := range ep.fleet.RegisteredPeers() {
		ep.send(m.PeerAddress, datagram)
	}
}

func (ep *Endpoint) sendHealthTransition(e dispatch.Evidence) {
	datagram := encodeHealthTransition(e)
	for _, address := range ep.groups.RemoteAddresses(e.Service) {
		ep.send(address, datagram)
	}
}

// evidenceSubscribers returns the addresses of the VMs that are sent evidence on a service because they send much
// themselves, and forgets those that have sent none for subscriptionWindow.
func (ep *Endpoint) evidenceSubscribers(service string) []string {
	now := time.Now()
	ep.mu.Lock()
	defer ep.mu.Unlock()
	var out []string
	for address, sender := range ep.evidenceSenders[service] {
		switch {
		case now.Before(sender.subscribedUntil):
			out = append(out, address)
		case now.Sub(sender.windowStart) > subscriptionWindow:
			delete(ep.evidenceSenders[service], address)
		}
	}
	return out
}

// maxAskedVMs is how many VMs are asked at a time, since a datagram may be lost.
const maxAskedVMs = 2

// AskHealth asks VMs that serve a service in the local region which of its backend servers are healthy. It reports whether
// there is such a VM.
func (ep *Endpoint) AskHealth(service string) bool {
	addresses := slices.Clone(ep.groups.LocalAddresses(service))
	rand.Shuffle(len(addresses), func(i, j int) { addresses[i], addresses[j] = addresses[j], addresses[i] })
	addresses = addresses[:min(len(addresses), maxAskedVMs)]
	for _, address := range addresses {
		ep.send(address, encodeHealthQuestion(service))
	}
	return len(addresses) > 0
}

// SendCrash reports a request that broke the connection of a backend server to all registered VMs.
func (ep *Endpoint) SendCrash(c poison.Crash) {
	datagram := encodeCrash(c)
	for _, m := range ep.fleet.RegisteredPeers() {
		ep.send(m.PeerAddress, datagram)
	}
}

// otherRegionsPeriod is how many questions for news on average include one to a VM of any region.
const otherRegionsPeriod = 4

// AskNews asks a registered VM, mostly one of the local region, for what this VM may have missed. The digests are those of the blocks
// and of the leaving backend servers that this VM knows.
func (ep *Endpoint) AskNews(blocks, leaving uint64) {
	all := ep.fleet.RegisteredPeers()
	region := ep.self().Region
	local := slices.DeleteFunc(slices.Clone(all), func(m membership.Member) bool { return m.Region != region })
	if len(local) > 0 && rand.IntN(otherRegionsPeriod) > 0 {
		all = local
	}
	if len(all) > 0 {
		ep.send(all[rand.IntN(len(all))].PeerAddress, encodeNewsQuestion(newsQuestion{blocks: blocks, leaving: leaving}))
	}
}

// sendBlocks sends as many blocks as a datagram holds, chosen at random.
func (ep *Endpoint) sendBlocks(address string, blocks []poison.Block) {
	if len(blocks) == 0 {
		return
	}
	rand.Shuffle(len(blocks), func(i, j int) { blocks[i], blocks[j] = blocks[j], blocks[i] })
	ep.send(address, encodeBlockAnswer(blocks[:min(len(blocks), maxBlocksSent)]))
}

// maxLeavingSent is how many leaving backend servers an answer names.
const maxLeavingSent = 32

// sendLeaving tells a VM of leaving backend servers, chosen at random if there are many.
func (ep *Endpoint) sendLeaving(address string, leaving []dispatch.Evidence) {
	rand.Shuffle(len(leaving), func(i, j int) { leaving[i], leaving[j] = leaving[j], leaving[i] })
	for _, e := range leaving[:min(len(leaving), maxLeavingSent)] {
		ep.send(address, encodeHealthTransition(e))
	}
}

// replyToHeartbeat answers a heartbeat of the VM m with one of this VM if m has no copy of the store yet and this VM has
// one. In a large zone, whose VMs do not all receive each other's regular heartbeats, it also answers if m was unknown or
// silent before (isNew), whether or not either has a copy. It then first sends m a silence report about m itself, which
// makes m announce to all others that it is alive.
func (ep *Endpoint) replyToHeartbeat(m membership.Member, isNew bool) {
	isNew = isNew && ep.fleet.IsLargeZone()
	if !isNew && m.Revision > 0 {
		return
	}
	self := ep.self()
	if self.Name == m.Name || !isNew && self.Revision == 0 {
		return
	}
	if isNew {
		ep.send(m.PeerAddress, encodeSilenceReport(m.Name))
	}
	ep.sendHeartbeat(self, []membership.Member{m})
}

// SendHeartbeats sends regular heartbeats and reports silent VMs until ctx ends. It starts with an announcement to the
// whole zone.
func (ep *Endpoint) SendHeartbeats(ctx context.Context) {
	ticker := time.NewTicker(membership.HeartbeatInterval)
	defer ticker.Stop()
	ep.AnnounceToZone()
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-ticker.C:
			ep.reportSilent(ep.fleet.UpdateLiveness(now))
			ep.probe(ep.fleet.Unheard(now))
			ep.sendRegularHeartbeat()
		}
	}
}

// reportSilent reports silent VMs to all VMs of the zone. The silent ones get the reports too: one that is alive announces
// itself in response.
func (ep *Endpoint) reportSilent(silent []string) {
	for _, name := range silent {
		datagram := encodeSilenceReport(name)
		for _, m := range ep.fleet.ZonePeers() {
			ep.send(m.PeerAddress, datagram)
		}
	}
}

// probe asks VMs of the zone for a heartbeat.
func (ep *Endpoint) probe(unheard []membership.Member) {
	if len(unheard) == 0 {
		return
	}
	datagram := encodeProbe(ep.self().Name)
	for _, m := range unheard {
		ep.send(m.PeerAddress, datagram)
	}
}

// sendRegularHeartbeat sends a heartbeat to the heartbeat targets of this VM. If its state has changed materially since the
// last heartbeat to the whole zone, it is announced to the whole zone instead.
func (ep *Endpoint) sendRegularHeartbeat() {
	self := ep.self()
	if announced := ep.announced.Load(); announced == nil || self.DiffersMateriallyFrom(announced) {
		ep.AnnounceToZone()
		return
	}
	if ep.repeatsLeft.Load() > 0 {
		ep.repeatsLeft.Add(-1)
		ep.broadcast(self)
		return
	}
	now := time.Now()
	ep.fleet.ReceiveHeartbeat(self, now)
	ep.sendHeartbeat(self, ep.fleet.HeartbeatTargets(now))
}

// AnnounceToZone sends a heartbeat to all VMs of the zone, and makes the next announcementRepeats regular heartbeats go to
// all of them too.
func (ep *Endpoint) AnnounceToZone() {
	ep.repeatsLeft.Store(announcementRepeats)
	ep.broadcast(ep.self())
}

// broadcast sends a heartbeat to all VMs of the zone and records it in the Fleet of this VM.
func (ep *Endpoint) broadcast(self membership.Member) {
	ep.announced.Store(&self)
	ep.fleet.ReceiveHeartbeat(self, time.Now())
	ep.sendHeartbeat(self, ep.fleet.ZonePeers())
}

// Announce sends the changed state of this VM to all VMs of the zone and, if it reads the store, to the relays of other
// zones.
func (ep *Endpoint) Announce() {
	ep.AnnounceToZone()
	ep.SendToZoneRelays()
}

// SendToZoneRelays sends a heartbeat to the relays of the other zones of the region if this VM reads the store, or once
// more after it has stopped reading it. The heartbeat carries no request rates.
func (ep *Endpoint) SendToZoneRelays() {
	self := ep.self()
	if wasReader := ep.announcedAsReader.Swap(self.IsReader); !self.IsReader && !wasReader {
		return
	}
	self.Rates = nil
	ep.sendHeartbeat(self, ep.fleet.ZoneRelays())
}

func (ep *Endpoint) sendHeartbeat(self membership.Member, to []membership.Member) {
	datagram, err := encodeHeartbeat(self)
	if err != nil {
		logevent.DatagramFailed.Log(ep.log).Err(err).Send()
		return
	}
	for _, m := range to {
		ep.send(m.PeerAddress, datagram)
	}
}

// send sends a datagram without waiting. If the socket does not accept it, the datagram is lost as if the network had
// dropped it.
func (ep *Endpoint) send(address string, datagram []byte) {
	to, err := netip.ParseAddrPort(address)
	if err == nil {
		_, err = ep.conn.WriteToUDPAddrPort(datagram, to)
	}
	if err != nil && !errors.Is(err, net.ErrClosed) {
		logevent.DatagramFailed.Log(ep.log).Str("peer", address).Err(err).Send()
	}
}
