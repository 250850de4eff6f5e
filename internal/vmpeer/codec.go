// Package vmpeer implements the communication between VMs: datagrams, and the transfer of store changes over HTTP.
//
// Within a zone the VMs send each other heartbeats, reports of silent VMs and requests for a heartbeat, and store readers
// also send heartbeats to the relays of other zones. Evidence on backend servers stays within a region; other regions get only the health
// transitions of backend servers. Crash reports, about requests that broke the connections of backend servers, go to all VMs.
// Each VM regularly asks another one for the requests that it blocks and for the backend servers
// that have said that they are leaving. Datagrams are independent of each other and a later one repeats or replaces an earlier one, so the loss of one reduces
// accuracy only. Datagrams that cannot be decoded are logged and dropped.
package vmpeer

import (
	"encoding/binary"
	"encoding/json"
	"errors"
	"fmt"
	"math"
	"time"

	"github.com/primroseladder/primroseladder/internal/dispatch"
	"github.com/primroseladder/primroseladder/internal/evidence"
	"github.com/primroseladder/primroseladder/internal/membership"
	"github.com/primroseladder/primroseladder/internal/poison"
	"github.com/primroseladder/primroseladder/internal/workload"
)

// datagramKind is the type of a datagram, sent as its first byte.
type datagramKind byte

const (
	kindHeartbeat        datagramKind = 1
	kindEvidence         datagramKind = 2
	kindCrash            datagramKind = 3
	kindHealthTransition datagramKind = 4
	kindSilenceReport    datagramKind = 5
	kindProbe            datagramKind = 6
	kindHealthQuestion   datagramKind = 7
	kindHealthAnswer     datagramKind = 8
	kindNewsQuestion     datagramKind = 9
	kindBlockAnswer      datagramKind = 10
	kindProofQuestion    datagramKind = 11
	kindProofAnswer      datagramKind = 12
)

const (
	// noOutcome is sent in place of an outcome when a request starts, releasedOutcome when it ends without one.
	noOutcome       = 0xff
	releasedOutcome = noOutcome &^ trialBit
	// trialBit is set in the outcome of a trial.
	trialBit = 0x80
)

func encodeHeartbeat(m membership.Member) ([]byte, error) {
	body, err := json.Marshal(m)
	return append([]byte{byte(kindHeartbeat)}, body...), err
}

func decodeHeartbeat(body []byte) (membership.Member, error) {
	var m membership.Member
	err := json.Unmarshal(body, &m)
	if err == nil && m.Name == "" {
		err = errors.New("decode heartbeat: the VM name is missing")
	}
	return m, err
}

// encodeSilenceReport encodes a monitor's report that a VM has become silent.
func encodeSilenceReport(vm string) []byte { return append([]byte{byte(kindSilenceReport)}, vm...) }

// encodeProbe encodes a request for a heartbeat. vm is the name of the VM that sends it.
func encodeProbe(vm string) []byte { return append([]byte{byte(kindProbe)}, vm...) }

// encodeHealthTransition encodes the evidence of a health transition, which is sent to other regions. The layout is that
// of encodeEvidence.
func encodeHealthTransition(e dispatch.Evidence) []byte {
	out := encodeEvidence(e)
	out[0] = byte(kindHealthTransition)
	return out
}

// encodeEvidence encodes, after the kind, the number of open requests (1 byte, at most 255), the outcome (1 byte), the
// duration in milliseconds (4 bytes, big endian), and the names of the service and the backend server. What the backend server
// says about itself follows if it says anything, and then which request it is: see appendStatement and appendWork.
func encodeEvidence(e dispatch.Evidence) []byte {
	out := []byte{byte(kindEvidence), byte(min(e.Open, 255)), releasedOutcome}
	switch {
	case e.IsStart:
		out[2] = noOutcome
	case e.HasOutcome:
		out[2] = byte(e.Outcome)
	}
	if e.IsTrial {
		out[2] |= trialBit
	}
	out = binary.BigEndian.AppendUint32(out, uint32(e.Took.Milliseconds()))
	out = appendName(out, e.Service)
	out = appendName(out, e.Server)
	if e.IsRetry {
		// VMs of an earlier version take it for a statement that says nothing.
		return binary.BigEndian.AppendUint64(append(out, retryBit), 0)
	}
	return appendWork(appendStatement(out, e.Statement), len(out), e.Work)
}

