package vmpeer

import (
	"encoding/binary"
	"fmt"
	"math"
	"net"
	"time"

	"github.com/primroseladder/primroseladder/internal/allowance"
)

// The datagrams by which VMs keep organisations within their allowances.
const (
	kindAllowanceReport   datagramKind = 21
	kindAllowanceQuestion datagramKind = 22
	kindAllowanceAnswer   datagramKind = 23
)

// Allowances processes the datagrams on the allowances of organisations.
type Allowances interface {
	ReceiveReport(from string, r allowance.Report)
	ReceiveQuestion(from string, q allowance.Question)
	ReceiveAnswer(from string, a allowance.Answer)
}

// SetAllowances sets the receiver of datagrams on allowances. It must be called before datagrams are received.
func (ep *Endpoint) SetAllowances(to Allowances) { ep.allowances = to }

// handleAllowance decodes a datagram on allowances and passes it on. isHandled is unset if it is of another kind.
func (ep *Endpoint) handleAllowance(datagram []byte, from *net.UDPAddr) (isHandled bool, err error) {
	body, to := datagram[1:], ep.allowances
	if to == nil {
		return false, nil
	}
	switch datagramKind(datagram[0]) {
	case kindAllowanceReport:
		r, err := decodeAllowanceReport(body)
		if err == nil {
			to.ReceiveReport(from.String(), r)
		}
		return true, err
	case kindAllowanceQuestion:
		q, err := decodeAllowanceQuestion(body)
		if err == nil {
			to.ReceiveQuestion(from.String(), q)
		}
		return true, err
	case kindAllowanceAnswer:
		a, err := decodeAllowanceAnswer(body)
		if err == nil {
			to.ReceiveAnswer(from.String(), a)
		}
		return true, err
	}
	return false, nil
}

// SendAllowanceReport sends a report to the VMs with the given addresses.
func (ep *Endpoint) SendAllowanceReport(m allowance.Message) {
	datagram := encodeAllowanceReport(m.Report)
	for _, address := range m.To {
		ep.send(address, datagram)
	}
}

// SendAllowanceQuestion asks a VM for requests of an organisation.
func (ep *Endpoint) SendAllowanceQuestion(to string, q allowance.Question) {
	ep.send(to, encodeAllowanceQuestion(q))
}

// SendAllowanceAnswer answers a question.
func (ep *Endpoint) SendAllowanceAnswer(to string, a allowance.Answer) {
	ep.send(to, encodeAllowanceAnswer(a))
}

// Flags of a report.
const (
	reportLeaving byte = 1 << iota
	reportWantsReply
	reportComplete
)

const (
	reportHeaderBytes = 13
	entryBytes        = 34
	questionBytes     = 22
	answerBytes       = 19
)

// encodeAllowanceReport encodes, after the kind, the flags, the incarnation (8 bytes), the time for which the sender is informed in
// milliseconds (4 bytes), and the entries with 34 bytes each. All numbers are big endian, fractions as IEEE 754 with 4 bytes.
func encodeAllowanceReport(r allowance.Report) []byte {
	out := make([]byte, 0, 1+reportHeaderBytes+entryBytes*len(r.Entries))
	var flags byte
	for flag, isSet := range map[byte]bool{
		reportLeaving: r.IsLeaving, reportWantsReply: r.WantsReply, reportComplete: r.IsComplete,
	} {
		if isSet {
			flags |= flag
		}
	}
	out = append(out, byte(kindAllowanceReport), flags)
	out = binary.BigEndian.AppendUint64(out, r.Incarnation)
	out = binary.BigEndian.AppendUint32(out, milliseconds(r.InformedFor))
	for _, e := range r.Entries {
		out = binary.BigEndian.AppendUint64(out, uint64(e.ID))
		out = appendFloats(out, e.PerSecond, e.Burst)
		out = binary.BigEndian.AppendUint16(out, e.Generation)
		out = binary.BigEndian.AppendUint32(out, e.Count)
		out = appendFloats(out, e.Level, e.Demand, e.Steady)
	}
	return out
}

