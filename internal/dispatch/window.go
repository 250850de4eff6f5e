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