func decodeEvidence(body []byte) (dispatch.Evidence, error) {
	if len(body) < 6 {
		return dispatch.Evidence{}, fmt.Errorf("decode evidence: body of %d bytes is shorter than the minimum of 6", len(body))
	}
	e := dispatch.Evidence{Open: int(body[0]), IsStart: body[1] == noOutcome}
	if body[1]|trialBit != noOutcome {
		e.HasOutcome, e.Outcome, e.IsTrial = true, evidence.Outcome(body[1]&^trialBit), body[1]&trialBit != 0
		if e.Outcome >= evidence.NumOutcomes {
			return e, fmt.Errorf("decode evidence: unknown outcome %d", body[1])
		}
	}
	e.Took = time.Duration(binary.BigEndian.Uint32(body[2:])) * time.Millisecond
	var err error
	rest := body[6:]
	if e.Service, rest, err = decodeName(rest); err != nil {
		return e, err
	}
	if e.Server, rest, err = decodeName(rest); err != nil {
		return e, err
	}
	e.IsRetry = len(rest) > 0 && rest[0]&retryBit != 0
	if e.Statement, err = decodeStatement(rest); err != nil {
		return e, err
	}
	e.Work, err = decodeWork(rest)
	return e, err
}

// Flags in the first byte of a statement.
const (
	leavingBit = 0x01
	// limitBit is set if the limit follows the incarnation (8 bytes, IEEE 754, big endian).
	limitBit   = 0x02
	noLimitBit = 0x04
	// workBit is set if workBytes that say which request the evidence is of follow.
	workBit = 0x08
	// retryBit is set if the datagram tells of a retry of the service, not of a backend server.
	retryBit = 0x10
)

// workBytes is the size of the work in evidence. It is that of the incarnation in a statement, for which VMs of earlier versions
// take it in evidence without a statement.
const workBytes = 8

// appendWork appends the class (4 bytes, big endian), the number of the request (2 bytes, big endian) and 2 bytes of zeros, and
// sets workBit in the flags at the given offset. Evidence without a statement gets flags for it.
func appendWork(out []byte, flags int, w dispatch.Work) []byte {
	if w == (dispatch.Work{}) {
		return out
	}
	if len(out) == flags {
		out = append(out, 0)
	}
	out[flags] |= workBit
	out = binary.BigEndian.AppendUint32(out, uint32(w.Class))
	out = binary.BigEndian.AppendUint16(out, w.Number)
	return append(out, 0, 0)
}

// decodeWork decodes the work after the statement that begins with flags.
func decodeWork(in []byte) (dispatch.Work, error) {
	if len(in) == 0 || in[0]&workBit == 0 {
		return dispatch.Work{}, nil
	}
	work := in[statementSize(in[0]):]
	if len(work) < workBytes {
		return dispatch.Work{}, fmt.Errorf("decode work: %d bytes are fewer than the minimum of %d", len(work), workBytes)
	}
	return dispatch.Work{Class: workload.Class(binary.BigEndian.Uint32(work)), Number: binary.BigEndian.Uint16(work[4:])}, nil
}

// appendStatement appends a statement as one byte of flags, the incarnation of the backend server (8 bytes, big endian) and
// its limit, if it names one. It appends nothing if the backend server says nothing about itself.
func appendStatement(out []byte, s dispatch.Statement) []byte {
	var flags byte
	if s.IsLeaving {
		flags |= leavingBit
	}
	if s.Limit > 0 {
		flags |= limitBit
	}
	if s.HasNoLimit {
		flags |= noLimitBit
	}
	if flags == 0 {
		return out
	}
	out = binary.BigEndian.AppendUint64(append(out, flags), uint64(s.Incarnation))
	if s.Limit > 0 {
		out = binary.BigEndian.AppendUint64(out, math.Float64bits(s.Limit))
	}
	return out
}

// statementSize returns the encoded size of a statement with the given flags.
func statementSize(flags byte) int {
	switch {
	case flags&^workBit == 0:
		return 1
	case flags&limitBit != 0:
		return 17
	}
	return 9
}

func decodeStatement(in []byte) (dispatch.Statement, error) {
	if len(in) == 0 || in[0]&^workBit == 0 {
		return dispatch.Statement{}, nil
	}
	size := statementSize(in[0])
	if len(in) < size {
		return dispatch.Statement{}, fmt.Errorf("decode statement: %d bytes are fewer than the minimum of %d", len(in), size)
	}
	out := dispatch.Statement{
		IsLeaving: in[0]&leavingBit != 0, HasNoLimit: in[0]&noLimitBit != 0, Incarnation: int64(binary.BigEndian.Uint64(in[1:])),
	}
	if size > 9 {
		out.Limit = math.Float64frombits(binary.BigEndian.Uint64(in[9:]))
		if !(out.Limit > 0) || math.IsInf(out.Limit, 0) {
			return dispatch.Statement{}, fmt.Errorf("decode statement: limit %v is not a positive number", out.Limit)
		}
	}
	return out, nil
}

// encodeHealthQuestion encodes a question which backend servers of a service are healthy.
func encodeHealthQuestion(service string) []byte {
	return appendName([]byte{byte(kindHealthQuestion)}, service)
}

// encodeHealthAnswer encodes, after the kind, the name of the service, and for each backend server its name, its unhealthy
// probability in 255ths (1 byte) and its number of open requests (1 byte, at most 255).
func encodeHealthAnswer(service string, servers []dispatch.ServerHealth) []byte {
	out := appendName([]byte{byte(kindHealthAnswer)}, service)
	for _, s := range servers {
		out = append(appendName(out, s.Server), byte(s.Unhealthy*math.MaxUint8), byte(min(s.Open, math.MaxUint8)))
	}
	return out
}

