// Package vms simulates the platform's list of live and leaving VMs, for tests and the demo. Package vmlist is its client.
package vms

import (
	"encoding/json"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/gorilla/mux"

	"github.com/primroseladder/primroseladder/internal/fleet"
	"github.com/primroseladder/primroseladder/internal/vmlist"
)

// Service serves the VM list. It is safe for concurrent use.
type Service struct {
	mu   sync.Mutex
	list vmlist.List
	// changed is closed at the next change of list.
	changed chan struct{}
}

// New returns a service whose list has index 1 and the given VMs.
func New(initial []fleet.VM) *Service {
	return &Service{list: vmlist.List{Index: 1, VMs: initial}, changed: make(chan struct{})}
}

// Register adds the routes of the service to a router.
func (s *Service) Register(router *mux.Router) {
	router.HandleFunc("/v1/vms", s.get).Methods(http.MethodGet)
	router.HandleFunc("/control/vms", s.replace).Methods(http.MethodPut)
	router.HandleFunc("/control/vms/{name}/{state}", s.setState).Methods(http.MethodPut)
}

// get responds with the list as soon as its index is above the query parameter index, at the latest after the time in the
// query parameter wait.
func (s *Service) get(w http.ResponseWriter, r *http.Request) {
	after, _ := strconv.ParseUint(r.URL.Query().Get("index"), 10, 64)
	wait, _ := time.ParseDuration(r.URL.Query().Get("wait"))
	deadline := time.After(wait)
	for {
		s.mu.Lock()
		list, changed := s.list, s.changed
		s.mu.Unlock()
		if list.Index > after || wait == 0 {
			_ = json.NewEncoder(w).Encode(list)
			return
		}
		select {
		case <-changed:
		case <-r.Context().Done():
			return
		case <-deadline:
			_ = json.NewEncoder(w).Encode(list)
			return
		}
	}
}

// Update replaces the VMs by the result of change, which gets a copy of them, and increments the index of the list.
func (s *Service) Update(change func(vms []fleet.VM) []fleet.VM) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.list = vmlist.List{Index: s.list.Index + 1, VMs: change(append([]fleet.VM(nil), s.list.VMs...))}
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *Service) replace(w http.ResponseWriter, r *http.Request) {
	var vms []fleet.VM
	if err := json.NewDecoder(r.Body).Decode(&vms); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	s.Update(func([]fleet.VM) []fleet.VM { return vms })
}

// setState sets the state of a VM, such as live or leaving. The state "gone" removes the VM from the list.
func (s *Service) setState(_ http.ResponseWriter, r *http.Request) {
	name, state := mux.Vars(r)["name"], mux.Vars(r)["state"]
	s.Update(func(vms []fleet.VM) []fleet.VM {
		var out []fleet.VM
		for _, vm := range vms {
			if vm.Name == name && state == "gone" {
				continue
			}
			if vm.Name == name {
				vm.State = fleet.State(state)
			}
			out = append(out, vm)
		}
		return out
	})
}
