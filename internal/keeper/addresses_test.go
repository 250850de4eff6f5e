package keeper

import (
	"net/http"
	"net/http/httptest"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/primroseladder/primroseladder/internal/fleet"
)

// TestStartingKeeperRejectsCallers checks that a keeper does not answer callers before it has compared with others:
// its own VM may have a leave notice that it does not know yet.
func TestStartingKeeperRejectsCallers(t *testing.T) {
	c := qt.New(t)
	state := NewState()
	state.SetList(fleet.NewView(1, []fleet.VM{
		{Name: "entry-0", Role: fleet.RoleEntry, State: fleet.StateLive, Region: "perth", CallerAddress: "127.0.0.1:1"},
	}))
	s := DefaultSettings()
	s.Region = "perth"
	router := CallerRouter(s, state)
	ask := func() int {
		w := httptest.NewRecorder()
		router.ServeHTTP(w, httptest.NewRequest(http.MethodGet, "/v1/addresses?service=deposits", nil))
		return w.Code
	}
	c.Assert(ask(), qt.Equals, http.StatusServiceUnavailable)
	state.Readiness.RecordStoreConfirmation()
	state.Readiness.RecordPeerComparison(true, true)
	c.Assert(state.Readiness.Evaluate("entry-0", "perth-a", 1, state.View()), qt.IsTrue)
	c.Assert(ask(), qt.Equals, http.StatusOK)
}
