// Package backendserver is a stand-in for a backend server, for tests and the demo. It counts its runs and can be
// made to fail.
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

// LoadIDHeader names one send of the load tool. Backend servers count their runs by it.
const LoadIDHeader = "Load-Id"

// ServiceTimeHeader is how long the backend server worked on the request in microseconds.
const ServiceTimeHeader = "Service-Micros"

// Fault is how the backend server misbehaves. Probes stay green but for Down.
type Fault struct {
	// ErrorPercent of the work is answered with status 500.
	ErrorPercent int `json:"error_percent,omitempty"`
	// SlowFactor multiplies the service time.
	SlowFactor float64 `json:"slow_factor,omitempty"`
	// LoseAnswers runs the work and closes the connection.
	LoseAnswers bool `json:"lose_answers,omitempty"`
	// Truncate ends each answer before its declared length.
	Truncate bool `json:"truncate,omitempty"`
	// TrickleMS is the time between two bytes of an answer in milliseconds.
	TrickleMS int `json:"trickle_ms,omitempty"`
	// Shed refuses all work before it starts.
	Shed bool `json:"shed,omitempty"`
	// Drain marks each answer with the draining header.
	Drain bool `json:"drain,omitempty"`
	// FlapMS turns the other faults on and off in turn, for so long each.
	FlapMS int `json:"flap_ms,omitempty"`
	// LateMS delays each answer by a random time up to so many milliseconds, so that answers overtake each other.
	LateMS int `json:"late_ms,omitempty"`
	// SpoilPercent of the answers are spoilt, each in one of the ways of package backendserver, drawn at random.
	SpoilPercent int `json:"spoil_percent,omitempty"`
	// CrashOn ends the process when the body of a request holds this text.
	CrashOn string `json:"crash_on,omitempty"`
}

// Settings are the settings of one backend server.
type Settings struct {
	Name string
	// Slots is how many requests run at a time. More are shed.
	Slots int
	// ServiceTime is the mean time of a request. Each takes between half of it and one and a half.
	ServiceTime time.Duration
	// MeanAnswerBytes is the mean length of an answer. Each is between 0 and twice as long.
	MeanAnswerBytes int
	// ProbeCost is the time that a probe takes. It holds a slot where one is free.
	ProbeCost time.Duration
	// Connections counts the connections. Nil counts none.
	Connections *ConnectionCounter
	// Journal takes a line for each run as it begins, so that the runs are known after a crash. Nil keeps none.
	Journal io.Writer
	// Crash ends the process.
	Crash func()
	// OnOverrun is told of each request that took far longer than was drawn for it, because the process did not get the
	// processor. Nil is told of none.
	OnOverrun func(drawn, took time.Duration)
}

// overrunThreshold is how much longer than drawn a request takes before it is reported: four times the mean time of the quickest
// backend servers of the scenarios.
const overrunThreshold = 20 * time.Millisecond

// Server is one backend server.
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

// New returns a backend server.
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

// Runs is what a backend server did.
type Runs struct {
	Name string `json:"name"`
	// ByID counts the runs by idempotency key, or by load id where a request has no key.
	ByID map[string]int `json:"by_id"`
	// LastWork is when the last request came, other than a trial.
	LastWork  time.Time `json:"last_work"`
	FaultFrom time.Time `json:"fault_from"`
	Total     int       `json:"total"`
	Probes    int       `json:"probes"`
	Trials    int       `json:"trials"`
	// MostConnections is the highest number of connections at a time, ConnectionsOver how many were above the bound.
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

// currentFault returns the fault that is active now.
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
	// A request that crashes the process may have run.
	s.recordRun(r)
	if fault.CrashOn != "" && bytes.Contains(body, []byte(fault.CrashOn)) {
		s.settings.Crash()
	}
	elapsed := s.simulateWork(r, fault)
	w.Header().Set(ServiceTimeHeader, strconv.FormatInt(elapsed.Microseconds(), 10))
	s.answer(w, r, body, fault)
}

func (s *Server) tryAcquireSlot() bool {
	select {
	case s.slots <- struct{}{}:
		return true
	default:
		return false
	}
}

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