func decodeHealthAnswer(body []byte) (service string, servers []dispatch.ServerHealth, err error) {
	service, rest, err := decodeName(body)
	for err == nil && len(rest) > 0 {
		var h dispatch.ServerHealth
		if h.Server, rest, err = decodeName(rest); err != nil {
			break
		}
		if len(rest) < 2 {
			return service, nil, fmt.Errorf("decode health answer: probability or open requests of %q are missing", h.Server)
		}
		h.Unhealthy, h.Open, rest = float64(rest[0])/math.MaxUint8, int(rest[1]), rest[2:]
		servers = append(servers, h)
	}
	return service, servers, err
}

// encodeCrash encodes the fingerprint (8 bytes, big endian), the name of the backend server, and 1 if the crash is excused, else 0
// (1 byte).
func encodeCrash(c poison.Crash) []byte {
	out := binary.BigEndian.AppendUint64([]byte{byte(kindCrash)}, uint64(c.Fingerprint))
	var excused byte
	if c.IsExcused {
		excused = 1
	}
	return append(appendName(out, c.Server), excused)
}

// decodeCrash decodes a crash. Reports of earlier versions end after the name.
func decodeCrash(body []byte) (poison.Crash, error) {
	if len(body) < 8 {
		return poison.Crash{}, fmt.Errorf("decode crash report: body of %d bytes is shorter than the minimum of 8", len(body))
	}
	server, rest, err := decodeName(body[8:])
	return poison.Crash{
		Fingerprint: poison.Fingerprint(binary.BigEndian.Uint64(body)), Server: server, IsExcused: len(rest) > 0 && rest[0] != 0,
	}, err
}

// newsQuestion asks a VM for what the VM that asks may have missed. It holds the digests of what that one knows.
type newsQuestion struct {
	// blocks is the digest of the blocked requests, leaving that of the backend servers that have said that they are leaving.
	blocks, leaving uint64
}

func encodeNewsQuestion(q newsQuestion) []byte {
	out := binary.BigEndian.AppendUint64([]byte{byte(kindNewsQuestion)}, q.blocks)
	return binary.BigEndian.AppendUint64(out, q.leaving)
}

func decodeNewsQuestion(body []byte) (newsQuestion, error) {
	if len(body) < 16 {
		return newsQuestion{}, fmt.Errorf("decode news question: body of %d bytes is shorter than the minimum of 16", len(body))
	}
	return newsQuestion{blocks: binary.BigEndian.Uint64(body), leaving: binary.BigEndian.Uint64(body[8:])}, nil
}

const (
	// blockBytes is the encoded size of a block.
	blockBytes = 13
	// maxBlocksSent is the number of blocks that fit into a datagram.
	maxBlocksSent = 100
)

// encodeBlockAnswer encodes, for each block, the fingerprint (8 bytes) and the remaining time in milliseconds (4 bytes), both big
// endian, and 1 if the block has ended with an answer, else 0 (1 byte).
func encodeBlockAnswer(blocks []poison.Block) []byte {
	out := make([]byte, 1, 1+len(blocks)*blockBytes)
	out[0] = byte(kindBlockAnswer)
	for _, b := range blocks {
		out = binary.BigEndian.AppendUint64(out, uint64(b.Fingerprint))
		out = binary.BigEndian.AppendUint32(out, uint32(min(max(0, b.Remaining.Milliseconds()), math.MaxUint32)))
		var answered byte
		if b.IsAnswered {
			answered = 1
		}
		out = append(out, answered)
	}
	return out
}

func decodeBlockAnswer(body []byte) ([]poison.Block, error) {
	if len(body)%blockBytes != 0 {
		return nil, fmt.Errorf("decode block answer: body of %d bytes is no multiple of %d", len(body), blockBytes)
	}
	var out []poison.Block
	for ; len(body) > 0; body = body[blockBytes:] {
		out = append(out, poison.Block{
			Fingerprint: poison.Fingerprint(binary.BigEndian.Uint64(body)),
			Remaining:   time.Duration(binary.BigEndian.Uint32(body[8:])) * time.Millisecond,
			IsAnswered:  body[12] != 0,
		})
	}
	return out, nil
}

// appendName appends the length of a name, as one byte, and the name. A name of more than 255 bytes is truncated.
func appendName(out []byte, name string) []byte {
	name = name[:min(len(name), 255)]
	return append(append(out, byte(len(name))), name...)
}

// decodeName decodes a name and returns it with the rest of in.
func decodeName(in []byte) (string, []byte, error) {
	if len(in) < 1 || len(in) < 1+int(in[0]) {
		return "", nil, fmt.Errorf("decode name: the datagram is truncated, only %d bytes are left", len(in))
	}
	end := 1 + int(in[0])
	return string(in[1:end]), in[end:], nil
}
