package dispatch

import "time"

const (
	// windowBuckets and bucketLength make up the time over which failures are counted: the 2 s of the users' floor.
	windowBuckets = 4
	bucketLength  = 500 * time.Millisecond
	// busyMinOutcomes is how many outcomes a busy service has in the window. With fewer there is not one for each of its
	// backend servers.
	busyMinOutcomes = 12
	// shareMinOutcomes is how many outcomes a share of failures needs. With fewer, one or two failures make a tenth.
	shareMinOutcomes = 25
)

// failureWindow counts outcomes over the last two seconds.
type failureWindow struct {
	buckets [windowBuckets]struct{ all, failed int }
	current int64
}

// advance clears the buckets that have passed.
func (w *failureWindow) advance(now time.Time) {
	slot := now.UnixNano() / int64(bucketLength)
	if slot-w.current >= windowBuckets || slot < w.current {
		*w = failureWindow{current: slot}
		return
	}
	for w.current < slot {
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

// counts returns how many outcomes there were, and how many of them were failures.
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

// failureShare returns the share of failures, 0 where there are too few outcomes.
func (w *failureWindow) failureShare(now time.Time) float64 {
	all, failed := w.counts(now)
	if all < shareMinOutcomes {
		return 0
	}
	return float64(failed) / float64(all)
}

// retryBudget bounds the requests that a VM sends once more. Each request earns a part of a retry; an allowance is
// filled up over time.
type retryBudget struct {
	// ratio is what one request earns.
	ratio float64
	// window is the time in which the allowance is filled up.
	window time.Duration
	// fromRequests are retries from requests.
	fromRequests float64
	// fromAllowance are retries from the allowance.
	fromAllowance float64
	refilled      time.Time
}

const (
	// usedRatioShare is the part of the users' ratio that is used: requests are counted later than they are sent.
	usedRatioShare = 0.8
	// maxEarned bounds what a VM saves up from earlier windows.
	maxEarned = 2
	// allowanceBurstShare is the part of the allowance that may be saved up. The rest is granted over a window, so that no
	// window gets more than the whole.
	allowanceBurstShare = 1.0 / 3
)

func (b *retryBudget) earn() { b.fromRequests = min(b.fromRequests+b.ratio*usedRatioShare, maxEarned) }

// take takes one retry. allowance is how many retries above the ratio the VM has in a window.
func (b *retryBudget) take(now time.Time, allowance float64) bool {
	elapsed := max(0, now.Sub(b.refilled).Seconds())
	b.fromAllowance = min(b.fromAllowance+(1-allowanceBurstShare)*allowance*elapsed/b.window.Seconds(), allowanceBurstShare*allowance)
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
