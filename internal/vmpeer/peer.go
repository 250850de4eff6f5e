package vmpeer

import (
	"context"
	"errors"
	"net"
	"net/netip"
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
	// maxDatagram is the largest datagram that is read; a heartbeat has about 250 bytes.
	maxDatagram = 2048
	// correspondentLifetime is how long a VM that sent evidence on a service gets evidence in return.
	correspondentLifetime = 3 * time.Second
	// announceRepeats is how many regular heartbeats after a change go to all VMs of the zone, since one may be lost.
	announceRepeats = 2
)

// Receiver takes what other VMs send.
type Receiver interface {
	ReceiveEvidence(peer string, e dispatch.Evidence)
	ReceiveHealthTransition(e dispatch.Evidence)
	ReceiveCrash(f poison.Fingerprint, server string)
}

// Groups knows the addresses of the VMs that serve a service.
type Groups interface {
	// Addresses returns those of the own region, which share all evidence.
	Addresses(service string) []string
	// Distant returns those of the other regions.
	Distant(service string) []string
}

// Conn is a socket for datagrams, as *net.UDPConn is one.
type Conn interface {
	ReadFromUDP(buffer []byte) (int, *net.UDPAddr, error)
	WriteToUDPAddrPort(datagram []byte, to netip.AddrPort) (int, error)
	Close() error
}

// Peer sends and receives datagrams.
type Peer struct {
	conn   Conn
	fleet  *membership.Fleet
	groups Groups
	// self tells how the VM is.
	self func() membership.Member
	log  zerolog.Logger
	// isReader tells that the heads of other zones were last told that this VM reads the store.
	isReader atomic.Bool
	// told is what all VMs of the zone were last told of this one.
	told atomic.Pointer[membership.Member]
	// repeats is how many of the next regular heartbeats go to all.
	repeats atomic.Int32

	mu sync.Mutex
	// correspondents are the VMs that lately sent evidence, by service and address.
	correspondents map[string]map[string]time.Time
}

// Listen opens the VM's socket.
func Listen(address string, f *membership.Fleet, g Groups, log zerolog.Logger) (*Peer, error) {
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

// New returns a peer that uses an open socket.
func New(conn Conn, f *membership.Fleet, g Groups, log zerolog.Logger) *Peer {
	return &Peer{conn: conn, fleet: f, groups: g, log: log, correspondents: map[string]map[string]time.Time{}}
}

// Introduce sets how the VM tells of itself. It must be called before heartbeats are sent or received.
func (p *Peer) Introduce(self func() membership.Member) { p.self = self }

// Close closes the socket.
func (p *Peer) Close() error { return p.conn.Close() }

// Receive passes on what arrives until the socket is closed.
func (p *Peer) Receive(to Receiver) {
	buffer := make([]byte, maxDatagram)
	for {
		n, from, err := p.conn.ReadFromUDP(buffer)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err == nil && n > 0 {
			err = p.take(buffer[:n], from, to)
		}
		if err != nil {
			logevent.PeerFailed.Log(p.log).Stringer("peer", from).Err(err).Send()
		}
	}
}

func (p *Peer) take(datagram []byte, from *net.UDPAddr, to Receiver) error {
	body := datagram[1:]
	switch kind(datagram[0]) {
	case kindHeartbeat:
		m, err := decodeHeartbeat(body)
		if err == nil {
			p.greet(m, p.fleet.ReceiveHeartbeat(m, time.Now()))
		}
		return err
	case kindSilent:
		if p.fleet.ReceiveSilenceReport(string(body), time.Now()) {
			p.SendHeartbeat()
		}
		return nil
	case kindEvidence:
		e, err := decodeEvidence(body)
		if err == nil {
			p.noteCorrespondent(e.Service, from.String())
			to.ReceiveEvidence(from.String(), e)
		}
		return err
	case kindTurn:
		e, err := decodeEvidence(body)
		if err == nil {
			to.ReceiveHealthTransition(e)
		}
		return err
	case kindCrash:
		c, err := decodeCrash(body)
		if err == nil {
			to.ReceiveCrash(c.fingerprint, c.server)
		}
		return err
	default:
		return errors.New("the datagram has an unknown kind")
	}
}

func (p *Peer) noteCorrespondent(service, address string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.correspondents[service] == nil {
		p.correspondents[service] = map[string]time.Time{}
	}
	p.correspondents[service][address] = time.Now()
}

// SendEvidence tells the VMs of a service's group, and those that lately sent evidence on it. Those of other regions hear
// of turns only.
func (p *Peer) SendEvidence(e dispatch.Evidence) {
	datagram := encodeEvidence(e)
	sent := map[string]bool{}
	for _, address := range p.groups.Addresses(e.Service) {
		sent[address] = true
		p.send(address, datagram)
	}
	for _, address := range p.lateCorrespondents(e.Service) {
		if !sent[address] {
			p.send(address, datagram)
		}
	}
	if e.IsHealthTransition {
		p.sendTurn(e)
	}
}

func (p *Peer) sendTurn(e dispatch.Evidence) {
	datagram := encodeTurn(e)
	for _, address := range p.groups.Distant(e.Service) {
		p.send(address, datagram)
	}
}

func (p *Peer) lateCorrespondents(service string) []string {
	p.mu.Lock()
	defer p.mu.Unlock()
	var out []string
	for address, at := range p.correspondents[service] {
		if time.Since(at) > correspondentLifetime {
			delete(p.correspondents[service], address)
			continue
		}
		out = append(out, address)
	}
	return out
}

// SendCrash tells all VMs.
func (p *Peer) SendCrash(f poison.Fingerprint, server string) {
	datagram := encodeCrash(crash{fingerprint: f, server: server})
	for _, m := range p.fleet.RegisteredPeers() {
		p.send(m.PeerAddress, datagram)
	}
}

// greet answers the heartbeat of a VM that has no copy of the store yet with one of this VM, if it has one to give. In a
// large zone, whose VMs do not hear each other regularly, it answers each that was unknown or silent, and tells one that was
// silent that it has to tell the others.
func (p *Peer) greet(m membership.Member, isNew bool) {
	isNew = isNew && p.fleet.IsLargeZone()
	if !isNew && m.Revision > 0 {
		return
	}
	self := p.self()
	if self.Name == m.Name || !isNew && self.Revision == 0 {
		return
	}
	if isNew {
		p.send(m.PeerAddress, encodeSilent(m.Name))
	}
	p.sendHeartbeat(self, []membership.Member{m})
}

// SendHeartbeats sends heartbeats to the VMs of the zone that expect them until ctx ends, and tells all of those that have
// fallen silent.
func (p *Peer) SendHeartbeats(ctx context.Context) {
	ticker := time.NewTicker(membership.HeartbeatInterval)
	defer ticker.Stop()
	p.SendHeartbeat()
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-ticker.C:
			p.report(p.fleet.UpdateLiveness(now))
			p.sendRegularHeartbeat()
		}
	}
}

