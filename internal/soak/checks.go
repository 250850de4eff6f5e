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
		l.violation("UNASKED: request %q, which nobody sent, reached %s", id, b.ID)
		return
	}
	if r.Method != sent.method || r.URL.RequestURI() != sent.uri || r.Host != sent.host || body != sent.body {
		l.violation("UNASKED: request %s reached %s as %s %s%s with %d bytes", id, b.ID, r.Method, r.Host, r.URL.RequestURI(), len(body))
	}
	if !l.allowedServices(sent.host, r.URL.Path, time.Time{})[b.Service] {
		l.violation("ROUTE: request %s reached %s of %s, which no version allows", id, b.ID, b.Service)
	}
	wasUndisturbed := sent.vm.wasUndisturbed(sent.sent, now)
	if wasUndisturbed && !l.allowedServices(sent.host, r.URL.Path, sent.sent.Add(-configApplyBound))[b.Service] {
		l.violation("CONFIG: request %s reached %s of %s, which only versions allow that were replaced %v before it was sent", id, b.ID, b.Service, configApplyBound)
	}
	acked := b.drainStored.Load()
	if wasUndisturbed && acked != 0 && now.Sub(time.Unix(0, acked)) > drainBound {
		l.violation("DRAIN: request %s reached %s %v after the store had taken that it is draining", id, b.ID, now.Sub(time.Unix(0, acked)))
	}
}

// wasUndisturbed reports whether a VM had no disturbance, of its process, its links and its way to the store, from contact before
// a time to another.
func (v *vm) wasUndisturbed(from, to time.Time) bool {
	since := from.Add(-contactBound)
	return v.disturbances.isUndisturbed(since, to, true) && v.storeDisturbances.isUndisturbed(since, to, true)
}

// checkResults checks what shows only at the end.
func (d *deployment) checkResults() {
	l := d.ledger
	l.mu.Lock()
	requests, runs := l.requests, l.runs
	l.mu.Unlock()
	var tally tally
	for id, r := range requests {
		d.checkRequest(r, runs[id], &tally)
	}
	tally.check(l)
	d.checkRetryBudget(requests, runs)
	for _, v := range d.vms {
		if err := v.checkLog(l); err != nil {
			l.violation("FAULT: the log of %s: %v", v.Name, err)
		}
	}
	d.options.Logf("%d requests, %d of them served; %+v", len(requests), countServed(requests), tally)
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
	// lateTolerance is the half second that the users allow for answers at a time limit and for the end of work.
	lateTolerance = 500 * time.Millisecond
	// maxCut and allowedTooOften are the users' allowances for single cases.
	maxCut      = 3
	maxTooOften = 3
	// minLate is how many late answers, and how many requests that are worked on in vain, are allowed whatever their
	// share is.
	minLate     = 8
	minWorkedOn = 4
)

func (t *tally) check(l *ledger) {
	if t.Cut > maxCut {
		l.violation("LOST: %d requests that were passed on got no answer around planned work", t.Cut)
	}
	if t.Late >= minLate && 4*t.Late > t.Timed {
		l.violation("CONFIG: %d of %d requests got their final answer over %v after their time limit", t.Late, t.Timed, lateTolerance)
	}
	if t.WorkedOn >= minWorkedOn && 4*t.WorkedOn > t.Left {
		l.violation("GONE: %d of %d requests were worked on over %v after their callers had left", t.WorkedOn, t.Left, lateTolerance)
	}
	if t.Denied > 0 {
		l.violation("DENIED: %d proper requests were refused for good", t.Denied)
	}
	if t.TooOften > maxTooOften {
		l.violation("BUDGET: %d requests ran on more backend servers than %d", t.TooOften, maxAttempts)
	}
}

// promisesNotRun reports whether a status tells that the request has not run and never will.
func promisesNotRun(status int) bool {
	switch status {
	case http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return true
	}
	return false
}

func (d *deployment) checkRequest(r *request, runs []*run, t *tally) {
	l := d.ledger
	if r.kind == route.NonIdempotent && len(runs) > 1 {
		l.violation("TWICE: request %s ran at %s and at %s", r.id, runs[0].server.ID, runs[1].server.ID)
	}
	if r.kind == route.NonIdempotent && len(runs) > 0 && promisesNotRun(r.status) {
		l.violation("REFUSED: request %s has status %d though it ran at %s", r.id, r.status, runs[0].server.ID)
	}
	if len(runs) > maxAttempts {
		t.TooOften++
	}
	if r.status >= http.StatusBadRequest && r.status < http.StatusInternalServerError && !promisesNotRun(r.status) {
		t.Denied++
	}
	if !r.abandoned.IsZero() {
		t.countAbandoned(r, runs)
		return
	}
	if r.vm.disturbances.isUndisturbed(r.sent.Add(-contactBound), r.ended, true) && r.ended.Sub(r.sent) >= r.limit {
		t.Timed++
		if r.ended.Sub(r.sent) > r.limit+lateTolerance {
			t.Late++
		}
	}
	isCut := r.err != nil && !isDialError(r.err) && r.ended.Sub(r.sent) < r.limit*7/10
	if isCut && len(runs) > 0 && r.vm.disturbances.isUndisturbed(r.sent.Add(-contactBound), r.ended, false) {
		d.options.Logf("request %s was cut by %s after %v: %v", r.id, r.vm.settings.VM, r.ended.Sub(r.sent), r.err)
		t.Cut++
	}
}

// countAbandoned looks at the work for a caller that has left.
func (t *tally) countAbandoned(r *request, runs []*run) {
	if r.kind != route.Idempotent || !r.vm.disturbances.isUndisturbed(r.sent.Add(-contactBound), r.abandoned.Add(lateTolerance), true) {
		return
	}
	for _, run := range runs {
		isOpen := run.ended.IsZero() || run.ended.After(r.abandoned)
		if !isOpen || !run.server.disturbances.isUndisturbed(r.sent, r.abandoned.Add(lateTolerance), true) {
			continue
		}
		t.Left++
		if run.ended.IsZero() || run.ended.Sub(r.abandoned) > lateTolerance {
			t.WorkedOn++
		}
	}
}

// checkRetryBudget checks the retry budget of the whole fleet over the whole soak, which is looser than over each window.
func (d *deployment) checkRetryBudget(requests map[string]*request, runs map[string][]*run) {
	sent, retried := map[string]int{}, map[string]int{}
	for id, list := range runs {
		if requests[id] == nil {
			continue
		}
		sent[list[0].service]++
		retried[list[0].service] += len(list) - 1
	}
	windows := 1 + d.options.Duration.Seconds()/retryBudgetWindow.Seconds()
	for service, n := range retried {
		if limit := retryBudgetRatio*float64(sent[service]) + retryBudgetSlack*windows; float64(n) > limit {
			d.ledger.violation("BUDGET: %d requests to %s were sent once more, limit %.0f", n, service, limit)
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
