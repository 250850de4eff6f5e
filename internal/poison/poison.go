// Package poison holds back requests that end the backend servers that run them. A request is known by its
// fingerprint: service, method, target and body. After crashes on two different backend servers it is held for a
// time; an answer to it at any time clears it.
package poison

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// maxCrashedServers is how many different backend servers a request may end.
	maxCrashedServers = 2
	// DefaultWindow is how long crashes are remembered and a request is held.
	DefaultWindow = 10 * time.Minute
	// maxFingerprints bounds the memory. With more, new crashes are not remembered until old ones expire.
	maxFingerprints = 10_000
)

// Fingerprint names equal requests.
type Fingerprint uint64

// FingerprintOf returns the fingerprint of a request.
func FingerprintOf(service, method, target string, body []byte) Fingerprint {
	var d xxhash.Digest
	d.Reset()
	for _, part := range []string{service, method, target} {
		_, _ = d.WriteString(part)
		_, _ = d.Write([]byte{0})
	}
	_, _ = d.Write(body)
	return Fingerprint(d.Sum64())
}

// Registry remembers crashes by fingerprint.
type Registry struct {
	window time.Duration

	// count lets the usual request pass without the lock.
	count   atomic.Int64
	mu      sync.Mutex
	records map[Fingerprint]*record
}

type record struct {
	crashedServers map[string]bool
	lastCrash      time.Time
	// trial is set while one request with a crash behind it is being run. It is closed at the end of the trial.
	trial chan struct{}
}

// NewRegistry returns an empty register.
func NewRegistry(window time.Duration) *Registry {
	return &Registry{window: window, records: map[Fingerprint]*record{}}
}

// IsEmpty reports whether no crash is remembered.
func (r *Registry) IsEmpty() bool { return r.count.Load() == 0 }

// Begin reports whether a request may be sent to a backend server. A request with one crash behind it is sent by one
// caller at a time, and the others wait for its end; done must be called when that attempt has ended.
func (r *Registry) Begin(ctx context.Context, f Fingerprint) (done func(), allowed bool) {
	for {
		known, running, allowed := r.tryBegin(f)
		if running == nil {
			return func() { r.end(known) }, allowed
		}
		select {
		case <-running:
		case <-ctx.Done():
			return nil, false
		}
	}
}

// tryBegin returns the channel of a running trial, or starts one where the request has a crash behind it.
func (r *Registry) tryBegin(f Fingerprint) (known *record, running chan struct{}, allowed bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	known = r.findActive(f)
	switch {
	case known == nil:
		return nil, nil, true
	case len(known.crashedServers) >= maxCrashedServers:
		return nil, nil, false
	case known.trial != nil:
		return nil, known.trial, false
	}
	known.trial = make(chan struct{})
	return known, nil, true
}

func (r *Registry) end(known *record) {
	if known == nil {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	close(known.trial)
	known.trial = nil
}

// IsBlocked reports whether the request is held back until its window ends.
func (r *Registry) IsBlocked(f Fingerprint) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	known := r.findActive(f)
	return known != nil && len(known.crashedServers) >= maxCrashedServers
}

// RecordCrash notes that the request was running on a backend server when its connection broke without an answer. It
// reports whether the crash is new.
func (r *Registry) RecordCrash(f Fingerprint, backend string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	known := r.findActive(f)
	if known == nil {
		if len(r.records) >= maxFingerprints {
			return false
		}
		known = &record{crashedServers: map[string]bool{}}
		r.records[f] = known
		r.count.Add(1)
	}
	known.lastCrash = time.Now()
	isNew := !known.crashedServers[backend]
	known.crashedServers[backend] = true
	return isNew
}

// RecordAnswer clears a request that a backend server answered. It reports whether there was something to clear.
func (r *Registry) RecordAnswer(f Fingerprint) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.records[f] == nil {
		return false
	}
	r.remove(f)
	return true
}

// Expire forgets crashes that are older than the window.
func (r *Registry) Expire() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for f := range r.records {
		r.findActive(f)
	}
}

func (r *Registry) findActive(f Fingerprint) *record {
	known := r.records[f]
	if known != nil && time.Since(known.lastCrash) > r.window {
		r.remove(f)
		return nil
	}
	return known
}

func (r *Registry) remove(f Fingerprint) {
	delete(r.records, f)
	r.count.Add(-1)
}
