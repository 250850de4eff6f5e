package keeper

import (
	"encoding/json"
	"expvar"
	"net/http"
	"sync"

	"github.com/primroseladder/primroseladder/internal/operator"
	"github.com/primroseladder/primroseladder/internal/store"
)

// Status is the answer to operators about the state of a keeper.
type Status struct {
	VM         string `json:"vm"`
	Region     string `json:"region"`
	Zone       string `json:"zone"`
	Revision   uint64 `json:"revision"`
	ListIndex  uint64 `json:"list_index"`
	StoreCalls int64  `json:"store_calls"`
	// Ready is set once the catalogue has been confirmed after the start.
	Ready bool `json:"ready"`
	// StoreReadAgeMS is how long ago the store confirmed the revision, in milliseconds, or -1 if it never did.
	StoreReadAgeMS int64 `json:"store_read_age_ms"`
	// SilenceMS is for how long neither the store nor any keeper has answered, in milliseconds.
	SilenceMS int64 `json:"silence_ms"`
	// Watcher is set if this keeper waits at the store for its region.
	Watcher bool `json:"watcher"`
	// StoreBehind is how many revisions the store lacked at the last check.
	StoreBehind uint64 `json:"store_behind"`
	// Forked is a revision at which the store or another keeper has a different history, or 0.
	Forked uint64 `json:"forked"`
}

// OperatorRouter returns the handler that answers operators: the status, this keeper's VM list, and the counters.
func OperatorRouter(s *Settings, state *State, roles *Roles, client *store.Client) http.Handler {
	router := operator.NewRouter(func() any { return statusOf(s, state, roles, client) })
	router.HandleFunc("/vms", func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "application/json")
		_ = json.NewEncoder(w).Encode(state.View().VMs())
	}).Methods(http.MethodGet)
	return router
}

func statusOf(s *Settings, state *State, roles *Roles, client *store.Client) Status {
	out := Status{
		VM: s.VM, Region: s.Region, Zone: s.Zone, Revision: state.Catalogue.Revision(), ListIndex: state.View().Index,
		StoreCalls: client.Calls(), Ready: state.Readiness.IsReady(), StoreReadAgeMS: -1,
		SilenceMS: state.Freshness.SinceLastContact().Milliseconds(), Watcher: roles.IsWatcher(),
		StoreBehind: state.StoreBehind(), Forked: state.ForkRevision(),
	}
	if age, known := state.Freshness.Age(); known {
		out.StoreReadAgeMS = age.Milliseconds()
	}
	return out
}

var publishOnce sync.Once

// publishCounters publishes the numbers of calls to the store at /debug/vars.
func publishCounters(client *store.Client) {
	publishOnce.Do(func() {
		expvar.Publish("store_calls", expvar.Func(func() any { return client.Calls() }))
		expvar.Publish("store_reads", expvar.Func(func() any { return client.Reads() }))
		expvar.Publish("store_writes", expvar.Func(func() any { return client.Writes() }))
	})
}
