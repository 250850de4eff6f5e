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
	// maxDatagramBytes is the largest datagram that is read; a heartbeat has about 250 bytes.
	maxDatagramBytes = 2048
	// senderLifetime is how long a VM that sent evidence on a service gets evidence in return.
	senderLifetime = 3 * time.Second
	// announcementRepeats is how many regular heartbeats after a change go to all VMs of the zone, since one may be lost.
	announcementRepeats = 2
)

// Receiver takes what other VMs send.
type Receiver interface {
	ReceiveEvidence(peer string, e dispatch.Evidence)
	ReceiveHealthTransition(e dispatch.Evidence)
	ReceiveCrash(f poison.Fingerprint, server string)
}

// Groups knows the addresses of the VMs that serve a service.
type Groups interface {
	// LocalAddresses returns those of the own region, which share all evidence.
	LocalAddresses(service string) []string
	// RemoteAddresses returns those of the other regions.
	RemoteAddresses(service string) []string
}

// Conn is a socket for datagrams, as *net.UDPConn is one.
type Conn interface {
	ReadFromUDP(buffer []byte) (int, *net.UDPAddr, error)
	WriteToUDPAddrPort(datagram []byte, to netip.AddrPort) (int, error)
	Close() error
}

// Endpoint sends and receives datagrams.
type Endpoint struct {
	conn   Conn
	fleet  *membership.Fleet
	groups Groups
	// self tells how the VM is.
	self func() membership.Member
	log  zerolog.Logger
	// announcedAsReader tells that the heads of other zones were last told that this VM reads the store.
	announcedAsReader atomic.Bool
	// announced is what all VMs of the zone were last sent of this one.
	announced atomic.Pointer[membership.Member]
	// repeatsLeft is how many of the next regular heartbeats go to all.
	repeatsLeft atomic.Int32

	mu sync.Mutex
	// evidenceSenders are the VMs that lately sent evidence, by service and address.
	evidenceSenders map[string]map[string]time.Time
}

// Listen opens the VM's socket.
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

// New returns a peer that uses an open socket.
func New(conn Conn, f *membership.Fleet, g Groups, log zerolog.Logger) *Endpoint {
	return &Endpoint{conn: conn, fleet: f, groups: g, log: log, evidenceSenders: map[string]map[string]time.Time{}}
}

// SetSelf sets how the VM tells of itself. It must be called before heartbeats are sent or received.
func (ep *Endpoint) SetSelf(self func() membership.Member) { ep.self = self }

// Close closes the socket.
func (ep *Endpoint) Close() error { return ep.conn.Close() }

// Receive passes on what arrives until the socket is closed.
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
			logevent.PeerFailed.Log(ep.log).Stringer("peer", from).Err(err).Send()
		}
	}
}

func (ep *Endpoint) handle(datagram []byte, from *net.UDPAddr, to Receiver) error {
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

func (ep *Endpoint) recordEvidenceSender(service, address string) {
	ep.mu.Lock()
	defer ep.mu.Unlock()
	if ep.evidenceSenders[service] == nil {
		ep.evidenceSenders[service] = map[string]time.Time{}
	}
	ep.evidenceSenders[service][address] = time.Now()
}

// SendEvidence tells the VMs of a service's group, and those that lately sent evidence on it. Those of other regions hear
// of turns only.
func (ep *Endpoint) SendEvidence(e dispatch.Evidence) {
	datagram := encodeEvidence(e)
	sent := map[string]bool{}
	for _, address := range ep.groups.LocalAddresses(e.Service) {
		sent[address] = true
		ep.send(address, datagram)
	}
	for _, address := range ep.recentEvidenceSenders(e.Service) {
		if !sent[address] {
			ep.send(address, datagram)
		}
	}
	if e.IsHealthTransition {
		ep.sendHealthTransition(e)
	}
}

func (ep *Endpoint) sendHealthTransition(e dispatch.Evidence) {
	datagram := encodeHealthTransition(e)
	for _, address := range ep.groups.RemoteAddresses(e.Service) {
		ep.send(address, datagram)
	}
}

func (ep *Endpoint) recentEvidenceSenders(service string) []string {
	ep.mu.Lock()
	defer ep.mu.Unlock()
	var out []string
	for address, at := range ep.evidenceSenders[service] {
		if time.Since(at) > senderLifetime {
			delete(ep.evidenceSenders[service], address)
			continue
		}
		out = append(out, address)
	}
	return out
}

// SendCrash tells all VMs.
func (ep *Endpoint) SendCrash(f poison.Fingerprint, server string) {
	datagram := encodeCrash(crash{fingerprint: f, server: server})
	for _, m := range ep.fleet.RegisteredPeers() {
		ep.send(m.PeerAddress, datagram)
	}
}

// replyToHeartbeat answers the heartbeat of a VM that has no copy of the store yet with one of this VM, if it has one to give. In a
// large zone, whose VMs do not hear each other regularly, it answers each that was unknown or silent, and tells one that was
// silent that it has to tell the others.
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

// SendHeartbeats sends heartbeats to the VMs of the zone that expect them until ctx ends, and tells all of those that have
// fallen silent.
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
			ep.sendRegularHeartbeat()
		}
	}
}

// reportSilent tells the VMs of the zone, the silent ones included, which have fallen silent.
func (ep *Endpoint) reportSilent(silent []string) {
	for _, name := range silent {
		datagram := encodeSilenceReport(name)
		for _, m := range ep.fleet.ZonePeers() {
			ep.send(m.PeerAddress, datagram)
		}
	}
}

// sendRegularHeartbeat tells the VMs that expect it how the VM is, or all where it has changed.
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

// AnnounceToZone tells all VMs of the zone, and the VM itself, how the VM is, and again with the next regular heartbeats.
func (ep *Endpoint) AnnounceToZone() {
	ep.repeatsLeft.Store(announcementRepeats)
	ep.broadcast(ep.self())
}

func (ep *Endpoint) broadcast(self membership.Member) {
	ep.announced.Store(&self)
	ep.fleet.ReceiveHeartbeat(self, time.Now())
	ep.sendHeartbeat(self, ep.fleet.ZonePeers())
}

// Announce tells the VMs of the zone and, where this VM reads the store, those of other zones, that it has changed.
func (ep *Endpoint) Announce() {
	ep.AnnounceToZone()
	ep.SendToZoneRelays()
}

// SendToZoneRelays tells the VMs which follow the store for the other zones of the region that this VM has read it, or does so
// no longer.
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
		logevent.PeerFailed.Log(ep.log).Err(err).Send()
		return
	}
	for _, m := range to {
		ep.send(m.PeerAddress, datagram)
	}
}

// send does not wait: a datagram that the socket cannot take is lost like one on the way.
func (ep *Endpoint) send(address string, datagram []byte) {
	to, err := netip.ParseAddrPort(address)
	if err == nil {
		_, err = ep.conn.WriteToUDPAddrPort(datagram, to)
	}
	if err != nil && !errors.Is(err, net.ErrClosed) {
		logevent.PeerFailed.Log(ep.log).Str("peer", address).Err(err).Send()
	}
}
