package vmpeer

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// TestProofAnswersNeverLookYounger checks that an age is rounded up on the way, and that datagrams that are cut are refused.
func TestProofAnswersNeverLookYounger(t *testing.T) {
	c := qt.New(t)
	datagram := encodeProofAnswer(proofAnswer{nonce: 1 << 63, version: 7, age: 1001 * time.Microsecond})
	got, err := decodeProofAnswer(datagram[1:])
	c.Assert(err, qt.IsNil)
	c.Check(got, qt.Equals, proofAnswer{nonce: 1 << 63, version: 7, age: 2 * time.Millisecond})
	_, err = decodeProofAnswer(datagram[2:])
	c.Check(err, qt.ErrorMatches, "decode proof answer: body of 19 bytes .*")
	_, err = decodeProofQuestion(encodeProofQuestion(1)[2:])
	c.Check(err, qt.ErrorMatches, "decode proof question: body of 7 bytes .*")
}
