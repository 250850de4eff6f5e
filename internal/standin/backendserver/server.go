// Package backendserver simulates a backend server, for tests and the demo. It counts the requests that it runs and
// injects faults.
package backendserver

import (
	"bytes"
	"encoding/json"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/gorilla/mux"

	"github.com/primroseladder/primroseladder/internal/header"
)

// LoadIDHeader is the header that identifies one send of the load tool. Backend servers use it to count the runs of
// requests without an idempotency key.
const LoadIDHeader = "Load-Id"

// ServiceTimeHeader is the header that reports how long the backend server worked on the request, in microseconds.
const ServiceTimeHeader = "Service-Micros"

// Fault describes how the backend server misbehaves. Health probes succeed regardless.
type Fault struct {
	// ErrorPercent is the percentage of requests that are answered with status 500 after they have run.
	ErrorPercent int `json:"error_percent,omitempty"`
	// SlowFactor multiplies the service time.
	SlowFactor float64 `json:"slow_factor,omitempty"`
	// LoseAnswers runs each request and closes its connection without an answer.
	LoseAnswers bool `json:"lose_answers,omitempty"`
	// Truncate closes the connection after half of each answer.
	Truncate bool `json:"truncate,omitempty"`
	// TrickleMS is the time between two bytes of an answer, in milliseconds.
	TrickleMS int `json:"trickle_ms,omitempty"`
	// Shed sheds all requests before they start.
	Shed bool `json:"shed,omitempty"`
	// Drain adds the draining header to each answer and reports draining in probes.
	Drain bool `json:"drain,omitempty"`
	// FlapMS alternates between this many milliseconds with the other faults and the same time without them.
	FlapMS int `json:"flap_ms,omitempty"`
	// LateMS delays each answer by a random time of up to this many milliseconds, so that answers overtake each other.
	LateMS int `json:"late_ms,omitempty"`
	// SpoilPercent is the percentage of answers that are replaced by an invalid answer of a randomly chosen form.
	SpoilPercent int `json:"spoil_percent,omitempty"`
	// CrashOn ends the process when the body of a request contains this text.
	CrashOn string `json:"crash_on,omitempty"`
}

// Settings holds the settings of one backend server.
type Settings struct {
	Name string
	// Slots is how many requests run concurrently. Further requests are shed.
	Slots int
	// ServiceTime is the mean time of a request. The time of each request is uniformly distributed between 0.5 and 1.5 times
	// the mean.
	ServiceTime time.Duration
	// MeanAnswerBytes is the mean length of the padding of an answer. The length of each is uniformly distributed between 0
	// and twice that.
	MeanAnswerBytes int
	// ProbeCost is the time that a probe takes. A probe occupies a slot during that time if one is free.
	ProbeCost time.Duration
	// Connections provides the connection counts of Runs. They are 0 if it is nil.
	Connections *ConnectionCounter
	// Journal receives a line for each run when it begins, so that the runs are known after a crash. It may be nil.
	Journal io.Writer
	// Crash ends the process.
	Crash func()
	// OnOverrun is called for each request that took more than overrunThreshold longer than the time drawn for it, because
	// the process did not get the processor. It may be nil.
	OnOverrun func(drawn, took time.Duration)
}

// overrunThreshold is how much longer than drawn a request may take before it is reported. It is four times the mean
// service time of the fastest backend servers in the scenarios.
const overrunThreshold = 20 * time.Millisecond

// Server is one simulated backend server.
type Server struct {
	settings Settings
	slots    chan struct{}

	mu        sync.Mutex
	fault     Fault
	faultFrom time.Time
	runs      map[string]int
	lastWork  time.Time
	total     int
	probes    int
	trials    int
}

// New returns a backend server without faults.
func New(s Settings) *Server {
	return &Server{settings: s, slots: make(chan struct{}, s.Slots), runs: map[string]int{}}
}

// Handler returns the HTTP handler of the backend server.
func (s *Server) Handler() http.Handler {
	router := mux.NewRouter()
	router.HandleFunc("/control/fault", s.setFault).Methods(http.MethodPut)
	router.HandleFunc("/control/runs", s.getRuns).Methods(http.MethodGet)
	router.HandleFunc("/health", s.serveHealth).Methods(http.MethodGet)
	router.PathPrefix("/").HandlerFunc(s.serveWork)
	return router
}