func decodeAllowanceReport(body []byte) (allowance.Report, error) {
	if len(body) < reportHeaderBytes || (len(body)-reportHeaderBytes)%entryBytes != 0 {
		return allowance.Report{}, fmt.Errorf("decode allowance report: a body of %d bytes has no whole number of entries", len(body))
	}
	r := allowance.Report{
		Incarnation: binary.BigEndian.Uint64(body[1:]), InformedFor: time.Duration(binary.BigEndian.Uint32(body[9:])) * time.Millisecond,
		IsLeaving: body[0]&reportLeaving != 0, WantsReply: body[0]&reportWantsReply != 0, IsComplete: body[0]&reportComplete != 0,
	}
	for body = body[reportHeaderBytes:]; len(body) > 0; body = body[entryBytes:] {
		e := allowance.Entry{
			ID: allowance.ID(binary.BigEndian.Uint64(body)), PerSecond: floatAt(body, 8), Burst: floatAt(body, 12),
			Generation: binary.BigEndian.Uint16(body[16:]), Count: binary.BigEndian.Uint32(body[18:]), Level: floatAt(body, 22),
			Demand: floatAt(body, 26), Steady: floatAt(body, 30),
		}
		if err := checkCounts(e.PerSecond, e.Burst, e.Demand, e.Steady); err != nil {
			return r, err
		}
		if !isFinite(e.Level) {
			return r, fmt.Errorf("decode allowance report: level %v is not a number", e.Level)
		}
		r.Entries = append(r.Entries, e)
	}
	return r, nil
}

// encodeAllowanceQuestion encodes, after the kind, the number (4 bytes), the organisation (8 bytes), its allowance and burst
// (4 bytes each), and the number of requests (2 bytes).
func encodeAllowanceQuestion(q allowance.Question) []byte {
	out := binary.BigEndian.AppendUint32([]byte{byte(kindAllowanceQuestion)}, q.Number)
	out = binary.BigEndian.AppendUint64(out, uint64(q.ID))
	out = appendFloats(out, q.PerSecond, q.Burst)
	return binary.BigEndian.AppendUint16(out, q.Wanted)
}

func decodeAllowanceQuestion(body []byte) (allowance.Question, error) {
	if len(body) != questionBytes {
		return allowance.Question{}, fmt.Errorf("decode allowance question: body of %d bytes instead of %d", len(body), questionBytes)
	}
	q := allowance.Question{
		Number: binary.BigEndian.Uint32(body), ID: allowance.ID(binary.BigEndian.Uint64(body[4:])), PerSecond: floatAt(body, 12),
		Burst: floatAt(body, 16), Wanted: binary.BigEndian.Uint16(body[20:]),
	}
	return q, checkCounts(q.PerSecond, q.Burst)
}

// encodeAllowanceAnswer encodes, after the kind, the number (4 bytes), the organisation (8 bytes), 1 if the VM is informed (1 byte),
// the number of granted requests (2 bytes) and the time after which to ask again in milliseconds (4 bytes).
func encodeAllowanceAnswer(a allowance.Answer) []byte {
	out := binary.BigEndian.AppendUint32([]byte{byte(kindAllowanceAnswer)}, a.Number)
	out = binary.BigEndian.AppendUint64(out, uint64(a.ID))
	var isInformed byte
	if a.IsInformed {
		isInformed = 1
	}
	out = binary.BigEndian.AppendUint16(append(out, isInformed), a.Granted)
	return binary.BigEndian.AppendUint32(out, milliseconds(a.RetryAfter))
}

func decodeAllowanceAnswer(body []byte) (allowance.Answer, error) {
	if len(body) != answerBytes {
		return allowance.Answer{}, fmt.Errorf("decode allowance answer: body of %d bytes instead of %d", len(body), answerBytes)
	}
	return allowance.Answer{
		Number: binary.BigEndian.Uint32(body), ID: allowance.ID(binary.BigEndian.Uint64(body[4:])), IsInformed: body[12] != 0,
		Granted:    binary.BigEndian.Uint16(body[13:]),
		RetryAfter: time.Duration(binary.BigEndian.Uint32(body[15:])) * time.Millisecond,
	}, nil
}

func appendFloats(out []byte, values ...float32) []byte {
	for _, v := range values {
		out = binary.BigEndian.AppendUint32(out, math.Float32bits(v))
	}
	return out
}

func floatAt(in []byte, offset int) float32 {
	return math.Float32frombits(binary.BigEndian.Uint32(in[offset:]))
}

func isFinite(v float32) bool { return !math.IsNaN(float64(v)) && !math.IsInf(float64(v), 0) }

func checkCounts(values ...float32) error {
	for _, v := range values {
		if !isFinite(v) || v < 0 {
			return fmt.Errorf("decode allowance: %v is no number of requests", v)
		}
	}
	return nil
}

func milliseconds(d time.Duration) uint32 {
	return uint32(min(max(0, d.Milliseconds()), math.MaxUint32))
}
