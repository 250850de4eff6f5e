package vmpeer

import (
	"net"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/rs/zerolog"

	"github.com/primroseladder/primroseladder/internal/dispatch"
	"github.com/primroseladder/primroseladder/internal/poison"
)

// noReceiver ignores what it receives.
type noReceiver struct{}

func (noReceiver) ReceiveEvidence(string, dispatch.Evidence)     {}
func (noReceiver) ReceiveHealthTransition(dispatch.Evidence)     {}
func (noReceiver) ReceiveCrash(poison.Crash)                     {}
func (noReceiver) BlocksBesides(uint64) []poison.Block           { return nil }
func (noReceiver) ReceiveBlocks([]poison.Block)                  {}
func (noReceiver) LeavingBesides(uint64) []dispatch.Evidence     { return nil }
func (noReceiver) KnownHealth(string) []dispatch.ServerHealth    { return nil }
func (noReceiver) ReceiveHealth(string, []dispatch.ServerHealth) {}
func (noReceiver) KnownProof() (uint64, time.Duration, bool)     { return 0, 0, false }
func (noReceiver) ReceiveProof(uint64, uint64, time.Duration)    {}

// TestFewRequestsDoNotSubscribeToEvidence guards against all evidence on a service being sent to every VM that gets a request
// for it now and then. On a large deployment these were all VMs of a region, and receiving it took most of the processor
// time of the fleet.
func TestFewRequestsDoNotSubscribeToEvidence(t *testing.T) {
	tests := []struct {
		name           string
		requests       int
		isSentEvidence bool
	}{{"one request", 1, false}, {"two requests", 2, false}, {"many requests", 30, true}}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			member, outsider := listenUDP(c), listenUDP(c)
			endpoint, err := Listen("127.0.0.1:0", nil, fixedGroups{local: member.LocalAddr().String()}, zerolog.Nop())
			c.Assert(err, qt.IsNil)
			defer endpoint.Close()
			from := outsider.LocalAddr().(*net.UDPAddr)
			for range test.requests {
				for _, e := range []dispatch.Evidence{{Service: "s", Server: "i-1", IsStart: true}, {Service: "s", Server: "i-1", HasOutcome: true}} {
					c.Assert(endpoint.handle(encodeEvidence(e), from, noReceiver{}), qt.IsNil)
				}
			}
			endpoint.SendEvidence(dispatch.Evidence{Service: "s", Server: "i-2", IsStart: true})
			c.Check(receiveEvidence(c, member, kindEvidence).Server, qt.Equals, "i-2")
			c.Assert(outsider.SetReadDeadline(time.Now().Add(100*time.Millisecond)), qt.IsNil)
			_, err = outsider.Read(make([]byte, maxDatagramBytes))
			c.Check(err == nil, qt.Equals, test.isSentEvidence)
		})
	}
}
