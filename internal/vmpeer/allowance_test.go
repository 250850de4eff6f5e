package vmpeer

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/primroseladder/primroseladder/internal/allowance"
)

// TestAllowanceDatagramsKeepTheirContent encodes and decodes each of them, and cuts them short.
func TestAllowanceDatagramsKeepTheirContent(t *testing.T) {
	r := allowance.Report{
		Incarnation: 7, InformedFor: 3 * time.Second, WantsReply: true,
		Entries: []allowance.Entry{{ID: 1 << 60, PerSecond: 0.25, Burst: 4, Generation: 9, Count: 1 << 31, Level: -2.5, Demand: 8, Steady: 16}},
	}
	encoded := encodeAllowanceReport(r)[1:]
	decoded, err := decodeAllowanceReport(encoded)
	qt.Assert(t, err, qt.IsNil)
	qt.Check(t, decoded, qt.DeepEquals, r)
	_, err = decodeAllowanceReport(encoded[:len(encoded)-1])
	qt.Check(t, err, qt.IsNotNil)

	q := allowance.Question{Number: 3, ID: 4, PerSecond: 5, Burst: 6, Wanted: 7}
	decodedQuestion, err := decodeAllowanceQuestion(encodeAllowanceQuestion(q)[1:])
	qt.Assert(t, err, qt.IsNil)
	qt.Check(t, decodedQuestion, qt.Equals, q)
	q.PerSecond = -1
	_, err = decodeAllowanceQuestion(encodeAllowanceQuestion(q)[1:])
	qt.Check(t, err, qt.IsNotNil)

	a := allowance.Answer{Number: 3, ID: 4, IsInformed: true, Granted: 2, RetryAfter: time.Second}
	decodedAnswer, err := decodeAllowanceAnswer(encodeAllowanceAnswer(a)[1:])
	qt.Assert(t, err, qt.IsNil)
	qt.Check(t, decodedAnswer, qt.Equals, a)
}
