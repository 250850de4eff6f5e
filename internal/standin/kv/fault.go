package kv

import (
	"encoding/json"
	"maps"
	"net/http"
	"time"
)

// Fault is how the service misbehaves.
type Fault struct {
	// Down makes each call end without an answer.
	Down bool `json:"down,omitempty"`
	// LoseAnswers makes writes take effect and end without an answer.
	LoseAnswers bool `json:"lose_answers,omitempty"`
	// LoseNext makes so many next writes take effect and end without an answer.
	LoseNext int `json:"lose_next,omitempty"`
	// LateMS makes writes end without an answer and take effect so many milliseconds later.
	LateMS int `json:"late_ms,omitempty"`
	// LagMS makes reads without "consistent" show the state of so many milliseconds ago.
	LagMS int `json:"lag_ms,omitempty"`
	// LagAll makes the lag hold for reads with "consistent" too.
	LagAll bool `json:"lag_all,omitempty"`
	// DelayMS delays each call.
	DelayMS int `json:"delay_ms,omitempty"`
}

// lag returns how old the state is that a read shows.
func (f Fault) lag(isConsistent bool) time.Duration {
	if isConsistent && !f.LagAll {
		return 0
	}
	return time.Duration(f.LagMS) * time.Millisecond
}

// controlResponse is the answer of the control listener.
type controlResponse struct {
	Fault Fault          `json:"fault"`
	Calls map[string]int `json:"calls"`
	Index uint64         `json:"index"`
}

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

// serveBackup keeps the present state.
func (s *Service) serveBackup(http.ResponseWriter, *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.backup = maps.Clone(s.pairs)
}

// serveRestore goes back to the kept state.
func (s *Service) serveRestore(http.ResponseWriter, *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.pairs = maps.Clone(s.backup)
	if s.pairs == nil {
		s.pairs = map[string]pair{}
	}
	s.notifyWaiters()
}
