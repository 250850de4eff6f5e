package once

import (
	"time"

	"github.com/primroseladder/primroseladder/internal/outcome"
)

// Scope selects the VMs that are ranked to find the home of a key.
type Scope uint8

// The scopes.
const (
	// ScopeRegion ranks the entry VMs of one region, for callers that number their sends.
	ScopeRegion Scope = iota + 1
	// ScopeFleet ranks all entry VMs, for callers that do not number their sends.
	ScopeFleet
)

// Key is an idempotency key with the scope, service and organisation for which it is valid.
type Key struct {
	Scope        Scope
	Service      string
	Organisation string
	Key          string
}

// rankKey returns the string by which VMs are ranked for the key. Header values contain no zero byte, so keys have the same
// rank key only if both organisation and key are equal.
func (k Key) rankKey() string { return k.Organisation + "\x00" + k.Key }

// Verdict is the result of a claim or lookup.
type Verdict uint8

// The verdicts. Their numbers are those of ClaimVerdict in the protocol, except for VerdictSealed, which is not sent.
const (
	// VerdictGranted allows one dispatch.
	VerdictGranted Verdict = iota + 1
	// VerdictPending means that another send was granted and has not ended.
	VerdictPending
	// VerdictRemembered means that an earlier send was run. It comes with the recorded answer.
	VerdictRemembered
	// VerdictNoMemory means that the VM has no record and cannot exclude that the key was run.
	VerdictNoMemory
	// VerdictMismatch means that the key was used for another request.
	VerdictMismatch
	// VerdictUnknown means that a granted send ended with an unknown outcome, or that its result is overdue.
	VerdictUnknown
	// VerdictNotRun means that no send of the key so far was run.
	VerdictNotRun
	// VerdictSealed means that the VM is stopping, hands its records over and grants nothing any more.
	VerdictSealed
)

// Answer is the recorded answer of a backend server.
type Answer struct {
	Status int
	Header map[string][]string
	Body   []byte
	// BodyKept is false if the body was not kept, because it or the bodies of the shard were too large.
	BodyKept bool
}

// Send is one transmission by a caller of a request with an idempotency key.
type Send struct {
	Key Key
	// Number counts the sends of the key from 1. It is 0 if the caller does not number its sends.
	Number uint32
	// NotRunThrough is the highest send number that the caller knows was answered not-run.
	NotRunThrough uint32
	// BodyDigest detects the use of a key for another request.
	BodyDigest uint64
	// ClaimID identifies this claim. It differs between two deliveries of the same send.
	ClaimID string
	// Copy requests a second record of a claim about which another VM decides.
	Copy bool
	// Timeout is how long the request may take to run.
	Timeout time.Duration
}

// IsFirst reports whether the caller states that no earlier send was run. It is false for unnumbered sends.
func (s Send) IsFirst() bool { return s.Number > 0 && s.Number == s.NotRunThrough+1 }

// IsResend reports whether an earlier send may have run, by the caller's numbers. It is false for unnumbered sends.
func (s Send) IsResend() bool { return s.Number > 0 && !s.IsFirst() }

// canFollow reports whether the send can be granted after the known one, which must have been answered not-run. A numbered
// send must also be a first send with a higher number.
func (s Send) canFollow(known *record) bool {
	if known.result != outcome.NotRun {
		return false
	}
	return s.Number == 0 || (s.IsFirst() && s.NotRunThrough >= known.number)
}
