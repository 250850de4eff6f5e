package soak

import (
	"net/http"
	"time"

	"github.com/primroseladder/primroseladder/internal/route"
)

// checkArrival checks a request that reached a backend server while the soak runs.
func (b *backendServer) checkArrival(r *http.Request, id, body string) {
	l, now := b.ledger, time.Now()
	sent := l.request(id)
	if sent == nil {
		l.fault("UNASKED: request %q, which nobody sent, reached %s", id, b.ID)
		return
	}
	if r.Method != sent.method || r.URL.RequestURI() != sent.uri || r.Host != sent.host || body != sent.body {
		l.fault("UNASKED: request %s reached %s as %s %s%s with %d bytes", id, b.ID, r.Method, r.Host, r.URL.RequestURI(), len(body))
	}
	if !l.allowed(sent.host, r.URL.Path, time.Time{})[b.Service] {
		l.fault("ROUTE: request %s reached %s of %s, which no version allows", id, b.ID, b.Service)
	}
	isInTouch := sent.vm.inTouch(sent.sent, now)
	if isInTouch && !l.allowed(sent.host, r.URL.Path, sent.sent.Add(-configApply))[b.Service] {
		l.fault("CONFIG: request %s reached %s of %s, which only versions allow that were replaced %v before it was sent", id, b.ID, b.Service, configApply)
	}
	acked := b.drainAcked.Load()
	if isInTouch && acked != 0 && now.Sub(time.Unix(0, acked)) > drain {
		l.fault("DRAIN: request %s reached %s %v after the store had taken that it is draining", id, b.ID, now.Sub(time.Unix(0, acked)))
	}
}

// inTouch reports whether a VM had no disturbance, of its process, its links and its way to the store, from contact before
// a time to another.
func (v *vm) inTouch(from, to time.Time) bool {
	since := from.Add(-contact)
	return v.faults.isCalm(since, to, true) && v.storeFaults.isCalm(since, to, true)
}

// judge checks what shows only at the end.
func (w *world) judge() {
	l := w.ledger
	l.mu.Lock()
	requests, runs := l.requests, l.runs
	l.mu.Unlock()
	var tally tally
	for id, r := range requests {
		w.judgeRequest(r, runs[id], &tally)
	}
	tally.judge(l)
	w.judgeRetries(requests, runs)
	for _, v := range w.vms {
		if err := v.checkLog(l); err != nil {
			l.fault("FAULT: the log of %s: %v", v.Name, err)
		}
	}
	w.options.Logf("%d requests, %d of them served; %+v", len(requests), countServed(requests), tally)
}

// tally counts what breaks a promise only when it happens more than now and then.
type tally struct {
	// Cut are requests that were passed on and got no answer, though nothing but planned work went on.
	Cut int
	// Timed are requests that reached their limit at VMs in touch, Late those answered over half a second after it.
	Timed, Late int
	// Left are idempotent requests that callers gave up while a backend server worked on them, WorkedOn those at which
	// it still worked half a second later.
	Left, WorkedOn int
	// Denied are requests refused as improper.
	Denied int
	// TooOften are requests that ran on more backend servers than their route allows.
	TooOften int
}

const (
	// patience is the half second that the users allow for answers at a time limit and for the end of work.
	patience = 500 * time.Millisecond
	// allowedCuts and allowedTooOften are the users' allowances for single cases.
	allowedCuts     = 3
	allowedTooOften = 3
	// fewLate is how many late answers, and how many requests that are worked on in vain, are allowed whatever their
	// share is.
	fewLate = 8
	fewLeft = 4
)

func (t *tally) judge(l *ledger) {
	if t.Cut > allowedCuts {
		l.fault("LOST: %d requests that were passed on got no answer around planned work", t.Cut)
	}
	if t.Late >= fewLate && 4*t.Late > t.Timed {
		l.fault("CONFIG: %d of %d requests got their final answer over %v after their time limit", t.Late, t.Timed, patience)
	}
	if t.WorkedOn >= fewLeft && 4*t.WorkedOn > t.Left {
		l.fault("GONE: %d of %d requests were worked on over %v after their callers had left", t.WorkedOn, t.Left, patience)
	}
	if t.Denied > 0 {
		l.fault("DENIED: %d proper requests were refused for good", t.Denied)
	}
	if t.TooOften > allowedTooOften {
		l.fault("BUDGET: %d requests ran on more backend servers than %d", t.TooOften, maxAttempts)
	}
}

// isPromise reports whether a status tells that the request has not run and never will.
func isPromise(status int) bool {
	switch status {
	case http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return true
	}
	return false
}

func (w *world) judgeRequest(r *request, runs []*run, t *tally) {
	l := w.ledger
	if r.kind == route.NonIdempotent && len(runs) > 1 {
		l.fault("TWICE: request %s ran at %s and at %s", r.id, runs[0].server.ID, runs[1].server.ID)
	}
	if r.kind == route.NonIdempotent && len(runs) > 0 && isPromise(r.status) {
		l.fault("REFUSED: request %s has status %d though it ran at %s", r.id, r.status, runs[0].server.ID)
	}
	if len(runs) > maxAttempts {
		t.TooOften++
	}
	if r.status >= http.StatusBadRequest && r.status < http.StatusInternalServerError && !isPromise(r.status) {
		t.Denied++
	}
	if !r.left.IsZero() {
		t.countLeaver(r, runs)
		return
	}
	if r.vm.faults.isCalm(r.sent.Add(-contact), r.ended, true) && r.ended.Sub(r.sent) >= r.limit {
		t.Timed++
		if r.ended.Sub(r.sent) > r.limit+patience {
			t.Late++
		}
	}
	isCut := r.err != nil && !isNeverRead(r.err) && r.ended.Sub(r.sent) < r.limit*7/10
	if isCut && len(runs) > 0 && r.vm.faults.isCalm(r.sent.Add(-contact), r.ended, false) {
		w.options.Logf("request %s was cut by %s after %v: %v", r.id, r.vm.settings.VM, r.ended.Sub(r.sent), r.err)
		t.Cut++
	}
}

// countLeaver looks at the work for a caller that has left.
func (t *tally) countLeaver(r *request, runs []*run) {
	if r.kind != route.Idempotent || !r.vm.faults.isCalm(r.sent.Add(-contact), r.left.Add(patience), true) {
		return
	}
	for _, run := range runs {
		isOpen := run.ended.IsZero() || run.ended.After(r.left)
		if !isOpen || !run.server.faults.isCalm(r.sent, r.left.Add(patience), true) {
			continue
		}
		t.Left++
		if run.ended.IsZero() || run.ended.Sub(r.left) > patience {
			t.WorkedOn++
		}
	}
}

// judgeRetries checks the retry budget of the whole fleet over the whole soak, which is looser than over each window.
func (w *world) judgeRetries(requests map[string]*request, runs map[string][]*run) {
	sent, again := map[string]int{}, map[string]int{}
	for id, list := range runs {
		if requests[id] == nil {
			continue
		}
		sent[list[0].service]++
		again[list[0].service] += len(list) - 1
	}
	windows := 1 + w.options.Duration.Seconds()/retryWindow.Seconds()
	for service, n := range again {
		if limit := retryRatio*float64(sent[service]) + retrySlack*windows; float64(n) > limit {
			w.ledger.fault("BUDGET: %d requests to %s were sent once more, limit %.0f", n, service, limit)
		}
	}
}

func countServed(requests map[string]*request) int {
	n := 0
	for _, r := range requests {
		if r.status == http.StatusOK {
			n++
		}
	}
	return n
}
