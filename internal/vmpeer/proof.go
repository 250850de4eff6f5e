package vmpeer

import (
	"encoding/binary"
	"fmt"
	"math"
	"time"

	"github.com/primroseladder/primroseladder/internal/membership"
)

// Prover answers and asks questions for the proof that the configuration is the newest one: see package freshness.
type Prover interface {
	// KnownProof returns the version and the age of the latest proof of this VM, if there is one.
	KnownProof() (version uint64, age time.Duration, ok bool)
	// ReceiveProof is called with the answer to the question with the nonce.
	ReceiveProof(nonce, version uint64, age time.Duration)
}

// proofAnswer is the answer to the question with the same nonce.
type proofAnswer struct {
	nonce, version uint64
	age            time.Duration
}

func encodeProofQuestion(nonce uint64) []byte {
	return binary.BigEndian.AppendUint64([]byte{byte(kindProofQuestion)}, nonce)
}

func decodeProofQuestion(body []byte) (nonce uint64, err error) {
	if len(body) < 8 {
		return 0, fmt.Errorf("decode proof question: body of %d bytes is shorter than the minimum of 8", len(body))
	}
	return binary.BigEndian.Uint64(body), nil
}

// encodeProofAnswer encodes the nonce and the version (8 bytes each) and the age in milliseconds, rounded up (4 bytes), all big
// endian.
func encodeProofAnswer(a proofAnswer) []byte {
	out := binary.BigEndian.AppendUint64([]byte{byte(kindProofAnswer)}, a.nonce)
	out = binary.BigEndian.AppendUint64(out, a.version)
	ms := (max(0, a.age) + time.Millisecond - 1) / time.Millisecond
	return binary.BigEndian.AppendUint32(out, uint32(min(ms, math.MaxUint32)))
}

func decodeProofAnswer(body []byte) (proofAnswer, error) {
	if len(body) < 20 {
		return proofAnswer{}, fmt.Errorf("decode proof answer: body of %d bytes is shorter than the minimum of 20", len(body))
	}
	return proofAnswer{
		nonce: binary.BigEndian.Uint64(body), version: binary.BigEndian.Uint64(body[8:]),
		age: time.Duration(binary.BigEndian.Uint32(body[16:])) * time.Millisecond,
	}, nil
}

// AskProof sends the question with the nonce to another VM.
func (ep *Endpoint) AskProof(to membership.Member, nonce uint64) {
	ep.send(to.PeerAddress, encodeProofQuestion(nonce))
}

// answerProof answers a question. A VM without a proof does not answer, and the VM that asks turns to the next one.
func (ep *Endpoint) answerProof(address string, nonce uint64, p Prover) {
	if version, age, ok := p.KnownProof(); ok {
		ep.send(address, encodeProofAnswer(proofAnswer{nonce: nonce, version: version, age: age}))
	}
}
