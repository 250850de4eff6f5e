package keeper

import (
	"encoding/json"
	"expvar"
	"net/http"
	"sync"

	"github.com/primroseladder/primroseladder/internal/operator"
	"github.com/primroseladder/primroseladder/internal/store"
)

// Status is what a keeper tells operators.
type Status struct {
	VM         string `json:"vm"`
	Region     string `json:"region"`
	Zone       string `json:"zone"`
	Revision   uint64 `json:"revision"`
	ListIndex  uint64 `json:"list_index"`
	StoreCalls int64  `json:"store_calls"`
	// Ready says that the catalogue was confirmed after the start.
	Ready bool `json:"ready"`
	// StoreReadAgeMS is how long ago the store confirmed the revision, in milliseconds, or -1 where it never did.
	StoreReadAgeMS int64 `json:"store_read_age_ms"`
	// SilenceMS is how long neither the store nor a keeper has answered, in milliseconds.
	SilenceMS int64 `json:"silence_ms"`
	// Watcher says that this keeper waits at the store.
	Watcher bool `json:"watcher"`
	// StoreBehind is how many revisions the store lacked at the last check.
	StoreBehind uint64 `json:"store_behind"`
	// Forked is a revision that another history holds too.
	Forked uint64 `json:"forked"`
}

// OperatorRouter answers operators: the status, the VM list as this keeper knows it, and the counters.
func OperatorRouter(s *Settings, state *State, roles *Roles, client *store.Client) http.Handler {
	router := operator.Router(func() any { return statusOf(s, state, roles, client) })
	router.HandleFunc("/vms", func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "application/json")
		_ = json.NewEncoder(w).Encode(state.View().List())
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

// publishCounters makes the calls to the store readable at /debug/vars.
func publishCounters(client *store.Client) {
	publishOnce.Do(func() {
		expvar.Publish("store_calls", expvar.Func(func() any { return client.Calls() }))
		expvar.Publish("store_reads", expvar.Func(func() any { return client.Reads() }))
		expvar.Publish("store_writes", expvar.Func(func() any { return client.Writes() }))
	})
}
