// Package admission decides which requests wait for a slot, in which order, and which are refused early. Its types other
// than Gate are not safe for concurrent use: the caller guards them by the lock of the service.
package admission

import (
	"slices"
	"time"
)

// Waiter is a request that waits for a slot.
type Waiter struct {
	Organisation string
	Arrival      time.Time
	Deadline     time.Time
	// Exclude names the backend servers to which the request must not be sent.
	Exclude []string
	// IsUrgent is set for a request that already had a slot. It is served before the others of its organisation.
	IsUrgent bool
	// IsIdempotent is set for an idempotent request, which may be sent as a trial.
	IsIdempotent bool

	lane *lane
}

// IsLate reports whether too little time is left to serve the request. A request that has half or more of its time left is
// never late, so that a wrong estimate of the service time cannot make every request be refused.
func (w *Waiter) IsLate(now time.Time, serviceTime time.Duration) bool {
	left := w.Deadline.Sub(now)
	return left < serviceTime && left < w.Deadline.Sub(w.Arrival)/2
}

// Queue holds waiting requests. The organisations are served in turn, and the requests of one organisation by the earliest
// deadline.
type Queue[T any] struct {
	limit int
	lanes []*lane
	items map[*Waiter]T
	// nextLane is the index of the lane that is served next.
	nextLane int
}

// lane holds the waiting requests of one organisation in the order in which they are served. It is never empty.
type lane struct {
	organisation string
	waiters      []*Waiter
}

// NewQueue returns a queue for at most limit requests.
func NewQueue[T any](limit int) *Queue[T] {
	return &Queue[T]{limit: limit, items: map[*Waiter]T{}}
}

// SetLimit changes the limit. It removes no waiting requests.
func (q *Queue[T]) SetLimit(limit int) { q.limit = limit }

// Len returns how many requests wait.
func (q *Queue[T]) Len() int { return len(q.items) }

// Ahead returns how many requests are expected to be served before a new one of the organisation, assuming that the other
// organisations with waiting requests keep sending more.
func (q *Queue[T]) Ahead(organisation string) int {
	l := q.lane(organisation)
	if l == nil {
		return len(q.lanes)
	}
	return len(l.waiters) * len(q.lanes)
}

// Push adds a request and returns the request that it evicted, or nil. If the organisation already has at least as many
// waiting requests as the queue's remaining capacity, the new request itself is evicted unless it is urgent, so that capacity
// is left for other organisations. If the queue exceeds its limit, the last request of the organisation with the most waiting
// requests is evicted.
func (q *Queue[T]) Push(w *Waiter, item T) (evicted *Waiter, evictedItem T) {
	l := q.lane(w.Organisation)
	if l != nil && !w.IsUrgent && len(l.waiters) >= q.limit-len(q.items) {
		return w, item
	}
	if l == nil {
		l = &lane{organisation: w.Organisation}
		q.lanes = append(q.lanes, l)
	}
	w.lane = l
	at, _ := slices.BinarySearchFunc(l.waiters, w, compareWaiters)
	l.waiters = slices.Insert(l.waiters, at, w)
	q.items[w] = item
	if len(q.items) <= q.limit {
		return nil, evictedItem
	}
	longest := slices.MaxFunc(q.lanes, func(a, b *lane) int { return len(a.waiters) - len(b.waiters) })
	evicted = longest.waiters[len(longest.waiters)-1]
	evictedItem = q.items[evicted]
	q.Remove(evicted)
	return evicted, evictedItem
}

// compareWaiters sorts urgent requests first, then by deadline.
func compareWaiters(a, b *Waiter) int {
	if a.IsUrgent != b.IsUrgent {
		if a.IsUrgent {
			return -1
		}
		return 1
	}
	if order := a.Deadline.Compare(b.Deadline); order != 0 {
		return order
	}
	// Requests with equal deadlines stay in the order of arrival.
	return -1
}

// Pop removes and returns the next request that the function accepts. It returns false if there is none.
func (q *Queue[T]) Pop(accepts func(*Waiter) bool) (*Waiter, T, bool) {
	for i := range q.lanes {
		l := q.lanes[(q.nextLane+i)%len(q.lanes)]
		at := slices.IndexFunc(l.waiters, accepts)
		if at < 0 {
			continue
		}
		q.nextLane = (q.nextLane + i + 1) % len(q.lanes)
		w := l.waiters[at]
		item := q.items[w]
		q.Remove(w)
		return w, item, true
	}
	var none T
	return nil, none, false
}

// Remove removes a request. It returns false if the request is not waiting any more.
func (q *Queue[T]) Remove(w *Waiter) bool {
	if _, waits := q.items[w]; !waits {
		return false
	}
	delete(q.items, w)
	l := w.lane
	l.waiters = slices.DeleteFunc(l.waiters, func(other *Waiter) bool { return other == w })
	if len(l.waiters) > 0 {
		return true
	}
	at := slices.Index(q.lanes, l)
	q.lanes = slices.Delete(q.lanes, at, at+1)
	if at < q.nextLane {
		q.nextLane--
	}
	return true
}

// lane returns the lane of the organisation, or nil.
func (q *Queue[T]) lane(organisation string) *lane {
	for _, l := range q.lanes {
		if l.organisation == organisation {
			return l
		}
	}
	return nil
}