// report tells the VMs of the zone, the silent ones included, which have fallen silent.
func (p *Peer) report(silent []string) {
	for _, name := range silent {
		datagram := encodeSilent(name)
		for _, m := range p.fleet.ZonePeers() {
			p.send(m.PeerAddress, datagram)
		}
	}
}

// sendRegularHeartbeat tells the VMs that expect it how the VM is, or all where it has changed.
func (p *Peer) sendRegularHeartbeat() {
	self := p.self()
	if told := p.told.Load(); told == nil || self.DiffersMateriallyFrom(told) {
		p.SendHeartbeat()
		return
	}
	if p.repeats.Load() > 0 {
		p.repeats.Add(-1)
		p.tellAll(self)
		return
	}
	now := time.Now()
	p.fleet.ReceiveHeartbeat(self, now)
	p.sendHeartbeat(self, p.fleet.HeartbeatTargets(now))
}

// SendHeartbeat tells all VMs of the zone, and the VM itself, how the VM is, and again with the next regular heartbeats.
func (p *Peer) SendHeartbeat() {
	p.repeats.Store(announceRepeats)
	p.tellAll(p.self())
}

func (p *Peer) tellAll(self membership.Member) {
	p.told.Store(&self)
	p.fleet.ReceiveHeartbeat(self, time.Now())
	p.sendHeartbeat(self, p.fleet.ZonePeers())
}

// Announce tells the VMs of the zone and, where this VM reads the store, those of other zones, that it has changed.
func (p *Peer) Announce() {
	p.SendHeartbeat()
	p.SendToHeads()
}

// SendToHeads tells the VMs which follow the store for the other zones of the region that this VM has read it, or does so
// no longer.
func (p *Peer) SendToHeads() {
	self := p.self()
	if wasReader := p.isReader.Swap(self.IsReader); !self.IsReader && !wasReader {
		return
	}
	self.Rates = nil
	p.sendHeartbeat(self, p.fleet.ZoneRelays())
}

func (p *Peer) sendHeartbeat(self membership.Member, to []membership.Member) {
	datagram, err := encodeHeartbeat(self)
	if err != nil {
		logevent.PeerFailed.Log(p.log).Err(err).Send()
		return
	}
	for _, m := range to {
		p.send(m.PeerAddress, datagram)
	}
}

// send does not wait: a datagram that the socket cannot take is lost like one on the way.
func (p *Peer) send(address string, datagram []byte) {
	to, err := netip.ParseAddrPort(address)
	if err == nil {
		_, err = p.conn.WriteToUDPAddrPort(datagram, to)
	}
	if err != nil && !errors.Is(err, net.ErrClosed) {
		logevent.PeerFailed.Log(p.log).Str("peer", address).Err(err).Send()
	}
}
