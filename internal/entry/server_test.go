package entry_test

import (
	"context"
	"errors"
	"net/http"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/primroseladder/primroseladder/internal/catalogue"
	"github.com/primroseladder/primroseladder/internal/entry"
	"github.com/primroseladder/primroseladder/internal/fleet"
	"github.com/primroseladder/primroseladder/internal/outcome"
	"github.com/primroseladder/primroseladder/internal/request"
	"github.com/primroseladder/primroseladder/internal/settings"
	"github.com/primroseladder/primroseladder/internal/snapshot"
)

// forwardResult is the result of one Forward call.
type forwardResult struct {
	response *request.Response
	started  bool
	err      error
}

// scriptedForwarder is a Forwarder that returns the given results in order.
type scriptedForwarder struct{ results []forwardResult }

func (f *scriptedForwarder) Forward(context.Context, fleet.VM, *request.Request) (*request.Response, bool, error) {
	r := f.results[0]
	f.results = f.results[1:]
	return r.response, r.started, r.err
}

// TestForwardOutcome checks the outcome that is reported after a VM of the group may have run the request: a later refusal by
// another VM must not be reported as not-run.
func TestForwardOutcome(t *testing.T) {
	lost := forwardResult{started: true, err: errors.New("connection lost")}
	unreachable := forwardResult{err: errors.New("no connection")}
	refused := forwardResult{response: &request.Response{Outcome: outcome.NotRun}}
	done := forwardResult{response: &request.Response{Outcome: outcome.Done}}
	tests := []struct {
		name       string
		idempotent bool
		results    []forwardResult
		want       outcome.Outcome
	}{
		{"refused", false, []forwardResult{refused}, outcome.NotRun},
		{"unreachable, then refused", false, []forwardResult{unreachable, refused}, outcome.NotRun},
		{"idempotent, lost, then refused", true, []forwardResult{lost, refused}, outcome.Unknown},
		{"idempotent, lost, then done", true, []forwardResult{lost, done}, outcome.Done},
		{"non-idempotent, lost", false, []forwardResult{lost}, outcome.Unknown},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			holder := snapshot.NewHolder()
			holder.ApplyView(fleet.NewView(1, []fleet.VM{
				{Name: "other-1", Role: fleet.RoleEntry, State: fleet.StateLive, Region: "perth"},
				{Name: "other-2", Role: fleet.RoleEntry, State: fleet.StateLive, Region: "perth"},
			}))
			server := entry.NewServer(&entry.Settings{Common: settings.Common{VM: "self", Region: "perth"}}, holder, nil, nil,
				&scriptedForwarder{test.results})
			response := server.Serve(context.Background(), &request.Request{
				Entry: &catalogue.Entry{Service: "deposits"}, Header: http.Header{}, Idempotent: test.idempotent,
				Deadline: time.Now().Add(time.Minute),
			})
			qt.Assert(t, response.Outcome, qt.Equals, test.want)
		})
	}
}
