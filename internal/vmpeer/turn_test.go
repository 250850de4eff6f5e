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

// fixedGroups are groups of one VM each.
type fixedGroups struct{ near, far string }

func (g fixedGroups) Addresses(string) []string { return []string{g.near} }
func (g fixedGroups) Distant(string) []string   { return []string{g.far} }

// TestOnlyTurnsLeaveTheRegion checks what the VMs of the region and those of other regions are sent.
func TestOnlyTurnsLeaveTheRegion(t *testing.T) {
	c := qt.New(t)
	near, far := listenUDP(c), listenUDP(c)
	p, err := Listen("127.0.0.1:0", nil, fixedGroups{near.LocalAddr().String(), far.LocalAddr().String()}, zerolog.Nop())
	c.Assert(err, qt.IsNil)
	defer p.Close()

	plain := dispatch.Evidence{Service: "s", Server: "i-1", HasOutcome: true, Outcome: evidence.Failure}
	turn := plain
	turn.Server, turn.IsHealthTransition = "i-2", true
	p.SendEvidence(plain)
	p.SendEvidence(turn)

	for _, want := range []string{"i-1", "i-2"} {
		got := receiveEvidence(c, near, kindEvidence)
		c.Check(got.Server, qt.Equals, want)
	}
	got := receiveEvidence(c, far, kindTurn)
	c.Check(got.Server, qt.Equals, "i-2")
	c.Check(got.Outcome, qt.Equals, evidence.Failure)
}

func listenUDP(c *qt.C) *net.UDPConn {
	conn, err := net.ListenUDP("udp4", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
	c.Assert(err, qt.IsNil)
	c.Cleanup(func() { conn.Close() })
	return conn
}

func receiveEvidence(c *qt.C, conn *net.UDPConn, want kind) dispatch.Evidence {
	c.Assert(conn.SetReadDeadline(time.Now().Add(5*time.Second)), qt.IsNil)
	datagram := make([]byte, maxDatagram)
	n, err := conn.Read(datagram)
	c.Assert(err, qt.IsNil)
	c.Assert(kind(datagram[0]), qt.Equals, want)
	e, err := decodeEvidence(datagram[1:n])
	c.Assert(err, qt.IsNil)
	return e
}
