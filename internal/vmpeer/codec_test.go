package vmpeer

import (
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/primroseladder/primroseladder/internal/dispatch"
	"github.com/primroseladder/primroseladder/internal/evidence"
	"github.com/primroseladder/primroseladder/internal/membership"
	"github.com/primroseladder/primroseladder/internal/poison"
)

func TestEvidenceRoundTrip(t *testing.T) {
	for _, e := range []dispatch.Evidence{
		{Service: "s", Server: "i-1", Open: 3},
		{Service: "s", Server: "i-1", Open: 3, IsStart: true},
		{Service: "s", Server: "i-1", Open: 3, IsStart: true, Work: dispatch.Work{Class: 0xfedcba98, Number: 0xfedc}},
		{Service: "s", Server: "i-1", Statement: dispatch.Statement{Limit: 0.25, Incarnation: 7}, Work: dispatch.Work{Class: 5, Number: 6}},
		{Service: "s", IsRetry: true},
		{Service: "s", Server: "i-1", HasOutcome: true, Outcome: evidence.Hung, Took: 1500 * time.Millisecond},
		{Service: "s", Server: "i-1", HasOutcome: true, Outcome: evidence.Failure, IsTrial: true},
		{Service: "s", Server: "i-1", HasOutcome: true, Outcome: evidence.UsualFailure, IsTrial: true},
		{Service: "s", Server: "i-1", HasOutcome: true, Statement: dispatch.Statement{Limit: 0.25, Incarnation: 7}},
		{Service: "s", Server: "i-1", HasOutcome: true, Statement: dispatch.Statement{HasNoLimit: true, Incarnation: 7}},
		{Service: "s", Server: "i-1", HasOutcome: true, Statement: dispatch.Statement{IsLeaving: true, Incarnation: 1_767_225_600_123}},
	} {
		got, err := decodeEvidence(encodeEvidence(e)[1:])
		qt.Assert(t, err, qt.IsNil)
		qt.Check(t, got, qt.Equals, e)
	}
}

// TestEvidenceIsSmall checks that an evidence datagram has at most 40 bytes.
func TestEvidenceIsSmall(t *testing.T) {
	e := dispatch.Evidence{Service: "wuno96b", Server: "i-7f3a91c2b4", Work: dispatch.Work{Class: 1, Number: 1}}
	qt.Check(t, len(encodeEvidence(e)) <= 40, qt.IsTrue)
}

// TestHealthAnswerRoundTrip also checks that an answer about the most backend servers fits into a datagram.
func TestHealthAnswerRoundTrip(t *testing.T) {
	servers := []dispatch.ServerHealth{{Server: "i-1", Unhealthy: 1, Open: 300}, {Server: "i-2"}}
	service, got, err := decodeHealthAnswer(encodeHealthAnswer("s", servers)[1:])
	qt.Assert(t, err, qt.IsNil)
	qt.Check(t, service, qt.Equals, "s")
	qt.Check(t, got, qt.DeepEquals, []dispatch.ServerHealth{{Server: "i-1", Unhealthy: 1, Open: 255}, {Server: "i-2"}})
	many := slices.Repeat([]dispatch.ServerHealth{{Server: "i-7f3a91c2b4"}}, 80)
	qt.Check(t, len(encodeHealthAnswer("wuno96b", many)) < 1400, qt.IsTrue)
}

// TestBlocksRoundTrip also checks that the answer with the most blocks fits into the receive buffer.
func TestBlocksRoundTrip(t *testing.T) {
	question := newsQuestion{blocks: 0xfedcba9876543210, leaving: 1}
	gotQuestion, err := decodeNewsQuestion(encodeNewsQuestion(question)[1:])
	qt.Assert(t, err, qt.IsNil)
	qt.Check(t, gotQuestion, qt.Equals, question)
	blocks := []poison.Block{{Fingerprint: 0xfedcba9876543210, Remaining: 9 * time.Minute}, {Fingerprint: 1, Remaining: time.Millisecond, IsAnswered: true}}
	got, err := decodeBlockAnswer(encodeBlockAnswer(blocks)[1:])
	qt.Assert(t, err, qt.IsNil)
	qt.Check(t, got, qt.DeepEquals, blocks)
	qt.Check(t, len(encodeBlockAnswer(make([]poison.Block, maxBlocksSent))) < maxDatagramBytes, qt.IsTrue)
}

func TestCrashAndHeartbeatRoundTrip(t *testing.T) {
	c := qt.New(t)
	report := poison.Crash{Fingerprint: 0xfedcba9876543210, Server: "i-1", IsExcused: true}
	gotReport, err := decodeCrash(encodeCrash(report)[1:])
	c.Assert(err, qt.IsNil)
	c.Check(gotReport, qt.Equals, report)
	m := membership.Member{Name: "vm", Zone: "z", Revision: 7, AgeMS: 250, IsLeaving: true, Rates: map[string]float64{"h": 2}}
	data, err := encodeHeartbeat(m)
	c.Assert(err, qt.IsNil)
	got, err := decodeHeartbeat(data[1:])
	c.Assert(err, qt.IsNil)
	c.Check(got, qt.DeepEquals, m)
}

func FuzzDatagrams(f *testing.F) {
	f.Add(encodeEvidence(dispatch.Evidence{Service: "s", Server: "i-1", Open: 3}))
	f.Add(encodeCrash(poison.Crash{Fingerprint: 1, Server: "i-1"}))
	f.Add(encodeBlockAnswer([]poison.Block{{Fingerprint: 1, Remaining: time.Minute}}))
	f.Fuzz(func(t *testing.T, datagram []byte) {
		if len(datagram) == 0 {
			return
		}
		body := datagram[1:]
		if e, err := decodeEvidence(body); err == nil && e.Outcome >= evidence.NumOutcomes {
			t.Fatalf("decoded the unknown outcome %d", e.Outcome)
		}
		_, _ = decodeCrash(body)
		_, _ = decodeNewsQuestion(body)
		if blocks, err := decodeBlockAnswer(body); err == nil && len(blocks)*blockBytes != len(body) {
			t.Fatalf("decoded %d blocks from %d bytes", len(blocks), len(body))
		}
		if m, err := decodeHeartbeat(body); err == nil && m.Name == "" {
			t.Fatal("decoded a heartbeat without a VM name")
		}
	})
}
