package kv

import (
	"encoding/json"
	"maps"
	"net/http"
	"time"
)

// Fault describes how the service misbehaves.
type Fault struct {
	// Down closes the connection of each call without a response. Writes have no effect.
	Down bool `json:"down,omitempty"`
	// LoseAnswers makes writes take effect but closes their connections without a response.
	LoseAnswers bool `json:"lose_answers,omitempty"`
	// LoseNext is the number of next writes to which LoseAnswers applies.
	LoseNext int `json:"lose_next,omitempty"`
	// LateMS closes the connection of each write without a response and applies the write this many milliseconds later.
	LateMS int `json:"late_ms,omitempty"`
	// LagMS is the age, in milliseconds, of the state that reads without the query parameter "consistent" return.
	LagMS int `json:"lag_ms,omitempty"`
	// LagAll makes LagMS also apply to reads with "consistent".
	LagAll bool `json:"lag_all,omitempty"`
	// DelayMS delays each call by this many milliseconds.
	DelayMS int `json:"delay_ms,omitempty"`
}

// lag returns the age of the state that a read returns.
func (f Fault) lag(isConsistent bool) time.Duration {
	if isConsistent && !f.LagAll {
		return 0
	}
	return time.Duration(f.LagMS) * time.Millisecond
}

// controlResponse is the response to /control/kv: the current fault, the number of calls for each HTTP method and the index
// of the last write.
type controlResponse struct {
	Fault Fault          `json:"fault"`
	Calls map[string]int `json:"calls"`
	Index uint64         `json:"index"`
}

// serveControl returns the state of the service. A PUT request replaces the fault first.
func (s *Service) serveControl(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if r.Method == http.MethodPut {
		var f Fault
		if err := json.NewDecoder(r.Body).Decode(&f); err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		s.fault = f
		s.notifyWaiters()
	}
	_ = json.NewEncoder(w).Encode(controlResponse{s.fault, maps.Clone(s.calls), s.index})
}

// serveBackup saves the current state for serveRestore.
func (s *Service) serveBackup(http.ResponseWriter, *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.backup = maps.Clone(s.pairs)
}

// serveRestore returns to the saved state, or to an empty one if none was saved.
func (s *Service) serveRestore(http.ResponseWriter, *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.pairs = maps.Clone(s.backup)
	if s.pairs == nil {
		s.pairs = map[string]pair{}
	}
	s.notifyWaiters()
}
