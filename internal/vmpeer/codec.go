// Package vmpeer carries datagrams between VMs: heartbeats and reports of silent VMs inside a zone, evidence on backend
// servers inside a region, turns of backend servers between regions, and notes of requests that break backend servers. Each
// datagram stands alone and a later one repeats or replaces it, so a lost one costs accuracy only; datagrams that cannot be
// understood are logged and dropped.
package vmpeer

import (
	"encoding/binary"
	"encoding/json"
	"errors"
	"fmt"
	"time"

	"github.com/primroseladder/primroseladder/internal/dispatch"
	"github.com/primroseladder/primroseladder/internal/evidence"
	"github.com/primroseladder/primroseladder/internal/membership"
	"github.com/primroseladder/primroseladder/internal/poison"
)

// kind is the first byte of a datagram.
type kind byte

const (
	kindHeartbeat kind = 1
	kindEvidence  kind = 2
	kindCrash     kind = 3
	kindTurn      kind = 4
	kindSilent    kind = 5
)

// noOutcome stands in a datagram for the start of a request, and trialFlag marks the outcome of a trial.
const (
	noOutcome = 0xff
	trialFlag = 0x80
)

var errShort = errors.New("the datagram ends early")

// crash is a note of a request that broke the connection of a backend server.
type crash struct {
	fingerprint poison.Fingerprint
	server      string
}

func encodeHeartbeat(m membership.Member) ([]byte, error) {
	body, err := json.Marshal(m)
	return append([]byte{byte(kindHeartbeat)}, body...), err
}

func decodeHeartbeat(body []byte) (membership.Member, error) {
	var m membership.Member
	err := json.Unmarshal(body, &m)
	if err == nil && m.Name == "" {
		err = errors.New("the heartbeat names no VM")
	}
	return m, err
}

// encodeSilent writes a monitor's report that a VM has fallen silent.
func encodeSilent(vm string) []byte { return append([]byte{byte(kindSilent)}, vm...) }

// encodeTurn writes evidence for other regions.
func encodeTurn(e dispatch.Evidence) []byte {
	out := encodeEvidence(e)
	out[0] = byte(kindTurn)
	return out
}

// encodeEvidence writes the count of open requests, the outcome, the duration in milliseconds and two names.
func encodeEvidence(e dispatch.Evidence) []byte {
	out := []byte{byte(kindEvidence), byte(min(e.Open, 255)), noOutcome}
	if e.HasOutcome {
		out[2] = byte(e.Outcome)
	}
	if e.IsTrial {
		out[2] |= trialFlag
	}
	out = binary.BigEndian.AppendUint32(out, uint32(e.Took.Milliseconds()))
	out = appendName(out, e.Service)
	return appendName(out, e.Server)
}

func decodeEvidence(body []byte) (dispatch.Evidence, error) {
	if len(body) < 6 {
		return dispatch.Evidence{}, errShort
	}
	e := dispatch.Evidence{Open: int(body[0])}
	if body[1]|trialFlag != noOutcome {
		e.HasOutcome, e.Outcome, e.IsTrial = true, evidence.Outcome(body[1]&^trialFlag), body[1]&trialFlag != 0
		if e.Outcome >= evidence.NumOutcomes {
			return e, fmt.Errorf("outcome %d does not exist", body[1])
		}
	}
	e.Took = time.Duration(binary.BigEndian.Uint32(body[2:])) * time.Millisecond
	var err error
	rest := body[6:]
	if e.Service, rest, err = takeName(rest); err != nil {
		return e, err
	}
	e.Server, _, err = takeName(rest)
	return e, err
}

func encodeCrash(c crash) []byte {
	out := binary.BigEndian.AppendUint64([]byte{byte(kindCrash)}, uint64(c.fingerprint))
	return appendName(out, c.server)
}

func decodeCrash(body []byte) (crash, error) {
	if len(body) < 8 {
		return crash{}, errShort
	}
	server, _, err := takeName(body[8:])
	return crash{fingerprint: poison.Fingerprint(binary.BigEndian.Uint64(body)), server: server}, err
}

func appendName(out []byte, name string) []byte {
	name = name[:min(len(name), 255)]
	return append(append(out, byte(len(name))), name...)
}

func takeName(in []byte) (string, []byte, error) {
	if len(in) < 1 || len(in) < 1+int(in[0]) {
		return "", nil, errShort
	}
	end := 1 + int(in[0])
	return string(in[1:end]), in[end:], nil
}
