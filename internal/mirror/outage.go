package mirror

import "time"

const (
	// minOutage is the length from which an outage can have made the store drop keys of live owners. Backend servers write
	// every 1.5 s, and the store drops their keys after three such intervals of silence, so after at least 3 s of an outage.
	// The last failed call may have ended retryMax before the end of the outage.
	minOutage = 3*time.Second - retryMax
	// deletionGrace is how long after an outage deletions remain tentative. Live owners write their keys again within about
	// 2 s of the store's return; a failed call may be repeated up to retryMax after that.
	deletionGrace = 2700 * time.Millisecond
)

// outage is the last time in which the store could not be read, by this VM or by another one that confirms its copy. A failure
// of this VM alone is none: other VMs go on reading, and keys that they see deleted are gone.
type outage struct {
	// isFailing is set from a failed call of this VM until the next successful one.
	isFailing bool
	// endedAt is when an outage of at least minOutage was last noticed.
	endedAt time.Time
	// silenceEndedAt is when the copy was last confirmed after it had not been for minOutage, by this VM or by another one.
	silenceEndedAt time.Time
}

// recordConfirmation records that the copy is known to have been complete at the time at, and before that at the time confirmed.
func (o *outage) recordConfirmation(confirmed, at, now time.Time) {
	if !confirmed.IsZero() && at.Sub(confirmed) >= minOutage {
		o.silenceEndedAt = now
	}
}

// doubtFor returns for how much longer this VM has a reason of its own to doubt deletions that another one holds for tentative.
// confirmed is when the copy was last known to be complete.
func (o *outage) doubtFor(confirmed, now time.Time) time.Duration {
	if now.Sub(confirmed) >= minOutage {
		return deletionGrace
	}
	until := o.silenceEndedAt.Add(deletionGrace)
	if own := o.tentativeUntil(); own.After(until) {
		until = own
	}
	return max(0, until.Sub(now))
}

// recordFailure records a failed call. confirmed is when the copy was last known to be complete.
func (o *outage) recordFailure(confirmed, now time.Time) {
	o.isFailing = true
	if now.Sub(confirmed) >= minOutage {
		o.endedAt = now
	}
}

// recordEnd records that a call has succeeded, before the copy is confirmed by it.
func (o *outage) recordEnd(confirmed, now time.Time) {
	if o.isFailing && now.Sub(confirmed) >= minOutage {
		o.endedAt = now
	}
	o.isFailing = false
}

// tentativeUntil returns the time until which deletions are tentative. Every deletion becomes certain at this time, however
// late it was read: a key that is still missing then belongs to an owner that is gone.
func (o *outage) tentativeUntil() time.Time {
	if o.endedAt.IsZero() {
		return time.Time{}
	}
	return o.endedAt.Add(deletionGrace)
}
