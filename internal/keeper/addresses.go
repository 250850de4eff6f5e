package keeper

import (
	"encoding/json"
	"math/rand/v2"
	"net/http"

	"github.com/gorilla/mux"

	"github.com/primroseladder/primroseladder/internal/fleet"
	"github.com/primroseladder/primroseladder/internal/placement"
)

// Addresses is the answer to a caller that asks which VMs to use for a service.
type Addresses struct {
	Service string `json:"service"`
	Region  string `json:"region"`
	// Addresses lists the callers' listeners of the VMs in the order in which the caller should try them.
	Addresses []string `json:"addresses"`
	// KeepMS is how long the caller may cache the answer, in milliseconds.
	KeepMS int64 `json:"keep_ms"`
}

// CallerRouter returns the handler that answers callers at /v1/addresses. A starting keeper does not know yet which
// VMs have announced that they are leaving; its own VM may be one of them. It answers 503 until it is ready.
func CallerRouter(s *Settings, state *State) http.Handler {
	router := mux.NewRouter()
	router.HandleFunc("/v1/addresses", func(w http.ResponseWriter, r *http.Request) {
		region := r.URL.Query().Get("region")
		if region == "" {
			region = s.Region
		}
		service := r.URL.Query().Get("service")
		if service == "" {
			http.Error(w, "the query parameter service must be set", http.StatusBadRequest)
			return
		}
		if !state.Readiness.IsReady() {
			http.Error(w, "this keeper has not compared with others since it started; ask another", http.StatusServiceUnavailable)
			return
		}
		answer := Addresses{Service: service, Region: region, KeepMS: s.AnswerLifetime.Std().Milliseconds()}
		group := callerGroup(service, region, state)
		rand.Shuffle(len(group), func(i, j int) { group[i], group[j] = group[j], group[i] })
		for _, vm := range group {
			answer.Addresses = append(answer.Addresses, vm.CallerAddress)
		}
		w.Header().Set("Content-Type", "application/json")
		_ = json.NewEncoder(w).Encode(answer)
	}).Methods(http.MethodGet)
	return router
}

// callerGroup returns the VMs that serve a service: those of the region; if no VM of the region accepts new work, those
// of all regions; if no VM at all accepts new work, those that are leaving but still answer.
func callerGroup(service, region string, state *State) []fleet.VM {
	view := state.View()
	for _, scope := range []string{region, ""} {
		if group := placement.Group(service, scope, view, placement.DefaultGroupSize); len(group) > 0 {
			return group
		}
	}
	return placement.Group(service, "", state.List(), placement.DefaultGroupSize)
}
