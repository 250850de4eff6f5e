// Package poison blocks requests that crash the backend servers that run them. A request is identified by its
// fingerprint: service, method, target and body. After crashes of two different backend servers it is blocked for a
// time; an answer to it at any time unblocks it.
package poison

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// maxCrashedServers is how many different backend servers a request may crash before it is blocked.
	maxCrashedServers = 2
	// DefaultWindow is how long crashes are kept and a request stays blocked.
	DefaultWindow = 10 * time.Minute
	// maxFingerprints limits memory. Above it, crashes of further requests are not recorded until old ones expire.
	maxFingerprints = 10_000
)

// Fingerprint identifies equal requests.
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

// Registry keeps the crashes of requests by fingerprint. It is safe for concurrent use.
type Registry struct {
	window time.Duration

	// count is the number of records. It lets IsEmpty work without the lock.
	count   atomic.Int64
	mu      sync.Mutex
	records map[Fingerprint]*record
}

type record struct {
	crashedServers map[string]bool
	lastCrash      time.Time
	// trial is not nil while a request that has crashed a backend server runs again. It is closed when that run ends.
	trial chan struct{}
}

// NewRegistry returns an empty registry that keeps crashes for window.
func NewRegistry(window time.Duration) *Registry {
	return &Registry{window: window, records: map[Fingerprint]*record{}}
}

// IsEmpty reports whether no crash is recorded.
func (r *Registry) IsEmpty() bool { return r.count.Load() == 0 }

// Begin reports whether a request may be sent to a backend server. Requests that have crashed one backend server run
// one at a time: Begin waits until the running one has ended or ctx is done. If the request is allowed, done must be
// called when its attempt has ended.
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

// tryBegin returns the channel of the running trial, or starts a trial if the request has crashed a backend server.
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

// IsBlocked reports whether the request is blocked until its window ends.
func (r *Registry) IsBlocked(f Fingerprint) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	known := r.findActive(f)
	return known != nil && len(known.crashedServers) >= maxCrashedServers
}

// RecordCrash records that the connection of a backend server broke without an answer while it ran the request. It
// reports whether this is the first recorded crash of the backend server by the request.
func (r *Registry) RecordCrash(f Fingerprint, server string) bool {
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
	isNew := !known.crashedServers[server]
	known.crashedServers[server] = true
	return isNew
}

// RecordAnswer removes the record of a request that a backend server has answered. It reports whether there was one.
func (r *Registry) RecordAnswer(f Fingerprint) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.records[f] == nil {
		return false
	}
	r.remove(f)
	return true
}

// Expire removes the records whose last crash is older than the window.
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
