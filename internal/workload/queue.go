package workload

import (
	"slices"
	"time"
)

// RequestKey identifies a request that is open at a backend server.
type RequestKey struct {
	// Peer is the VM that has sent the request, empty for this one.
	Peer string
	// Number is unique among the requests that the VM has open at the backend server.
	Number uint16
}

// openRequest is a request that is open at a backend server.
type openRequest struct {
	key   RequestKey
	class Class
	// sent is when it was sent, or when this VM heard of it.
	sent time.Time
	// began is when it got a slot, zero while it waits for one.
	began time.Time
	// heard is when its VM last sent evidence on the backend server.
	heard time.Time
}

// Queue holds the requests of all VMs of the region that are open at a backend server, as far as this VM knows: those in its slots
// and those that wait for one, in the order in which they were sent. The zero value is an idle backend server.
type Queue struct {
	open []openRequest
	own  int
}

// Add adds a request that has just been sent to a backend server with the given number of slots.
func (q *Queue) Add(key RequestKey, c Class, slots int, now time.Time) {
	added := openRequest{key: key, class: c, sent: now, heard: now}
	if len(q.open) < slots {
		added.began = now
	}
	q.open = append(q.open, added)
	if key.Peer == "" {
		q.own++
	}
}

// Remove removes a request that has ended. It returns how long it has waited for a slot, 0 if it is not known.
func (q *Queue) Remove(key RequestKey, slots int, now time.Time) (waited time.Duration) {
	i := slices.IndexFunc(q.open, func(r openRequest) bool { return r.key == key })
	if i < 0 {
		return 0
	}
	if ended := q.open[i]; !ended.began.IsZero() {
		waited = ended.began.Sub(ended.sent)
	}
	q.removeAt(i, slots, now)
	return waited
}

// removeAt removes a request and gives its slot to the first one that waits.
func (q *Queue) removeAt(i, slots int, now time.Time) {
	if q.open[i].key.Peer == "" {
		q.own--
	}
	q.open = slices.Delete(q.open, i, i+1)
	for i := range q.open[:min(slots, len(q.open))] {
		if q.open[i].began.IsZero() {
			q.open[i].began = now
		}
	}
}

// Reconcile makes the number of a peer's open requests equal to the one that the peer has sent. They differ after lost
// datagrams, and if the peer sends no more than the number.
func (q *Queue) Reconcile(peer string, open, slots int, now time.Time) {
	known := 0
	for i := range q.open {
		if q.open[i].key.Peer == peer {
			q.open[i].heard = now
			known++
		}
	}
	for ; known > open; known-- {
		q.removeAt(slices.IndexFunc(q.open, func(r openRequest) bool { return r.key.Peer == peer }), slots, now)
	}
	for ; known < open; known++ {
		q.Add(RequestKey{Peer: peer}, 0, slots, now)
	}
}

// Expire removes the requests of peers that have sent no evidence on the backend server for a lifetime.
func (q *Queue) Expire(lifetime time.Duration, slots int, now time.Time) {
	for i := len(q.open) - 1; i >= 0; i-- {
		if r := &q.open[i]; r.key.Peer != "" && now.Sub(r.heard) >= lifetime {
			q.removeAt(i, slots, now)
		}
	}
}

// Len returns the number of open requests of all VMs.
func (q *Queue) Len() int { return len(q.open) }

// Own returns the number of open requests of this VM.
func (q *Queue) Own() int { return q.own }

// EachOwn calls a function with the class of each request of this VM that has a slot, and the time since it got it.
func (q *Queue) EachOwn(now time.Time, f func(c Class, age time.Duration)) {
	if q.own == 0 {
		return
	}
	for i := range q.open {
		if r := &q.open[i]; r.key.Peer == "" && !r.began.IsZero() {
			f(r.class, now.Sub(r.began))
		}
	}
}

// ExpectedWait returns how long another request is expected to wait for a slot on a backend server that takes factor times as
// long as usual. unseen is the number of further requests that are open there.
func (q *Queue) ExpectedWait(m *Model, factor float64, slots, unseen int, now time.Time) time.Duration {
	slots = max(1, slots)
	var queued time.Duration
	// endRate is the number of requests in slots that end per second.
	endRate, busy := 0.0, 0
	add := func(left time.Duration) {
		left = max(left, time.Millisecond)
		if busy < slots {
			busy++
			endRate += 1 / left.Seconds()
			return
		}
		queued += left
	}
	for i := range q.open {
		r, age := &q.open[i], time.Duration(0)
		if !r.began.IsZero() {
			age = now.Sub(r.began)
		}
		add(m.Of(r.class).Durations.Remaining(age, factor))
	}
	for range unseen {
		add(m.all.Durations.Remaining(0, factor))
	}
	if busy < slots {
		return 0
	}
	return time.Duration(float64(time.Second)/endRate) + queued/time.Duration(slots)
}
