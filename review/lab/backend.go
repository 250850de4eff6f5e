package main

import (
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/primroseladder/primroseladder/internal/gateway"
	"github.com/primroseladder/primroseladder/internal/roster"
	"github.com/primroseladder/primroseladder/platform"
	"github.com/primroseladder/primroseladder/platform/standin"
)

const (
	slotsPerServer = 4
	// maxQueued is how many requests may wait for a slot of a backend server; more are rejected.
	maxQueued = 16
	// backAfter is how long after a crash a backend server starts again.
	backAfter = 3 * time.Second
	// expiresAfter is how long after a crash the store removes the entry: three ping intervals of silence, less the time
	// since the last ping.
	expiresAfter = 4 * time.Second
)

// arrival is a request that a backend server has begun to run.
type arrival struct {
	id, path, server, service string
	at                        time.Time
	isCrash                   bool
}

// site holds the backend servers and what they have run.
type site struct {
	record  *recorder
	store   *storeService
	headers gateway.Headers
	// work is how long a request takes.
	work time.Duration
	// crashPath is the path of the request that crashes the backend servers that run it.
	crashPath string
	// crashesInAnswer is set if these send a part of their answer first.
	crashesInAnswer bool

	nextID atomic.Int64

	mu       sync.Mutex
	arrivals []arrival
	servers  map[*backendServer]bool
}

func newSite(r *recorder, store *storeService, work time.Duration) *site {
	return &site{record: r, store: store, headers: platform.Headers(), work: work, servers: map[*backendServer]bool{}}
}

func (s *site) noteArrival(a arrival) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.arrivals = append(s.arrivals, a)
}

// ran returns the requests that backend servers have begun to run.
func (s *site) ran() []arrival {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]arrival(nil), s.arrivals...)
}

// close ends all backend servers.
func (s *site) close() {
	s.mu.Lock()
	servers := s.servers
	s.servers = map[*backendServer]bool{}
	s.mu.Unlock()
	for b := range servers {
		_ = b.server.Close()
	}
}

// backendServer is one run of a backend server.
type backendServer struct {
	roster.Server
	site    *site
	server  *http.Server
	slots   chan struct{}
	queued  atomic.Int32
	crashed atomic.Bool
	// removedAt is when the store accepted the removal of the entry. It is guarded by site.mu.
	removedAt time.Time
}

// addServer starts a backend server at an address, or at a free port if that is empty, and registers it in the store.
func (s *site) addServer(service, zone, address string) error {
	if address == "" {
		address = "127.0.0.1:0"
	}
	listener, err := net.Listen("tcp", address)
	if err != nil {
		// Another program has taken the port meanwhile.
		listener, err = net.Listen("tcp", "127.0.0.1:0")
	}
	if err != nil {
		return err
	}
	b := &backendServer{site: s, slots: make(chan struct{}, slotsPerServer)}
	b.Server = roster.Server{
		ID: fmt.Sprintf("i-%d", s.nextID.Add(1)), Service: service, Zone: zone, Slots: slotsPerServer,
		Address: listener.Addr().String(), Incarnation: time.Now().UnixMilli(),
	}
	b.server = &http.Server{Handler: b}
	entry, err := standin.EncodeServer(b.Server)
	if err != nil {
		return err
	}
	s.mu.Lock()
	s.servers[b] = true
	s.mu.Unlock()
	go func() { _ = b.server.Serve(listener) }()
	s.store.Put(standin.ServerKey(b.ID), string(entry))
	s.record.logf("backend server %s of %s starts at %s", b.ID, service, b.Address)
	return nil
}

// crash ends the backend server without a word. It is back later, as a new incarnation with a new id.
func (b *backendServer) crash() {
	if b.crashed.Swap(true) {
		return
	}
	b.site.record.logf("backend server %s crashes", b.ID)
	go func() { _ = b.server.Close() }()
	time.AfterFunc(expiresAfter, func() { b.site.store.Delete(standin.ServerKey(b.ID)) })
	time.AfterFunc(backAfter, func() {
		b.site.mu.Lock()
		isOpen := b.site.servers[b]
		delete(b.site.servers, b)
		b.site.mu.Unlock()
		if !isOpen {
			return
		}
		if err := b.site.addServer(b.Service, b.Zone, b.Address); err != nil {
			b.site.record.logf("backend server %s is not back: %v", b.ID, err)
		}
	})
}

