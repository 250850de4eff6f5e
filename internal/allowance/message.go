package allowance

import (
	"hash/fnv"
	"time"
)

// ID identifies an organisation in messages between VMs.
type ID uint64

// IDOf returns the ID of the organisation with a name.
func IDOf(name string) ID {
	h := fnv.New64a()
	_, _ = h.Write([]byte(name))
	return ID(h.Sum64())
}

// Report tells another counter what its sender accepted.
type Report struct {
	// Incarnation differs for each start of the sender.
	Incarnation uint64
	// InformedFor is for how long the sender has known the requests of the whole fleet, 0 if it does not.
	InformedFor time.Duration
	// IsLeaving is set if the sender accepts no further requests by itself.
	IsLeaving bool
	// WantsReply is set if the sender must hear of its receivers before it accepts many more requests.
	WantsReply bool
	// IsComplete is set if this and the reports just before it hold all that the sender knows.
	IsComplete bool
	// Entries may be a part of what the sender knows. Those that are missing have not changed by much.
	Entries []Entry
}

// Entry is what a counter tells of one organisation.
type Entry struct {
	ID ID
	// PerSecond and Burst are the allowance of the organisation in the sender's configuration.
	PerSecond, Burst float32
	// Generation tells apart counts that started anew.
	Generation uint16
	// Count is the number of requests that the sender has accepted. It decreases when requests are given back.
	Count uint32
	// Level is what is left of the allowance of the whole fleet, as far as the sender knows.
	Level float32
	// Demand is the number of requests a second that the sender is asked for, whether or not it accepts them.
	Demand float32
	// Steady is the demand that has lasted for some time.
	Steady float32
}

// Question asks a counter for requests of an organisation.
type Question struct {
	// Number is returned with the answer.
	Number           uint32
	ID               ID
	PerSecond, Burst float32
	Wanted           uint16
}

// Answer answers a Question.
type Answer struct {
	Number uint32
	ID     ID
	// IsInformed is unset if the VM that was asked cannot tell.
	IsInformed bool
	// Granted is the number of requests that may be accepted within leaseTime of the question.
	Granted uint16
	// RetryAfter is when the next request can be granted.
	RetryAfter time.Duration
}
