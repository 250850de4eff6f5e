package soak

import (
	"net/http"
	"time"

	"github.com/primroseladder/primroseladder/internal/route"
)

// checkArrival checks a request when it reaches a backend server.
func (b *backendServer) checkArrival(r *http.Request, id, body string) {
	l, now := b.ledger, time.Now()
	sent := l.request(id)
	if sent == nil {
		l.recordViolation("UNASKED: request %q, which no caller sent, reached %s", id, b.ID)
		return
	}
	if r.Method != sent.method || r.URL.RequestURI() != sent.uri || r.Host != sent.host || body != sent.body {
		l.recordViolation("UNASKED: request %s reached %s as %s %s%s with %d bytes", id, b.ID, r.Method, r.Host, r.URL.RequestURI(), len(body))
	}
	if !l.allowedServices(sent.host, r.URL.Path, time.Time{})[b.Service] {
		l.recordViolation("ROUTE: request %s reached %s of %s, which no configuration version allows", id, b.ID, b.Service)
	}
	wasUndisturbed := sent.vm.wasUndisturbed(sent.sent, now)
	if wasUndisturbed && !l.allowedServices(sent.host, r.URL.Path, sent.sent.Add(-configApplyBound))[b.Service] {
		l.recordViolation("CONFIG: request %s reached %s of %s, which is allowed by no version in force within %v before it was sent or later",
			id, b.ID, b.Service, configApplyBound)
	}
	drainStored := b.drainStored.Load()
	// The bound holds for what the store accepted while it was stable: entries removed in an outage may be back soon after it.
	isStored := drainStored != 0 &&
		sent.vm.storeDisturbances.isUndisturbed(time.Unix(0, drainStored).Add(-contactBound), time.Unix(0, drainStored), true)
	if wasUndisturbed && isStored && now.Sub(time.Unix(0, drainStored)) > drainBound {
		l.recordViolation("DRAIN: request %s reached %s %v after the store had accepted its draining or removal",
			id, b.ID, now.Sub(time.Unix(0, drainStored)))
	}
}

// wasUndisturbed reports whether the VM had no disturbance of its process, its links and its connection to the store.
// The checked time begins contactBound before the time from and ends at the time to.
func (v *vm) wasUndisturbed(from, to time.Time) bool {
	since := from.Add(-contactBound)
	return v.disturbances.isUndisturbed(since, to, true) && v.storeDisturbances.isUndisturbed(since, to, true)
}

// checkResults checks the promises that can only be checked when all requests have ended.
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
	d.checkCrashes()
	for _, v := range d.vms {
		if err := v.checkLog(l); err != nil {
			l.recordViolation("FAULT: the log of %s: %v", v.Name, err)
		}
	}
	d.options.Logf("%d requests, %d of them served; %+v", len(requests), countServed(requests), tally)
}

// tally counts events that break a promise only above a certain number or share.
type tally struct {
	// Cut counts requests that reached a backend server and whose connection to the VM failed before 70 % of their time
	// limit had passed, although the VM had only planned disturbances.
	Cut int
	// Timed counts requests that took at least their time limit at undisturbed VMs. Late counts those of them that ended
	// more than half a second after it.
	Timed, Late int
	// Left counts the runs of idempotent requests that were still in progress when the caller abandoned the request.
	// WorkedOn counts those of them that were still in progress half a second later.
	Left, WorkedOn int
	// Denied counts well-formed requests that were refused with a status 4xx other than those of promisesNotRun.
	Denied int
	// TooOften counts requests that ran more often than their route allows.
	TooOften int
}

const (
	// lateTolerance is the half second that the users allow for the answer after a time limit, and for the end of the
	// work after a caller has abandoned the request.
	lateTolerance = 500 * time.Millisecond
	// maxCut and maxTooOften are the highest counts of Cut and TooOften that the users allow.
	maxCut      = 3
	maxTooOften = 3
	// minLate and minWorkedOn are the counts below which the shares of Late in Timed and of WorkedOn in Left are not
	// checked. From there on a share of more than a quarter is a violation.
	minLate     = 8
	minWorkedOn = 4
)

func (t *tally) check(l *ledger) {
	if t.Cut > maxCut {
		l.recordViolation("LOST: %d requests that reached a backend server received no answer, with only planned disturbances of their VMs",
			t.Cut)
	}
	if t.Late >= minLate && 4*t.Late > t.Timed {
		l.recordViolation("CONFIG: %d of %d requests ended over %v after their time limit", t.Late, t.Timed, lateTolerance)
	}
	if t.WorkedOn >= minWorkedOn && 4*t.WorkedOn > t.Left {
		l.recordViolation("GONE: %d of %d runs continued for more than %v after their callers had abandoned the requests",
			t.WorkedOn, t.Left, lateTolerance)
	}
	if t.Denied > 0 {
		l.recordViolation("DENIED: %d well-formed requests were refused with a final status 4xx", t.Denied)
	}
	if t.TooOften > maxTooOften {
		l.recordViolation("BUDGET: %d requests ran more than %d times", t.TooOften, maxAttempts)
	}
}

// promisesNotRun reports whether a status means that the request has not run and never will.
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
		l.recordViolation("TWICE: request %s ran at %s and at %s", r.id, runs[0].server.ID, runs[1].server.ID)
	}
	if r.kind == route.NonIdempotent && len(runs) > 0 && promisesNotRun(r.status) {
		l.recordViolation("REFUSED: request %s has status %d though it ran at %s", r.id, r.status, runs[0].server.ID)
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
		d.options.Logf("connection of request %s to %s failed after %v: %v", r.id, r.vm.settings.VM, r.ended.Sub(r.sent), r.err)
		t.Cut++
	}
}

// countAbandoned counts the runs of an idempotent request that had not ended when its caller abandoned it.
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

// checkRetryBudget checks the retry budget of the whole fleet over the whole soak. That is less strict than a check of
// each window.
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
			d.ledger.recordViolation("BUDGET: %d retries of requests to %s, limit %.0f", n, service, limit)
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