// Runs is the report of the work of a backend server, which it serves at /control/runs.
type Runs struct {
	Name string `json:"name"`
	// ByID counts the runs by idempotency key, or by LoadIDHeader if a request has no key.
	ByID map[string]int `json:"by_id"`
	// LastWork is when the last run other than a trial began.
	LastWork time.Time `json:"last_work"`
	// FaultFrom is when the fault was last set or cleared, or zero if it never was.
	FaultFrom time.Time `json:"fault_from"`
	// Total counts all runs, including trials. Probes do not count as runs.
	Total  int `json:"total"`
	Probes int `json:"probes"`
	Trials int `json:"trials"`
	// MostConnections is the highest number of concurrent connections, ConnectionsOver the number of connections opened
	// while the limit was reached.
	MostConnections int `json:"most_connections"`
	ConnectionsOver int `json:"connections_over"`
}

func (s *Server) getRuns(w http.ResponseWriter, _ *http.Request) {
	peak, overLimit := 0, 0
	if s.settings.Connections != nil {
		peak, overLimit = s.settings.Connections.Counts()
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	_ = json.NewEncoder(w).Encode(Runs{
		Name: s.settings.Name, ByID: s.runs, LastWork: s.lastWork, FaultFrom: s.faultFrom, Total: s.total,
		Probes: s.probes, Trials: s.trials, MostConnections: peak, ConnectionsOver: overLimit,
	})
}

func (s *Server) setFault(w http.ResponseWriter, r *http.Request) {
	var f Fault
	if err := json.NewDecoder(r.Body).Decode(&f); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.fault, s.faultFrom = f, time.Now()
}

// currentFault returns the fault that is in effect, which alternates with none if FlapMS is set.
func (s *Server) currentFault() Fault {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.fault.FlapMS > 0 && time.Since(s.faultFrom).Milliseconds()/int64(s.fault.FlapMS)%2 == 1 {
		return Fault{}
	}
	return s.fault
}

func (s *Server) serveHealth(w http.ResponseWriter, _ *http.Request) {
	if s.settings.ProbeCost > 0 {
		if s.tryAcquireSlot() {
			defer func() { <-s.slots }()
		}
		time.Sleep(s.settings.ProbeCost)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.probes++
	_ = json.NewEncoder(w).Encode(map[string]bool{"healthy": true, "draining": s.fault.Drain})
}

// serveWork runs a request, or sheds it if no slot is free.
func (s *Server) serveWork(w http.ResponseWriter, r *http.Request) {
	w.Header().Set(header.RequestID, r.Header.Get(header.RequestID))
	fault := s.currentFault()
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	if fault.Drain {
		w.Header().Set(header.Draining, "true")
	}
	if fault.Shed || !s.tryAcquireSlot() {
		w.Header().Set(header.NotStarted, "true")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	defer func() { <-s.slots }()
	// The run is recorded first, because a request that crashes the process may have run.
	s.recordRun(r)
	if fault.CrashOn != "" && bytes.Contains(body, []byte(fault.CrashOn)) {
		s.settings.Crash()
	}
	elapsed := s.simulateWork(r, fault)
	w.Header().Set(ServiceTimeHeader, strconv.FormatInt(elapsed.Microseconds(), 10))
	s.answer(w, r, body, fault)
}

// tryAcquireSlot acquires a slot and returns true, or returns false if none is free.
func (s *Server) tryAcquireSlot() bool {
	select {
	case s.slots <- struct{}{}:
		return true
	default:
		return false
	}
}

// recordRun counts the run of a request and writes it to the journal.
func (s *Server) recordRun(r *http.Request) {
	id := r.Header.Get(header.IdempotencyKey)
	if id == "" {
		id = r.Header.Get(LoadIDHeader)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.total++
	now := time.Now()
	if r.Header.Get(header.Trial) == "true" {
		s.trials++
	} else {
		s.lastWork = now
	}
	if id != "" {
		s.runs[id]++
	}
	s.settings.writeRun(now, id)
}

// simulateWork sleeps for the time of a request and returns how long it took. It returns early if the client disconnects.
func (s *Server) simulateWork(r *http.Request, fault Fault) time.Duration {
	begin := time.Now()
	d := s.settings.ServiceTime/2 + rand.N(s.settings.ServiceTime+1)
	if fault.SlowFactor > 0 {
		d = time.Duration(float64(d) * fault.SlowFactor)
	}
	d += rand.N(time.Duration(fault.LateMS)*time.Millisecond + 1)
	select {
	case <-time.After(d):
	case <-r.Context().Done():
	}
	took := time.Since(begin)
	if s.settings.OnOverrun != nil && took > d+overrunThreshold {
		s.settings.OnOverrun(d, took)
	}
	return took
}