// bodyOf returns the body of the answer to a request.
func bodyOf(id string) string { return strings.Repeat(id, 40) }

// ServeHTTP implements http.Handler.
func (b *backendServer) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	h := b.site.headers
	id := r.Header.Get(h.RequestID)
	size, err := io.Copy(io.Discard, r.Body)
	if err != nil {
		return
	}
	w.Header().Set(h.RequestID, id)
	w.Header().Set(h.Instance, b.ID)
	if want := r.Header.Get(h.ExpectedInstance); want != "" && want != b.ID {
		b.reject(w, http.StatusMisdirectedRequest)
		return
	}
	if b.queued.Add(1) > maxQueued {
		b.queued.Add(-1)
		b.reject(w, http.StatusServiceUnavailable)
		return
	}
	select {
	case b.slots <- struct{}{}:
		b.queued.Add(-1)
	case <-r.Context().Done():
		b.queued.Add(-1)
		return
	}
	defer func() { <-b.slots }()
	isCrash := b.site.crashPath != "" && r.URL.Path == b.site.crashPath
	b.site.noteArrival(arrival{id: id, path: r.URL.Path, server: b.ID, service: b.Service, at: time.Now(), isCrash: isCrash})
	b.site.record.logf("request %s (%s, body %d bytes) runs at %s of %s", id, r.URL.Path, size, b.ID, b.Service)
	if isCrash {
		b.answerAndCrash(w, id)
		return
	}
	select {
	case <-time.After(b.site.work):
	case <-r.Context().Done():
		return
	}
	w.Header().Set(h.Signature, b.ID+"."+id)
	body := bodyOf(id)
	w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	_, _ = io.WriteString(w, body)
}

// answerAndCrash crashes the backend server, after a part of the answer if the site says so.
func (b *backendServer) answerAndCrash(w http.ResponseWriter, id string) {
	if b.site.crashesInAnswer {
		h, body := b.site.headers, bodyOf(id)
		var head bytes.Buffer
		fmt.Fprintf(&head, "HTTP/1.1 200 OK\r\n%s: %s\r\n%s: %s.%s\r\nContent-Length: %d\r\n\r\n%s",
			h.RequestID, id, h.Signature, b.ID, id, len(body), body[:len(body)/2])
		if conn, _, err := http.NewResponseController(w).Hijack(); err == nil {
			_, _ = conn.Write(head.Bytes())
			defer conn.Close()
		}
		b.crash()
		return
	}
	b.crash()
	panic(http.ErrAbortHandler)
}

func (b *backendServer) reject(w http.ResponseWriter, status int) {
	w.Header().Set(b.site.headers.NotExecuted, "1")
	w.WriteHeader(status)
}

// serversIn returns the backend servers of a zone that are in the store.
func (s *site) serversIn(zone string) (out []*backendServer) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for b := range s.servers {
		if b.Zone == zone && b.removedAt.IsZero() {
			out = append(out, b)
		}
	}
	return out
}

// remove removes the entry of the backend server, which has not reported draining. It goes on serving for the given time.
func (b *backendServer) remove(servesOn time.Duration) {
	b.site.store.Delete(standin.ServerKey(b.ID))
	b.site.mu.Lock()
	b.removedAt = time.Now()
	b.site.mu.Unlock()
	b.site.record.logf("the store accepts the removal of backend server %s", b.ID)
	time.AfterFunc(servesOn, func() {
		b.site.record.logf("backend server %s ends", b.ID)
		_ = b.server.Close()
	})
}

// removals returns when the entries of backend servers were removed, by their ids.
func (s *site) removals() map[string]time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := map[string]time.Time{}
	for b := range s.servers {
		if !b.removedAt.IsZero() {
			out[b.ID] = b.removedAt
		}
	}
	return out
}
