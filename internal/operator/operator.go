// Package operator implements the HTTP interface of a process for operators: /status, the expvar counters at /debug/vars,
// and profiles at /debug/pprof/profile and /debug/pprof/heap.
package operator

import (
	"encoding/json"
	"expvar"
	"net/http"
	"net/http/pprof"

	"github.com/gorilla/mux"
)

// NewRouter returns the handler of the operators' listener. It calls status for each request to /status and encodes the result
// as JSON.
func NewRouter(status func() any) *mux.Router {
	router := mux.NewRouter()
	router.Handle("/debug/vars", expvar.Handler()).Methods(http.MethodGet)
	router.HandleFunc("/debug/pprof/profile", pprof.Profile).Methods(http.MethodGet)
	router.Handle("/debug/pprof/heap", pprof.Handler("heap")).Methods(http.MethodGet)
	router.HandleFunc("/status", func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "application/json")
		_ = json.NewEncoder(w).Encode(status())
	}).Methods(http.MethodGet)
	return router
}
