package once

import (
	"time"

	"github.com/primroseladder/primroseladder/internal/outcome"
)

// Scope tells which VMs are ranked to find the home of a key.
type Scope uint8

// The scopes.
const (
	// ScopeRegion ranks the entry VMs of one region, for callers that number their sends.
	ScopeRegion Scope = iota + 1
	// ScopeFleet ranks all entry VMs, for callers that do not.
	ScopeFleet
)

// Key names one piece of work.
type Key struct {
	Scope        Scope
	Service      string
	Organisation string
	Key          string
}

// rankKey is what the VMs are ranked by. A header value holds no zero byte, so two keys never share a rank key unless
// organisation and key are the same.
func (k Key) rankKey() string { return k.Organisation + "\x00" + k.Key }

// Verdict is what the home says about a send.
type Verdict uint8

// The verdicts. The numbers are those of the protocol.
const (
	// VerdictGranted allows one dispatch.
	VerdictGranted Verdict = iota + 1
	// VerdictPending means that a granted send has not ended.
	VerdictPending
	// VerdictRemembered comes with the answer.
	VerdictRemembered
	// VerdictNoMemory means that the home cannot tell whether the key was run.
	VerdictNoMemory
	// VerdictMismatch means that the key was used for another request.
	VerdictMismatch
	// VerdictUnknown means that a granted send ended with an unknown outcome.
	VerdictUnknown
	// VerdictNotRun means that no send of the key so far was run.
	VerdictNotRun
	// VerdictSealed means that the memory was handed over and grants nothing any more.
	VerdictSealed
)

// Answer is a remembered answer.
type Answer struct {
	Status int
	Header map[string][]string
	Body   []byte
	// BodyKept is false where the body was too long to keep.
	BodyKept bool
}

// Send is one send of a key.
type Send struct {
	Key Key
	// Number is 0 where the caller does not number its sends.
	Number        uint32
	NotRunThrough uint32
	BodyDigest    uint64
	// ClaimID names this claim. It differs between two deliveries of the same send.
	ClaimID string
	// Copy asks for a second record of a claim that another VM decides.
	Copy bool
	// Timeout is how long the work may take.
	Timeout time.Duration
}

// IsFirst reports whether the caller states that no earlier send can have run.
func (s Send) IsFirst() bool { return s.Number > 0 && s.Number == s.NotRunThrough+1 }

// IsResend reports whether an earlier numbered send may have run.
func (s Send) IsResend() bool { return s.Number > 0 && !s.IsFirst() }

// canFollow reports whether the send is a new first send after the known one was answered not-run.
func (s Send) canFollow(known *record) bool {
	if known.result != outcome.NotRun {
		return false
	}
	return s.Number == 0 || (s.IsFirst() && s.NotRunThrough >= known.number)
}
