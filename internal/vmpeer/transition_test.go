package vmpeer

import (
	"net"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/rs/zerolog"

	"github.com/primroseladder/primroseladder/internal/dispatch"
	"github.com/primroseladder/primroseladder/internal/evidence"
)

// fixedGroups implements Groups with one VM in the local region and one in another region.
type fixedGroups struct{ local, remote string }

func (g fixedGroups) LocalAddresses(string) []string  { return []string{g.local} }
func (g fixedGroups) RemoteAddresses(string) []string { return []string{g.remote} }

// TestOnlyHealthTransitionsLeaveTheRegion checks that VMs of the local region are sent all evidence, and VMs of other
// regions only health transitions.
func TestOnlyHealthTransitionsLeaveTheRegion(t *testing.T) {
	c := qt.New(t)
	local, remote := listenUDP(c), listenUDP(c)
	endpoint, err := Listen("127.0.0.1:0", nil, fixedGroups{local.LocalAddr().String(), remote.LocalAddr().String()}, zerolog.Nop())
	c.Assert(err, qt.IsNil)
	defer endpoint.Close()

	plain := dispatch.Evidence{Service: "s", Server: "i-1", HasOutcome: true, Outcome: evidence.Failure}
	transition := plain
	transition.Server, transition.IsHealthTransition = "i-2", true
	endpoint.SendEvidence(plain)
	endpoint.SendEvidence(transition)

	for _, want := range []string{"i-1", "i-2"} {
		got := receiveEvidence(c, local, kindEvidence)
		c.Check(got.Server, qt.Equals, want)
	}
	got := receiveEvidence(c, remote, kindHealthTransition)
	c.Check(got.Server, qt.Equals, "i-2")
	c.Check(got.Outcome, qt.Equals, evidence.Failure)
}

func listenUDP(c *qt.C) *net.UDPConn {
	conn, err := net.ListenUDP("udp4", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
	c.Assert(err, qt.IsNil)
	c.Cleanup(func() { conn.Close() })
	return conn
}

func receiveEvidence(c *qt.C, conn *net.UDPConn, want datagramKind) dispatch.Evidence {
	c.Assert(conn.SetReadDeadline(time.Now().Add(5*time.Second)), qt.IsNil)
	datagram := make([]byte, maxDatagramBytes)
	n, err := conn.Read(datagram)
	c.Assert(err, qt.IsNil)
	c.Assert(datagramKind(datagram[0]), qt.Equals, want)
	e, err := decodeEvidence(datagram[1:n])
	c.Assert(err, qt.IsNil)
	return e
}
