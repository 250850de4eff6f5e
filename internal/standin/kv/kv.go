// Package kv simulates the platform's key-value service over HTTP, for tests and the demo. It implements the part of
// Consul's HTTP API that package store uses, and injects faults.
package kv

import (
	"encoding/json"
	"io"
	"maps"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/gorilla/mux"
)

const (
	maxValueBytes = 1 << 20
	// lagPollInterval is how often a blocking read checks whether the lagging state has caught up.
	lagPollInterval = 50 * time.Millisecond
)

// Service is the key-value service. It is safe for concurrent use.
type Service struct {
	mu sync.Mutex
	// index is the index of the last write.
	index  uint64
	pairs  map[string]pair
	backup map[string]pair
	// changed is closed at the next change of pairs or fault.
	changed chan struct{}
	fault   Fault
	// calls counts the calls for each HTTP method.
	calls map[string]int
}

// pair is the value of a key after a write. Of the earlier values only the previous one is kept, for reads that lag.
type pair struct {
	value     []byte
	index     uint64
	previous  *pair
	writtenAt time.Time
}

// New returns an empty service.
func New() *Service {
	return &Service{pairs: map[string]pair{}, changed: make(chan struct{}), index: 1, calls: map[string]int{}}
}

// Register adds the routes of the service to a router.
func (s *Service) Register(router *mux.Router) {
	router.PathPrefix("/v1/kv/").HandlerFunc(s.serveKV)
	router.HandleFunc("/control/kv", s.serveControl)
	router.HandleFunc("/control/kv/backup", s.serveBackup).Methods(http.MethodPut)
	router.HandleFunc("/control/kv/restore", s.serveRestore).Methods(http.MethodPut)
}

func (s *Service) serveKV(w http.ResponseWriter, r *http.Request) {
	fault := s.beginCall(r.Method)
	time.Sleep(time.Duration(fault.DelayMS) * time.Millisecond)
	if fault.Down {
		panic(http.ErrAbortHandler)
	}
	key := strings.TrimPrefix(r.URL.Path, "/v1/kv/")
	query := r.URL.Query()
	switch {
	case r.Method == http.MethodPut:
		s.put(w, r, key, fault)
	case r.Method == http.MethodDelete:
		s.deleteKey(key)
		_, _ = io.WriteString(w, "true")
	case query.Has("keys"):
		s.keys(w, key)
	case query.Has("recurse"):
		s.list(w, key, fault.lag(query.Has("consistent")))
	default:
		s.get(w, r, key, fault.lag(query.Has("consistent")))
	}
}

// beginCall counts a call and returns the fault that applies to it.
func (s *Service) beginCall(method string) Fault {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.calls[method]++
	fault := s.fault
	if method == http.MethodPut && fault.LoseNext > 0 {
		s.fault.LoseNext--
		fault.LoseAnswers = true
	}
	return fault
}

// notifyWaiters wakes all blocking reads. The caller holds the lock.
func (s *Service) notifyWaiters() {
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *Service) put(w http.ResponseWriter, r *http.Request, key string, fault Fault) {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxValueBytes))
	if err != nil {
		http.Error(w, "value too long", http.StatusRequestEntityTooLarge)
		return
	}
	cas, err := strconv.ParseUint(r.URL.Query().Get("cas"), 10, 64)
	if err != nil {
		http.Error(w, "cas must be set", http.StatusBadRequest)
		return
	}
	if fault.LateMS > 0 {
		time.AfterFunc(time.Duration(fault.LateMS)*time.Millisecond, func() { s.compareAndSwap(key, body, cas) })
		panic(http.ErrAbortHandler)
	}
	written := s.compareAndSwap(key, body, cas)
	if fault.LoseAnswers {
		panic(http.ErrAbortHandler)
	}
	_, _ = io.WriteString(w, strconv.FormatBool(written))
}

// compareAndSwap writes the value if the index of the key is cas, and reports whether it did.
func (s *Service) compareAndSwap(key string, body []byte, cas uint64) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	old, exists := s.pairs[key]
	if old.index != cas {
		return false
	}
	s.index++
	next := pair{value: body, index: s.index, writtenAt: time.Now()}
	if exists {
		old.previous = nil
		next.previous = &old
	}
	s.pairs[key] = next
	s.notifyWaiters()
	return true
}

func (s *Service) deleteKey(key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.pairs, key)
}

// read returns the pair as a replica that is behind by lag would. The caller holds the lock.
func (s *Service) read(key string, lag time.Duration) (pair, bool) {
	p, found := s.pairs[key]
	for found && lag > 0 && time.Since(p.writtenAt) < lag {
		if p.previous == nil {
			return pair{}, false
		}
		p = *p.previous
	}
	return p, found
}

// keysWithPrefix returns the sorted keys that begin with prefix. The caller holds the lock.
func (s *Service) keysWithPrefix(prefix string) []string {
	keys := slices.Sorted(maps.Keys(s.pairs))
	return slices.DeleteFunc(keys, func(key string) bool { return !strings.HasPrefix(key, prefix) })
}

func (s *Service) keys(w http.ResponseWriter, prefix string) {
	s.mu.Lock()
	keys, index := s.keysWithPrefix(prefix), s.index
	s.mu.Unlock()
	writeList(w, index, keys)
}

func (s *Service) list(w http.ResponseWriter, prefix string, lag time.Duration) {
	s.mu.Lock()
	var found []encodedPair
	for _, key := range s.keysWithPrefix(prefix) {
		if p, ok := s.read(key, lag); ok {
			found = append(found, encodedPair{key, p.value, p.index})
		}
	}
	index := s.index
	s.mu.Unlock()
	writeList(w, index, found)
}

// get serves a read of one key. With the query parameters index and wait it blocks until the index of the key is above
// the parameter index, or until the time wait has passed.
func (s *Service) get(w http.ResponseWriter, r *http.Request, key string, lag time.Duration) {
	query := r.URL.Query()
	after, _ := strconv.ParseUint(query.Get("index"), 10, 64)
	wait, _ := time.ParseDuration(query.Get("wait"))
	deadline := time.After(wait)
	isFinal := wait == 0 || after == 0
	for {
		s.mu.Lock()
		p, found := s.read(key, lag)
		index, changed, down := s.index, s.changed, s.fault.Down
		s.mu.Unlock()
		if down {
			panic(http.ErrAbortHandler)
		}
		if isFinal || (found && p.index > after) {
			writePair(w, key, p, found, index)
			return
		}
		select {
		case <-changed:
		case <-time.After(lagPollInterval):
		case <-r.Context().Done():
			return
		case <-deadline:
			isFinal = true
		}
	}
}

// encodedPair is a pair in the JSON form of Consul's API.
type encodedPair struct {
	Key         string
	Value       []byte
	ModifyIndex uint64
}

func writePair(w http.ResponseWriter, key string, p pair, found bool, index uint64) {
	var pairs []encodedPair
	if found {
		pairs = append(pairs, encodedPair{key, p.value, p.index})
	}
	writeList(w, index, pairs)
}

// writeList responds with the list and the index of the service, or with status 404 if the list is empty.
func writeList[T any](w http.ResponseWriter, index uint64, list []T) {
	w.Header().Set("X-Consul-Index", strconv.FormatUint(index, 10))
	if len(list) == 0 {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	_ = json.NewEncoder(w).Encode(list)
}
