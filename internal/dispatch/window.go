package dispatch

import "time"

const (
	// windowBuckets and bucketLength set the time over which failures are counted: 2 s, as for the users' floor.
	windowBuckets = 4
	bucketLength  = 500 * time.Millisecond
	// busyMinOutcomes is the number of outcomes in the window from which a service is busy. With fewer, there is less
	// than one outcome for each of its backend servers.
	busyMinOutcomes = 12
	// shareMinOutcomes is the number of outcomes from which a share of failures is computed. With fewer, one or two
	// failures would be a tenth.
	shareMinOutcomes = 25
)

// failureWindow counts outcomes over the last two seconds.
type failureWindow struct {
	buckets [windowBuckets]struct{ all, failed int }
	current int64
}

// advance clears the buckets that have expired.
func (w *failureWindow) advance(now time.Time) {
	bucket := now.UnixNano() / int64(bucketLength)
	if bucket-w.current >= windowBuckets || bucket < w.current {
		*w = failureWindow{current: bucket}
		return
	}
	for w.current < bucket {
		w.current++
		w.buckets[w.current%windowBuckets] = struct{ all, failed int }{}
	}
}

func (w *failureWindow) add(now time.Time, failed bool) {
	w.advance(now)
	b := &w.buckets[w.current%windowBuckets]
	b.all++
	if failed {
		b.failed++
	}
}

// counts returns the number of outcomes and how many of them were failures.
func (w *failureWindow) counts(now time.Time) (all, failed int) {
	w.advance(now)
	for _, b := range w.buckets {
		all += b.all
		failed += b.failed
	}
	return all, failed
}

// isBusy reports whether the service has enough requests to keep all its backend servers in service.
func (w *failureWindow) isBusy(now time.Time) bool {
	all, _ := w.counts(now)
	return all >= busyMinOutcomes
}

// failureShare returns the share of failures, 0 if there are too few outcomes.
func (w *failureWindow) failureShare(now time.Time) float64 {
	all, failed := w.counts(now)
	if all < shareMinOutcomes {
		return 0
	}
	return float64(failed) / float64(all)
}

// retryBudget limits the retries that a VM sends. Each request adds a fraction of a retry; an allowance is refilled
// over time.
type retryBudget struct {
	// perRequest is the number of retries per request.
	perRequest float64
	// window is the time in which the allowance is refilled.
	window time.Duration
	// fromRequests is the number of available retries that requests have added.
	fromRequests float64
	// fromAllowance is the number of available retries from the allowance.
	fromAllowance float64
	// refilled is the time of the last refill of the allowance.
	refilled time.Time
}

const (
	// usedRatioShare is the part of the configured ratio that is used: requests are counted later than they are sent.
	usedRatioShare = 0.8
	// maxFromRequests limits the retries that carry over from earlier windows.
	maxFromRequests = 2
	// allowanceBurstShare is the part of the allowance that can accumulate. The rest is granted over a window, so that
	// no window gets more than the whole allowance.
	allowanceBurstShare = 1.0 / 3
)

func (b *retryBudget) earn() {
	b.fromRequests = min(b.fromRequests+b.perRequest*usedRatioShare, maxFromRequests)
}

// take takes one retry and reports whether there was one. allowance is the number of retries that a
// window has in addition to those of its requests.
func (b *retryBudget) take(now time.Time, allowance float64) bool {
	elapsed := max(0, now.Sub(b.refilled).Seconds())
	b.fromAllowance = min(
		b.fromAllowance+(1-allowanceBurstShare)*allowance*elapsed/b.window.Seconds(), allowanceBurstShare*allowance,
	)
	b.refilled = now
	if b.fromRequests >= 1 {
		b.fromRequests--
		return true
	}
	if b.fromAllowance >= 1 {
		b.fromAllowance--
		return true
	}
	return false
}
