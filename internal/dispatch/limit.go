package dispatch

import (
	"math"
	"time"
)

const (
	// homeRegionPart is the part of a backend server's limit that is for the VMs of its own region, if there are others. The
	// rest is divided among the other regions. VMs hear of each other's requests only within their region, and a small part is
	// enough for another region to learn when the limit ends.
	homeRegionPart = 0.9
	// limitBurst is for how long unused requests of a limit accumulate. At least one request does.
	limitBurst = 250 * time.Millisecond
	// minLimit is the lowest limit that is applied, in requests a second. A backend server that gets no request at all could
	// not say that its limit has ended.
	minLimit = 0.05
)

// sharedLimit keeps the requests of all VMs of this region to a backend server within the region's part of its limit. Every VM
// counts the requests of the others when it hears of them, so that all see nearly the same count without a coordinator. Two
// VMs that send at the same moment overdraw it, which delays the next request. The zero value has no limit.
type sharedLimit struct {
	// perSecond is the region's part of the limit, 0 if the backend server names none.
	perSecond float64
	// available is the number of requests that may be sent at updatedAt. It is negative if too many were sent.
	available float64
	updatedAt time.Time
	// namedAt is when the backend server was last heard to name a limit.
	namedAt time.Time
}

// name applies a limit and reports whether it differs from the one before.
func (l *sharedLimit) name(perSecond float64, now time.Time) (isChanged bool) {
	perSecond = max(perSecond, minLimit)
	l.update(now)
	isChanged = l.perSecond != perSecond
	l.perSecond, l.namedAt = perSecond, now
	return isChanged
}

// lift ends the limit.
func (l *sharedLimit) lift() { *l = sharedLimit{} }

func (l *sharedLimit) isNamed() bool { return l.perSecond > 0 }

// update adds the requests that have become available.
func (l *sharedLimit) update(now time.Time) {
	if elapsed := now.Sub(l.updatedAt); !l.updatedAt.IsZero() && elapsed > 0 {
		l.available = min(l.available+elapsed.Seconds()*l.perSecond, max(1, limitBurst.Seconds()*l.perSecond))
	}
	l.updatedAt = now
}

// count counts a request of this VM or of another one.
func (l *sharedLimit) count(now time.Time) {
	if l.isNamed() {
		l.update(now)
		l.available--
	}
}

// wait returns how long it takes until a request may be sent.
func (l *sharedLimit) wait(now time.Time) time.Duration {
	if !l.isNamed() {
		return 0
	}
	l.update(now)
	if l.available >= 1 {
		return 0
	}
	return time.Duration(math.Ceil((1 - l.available) / l.perSecond * float64(time.Second)))
}

// regionPart returns the part of a backend server's limit that is for this region.
func (s *service) regionPart(zone string) float64 {
	regions := map[string]bool{}
	for _, region := range s.options.Regions {
		regions[region] = true
	}
	others := len(regions) - 1
	switch {
	case others < 1:
		return 1
	case s.options.Regions[zone] == s.options.Region:
		return homeRegionPart
	default:
		return (1 - homeRegionPart) / float64(others)
	}
}
