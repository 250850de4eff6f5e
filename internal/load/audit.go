package load

import (
	"context"
	"encoding/json"
	"net/http"
	"time"

	"github.com/primroseladder/primroseladder/internal/fleet"
	"github.com/primroseladder/primroseladder/internal/outcome"
	"github.com/primroseladder/primroseladder/internal/standin/backendserver"
)

// Audit counts requests by the outcome that their callers received, and the contradictions between these outcomes and the runs
// that the backend servers recorded.
type Audit struct {
	Sent int `json:"sent"`
	// Served, Refused and Unknown count the requests with the outcomes done, not-run and any other.
	Served  int `json:"served"`
	Refused int `json:"refused_not_run"`
	Unknown int `json:"outcome_unknown"`
	// RunTwice counts non-idempotent requests with more than one run.
	RunTwice int `json:"run_twice"`
	// FalseNotRun counts requests with the outcome not-run that did run.
	FalseNotRun int `json:"false_not_run"`
	// AnswerMismatch counts requests with the outcome done and status 200 whose answer is incomplete or belongs to another request.
	AnswerMismatch int `json:"not_whole"`
	// FalseDone counts requests with the outcome done that never ran.
	FalseDone int `json:"missing"`
	// Unreachable counts backend servers whose runs could not be read.
	Unreachable int `json:"unreachable"`
}

// IsClean reports whether every request is accounted for: it has one outcome, and no outcome contradicts the runs.
func (a Audit) IsClean() bool {
	return a.RunTwice+a.FalseNotRun+a.AnswerMismatch+a.FalseDone == 0 && a.Sent == a.Served+a.Refused+a.Unknown
}

// AuditRequests compares the outcomes of requests with the runs of the backend servers. It leaves Unreachable at 0.
func AuditRequests(requests []Sent, runs []backendserver.Runs) Audit {
	runsByID := map[string]int{}
	for _, r := range runs {
		for id, n := range r.ByID {
			runsByID[id] += n
		}
	}
	var a Audit
	for _, s := range requests {
		a.Sent++
		n := runsByID[s.ID]
		if !s.Idempotent && n > 1 {
			a.RunTwice++
		}
		switch outcome.Outcome(s.Outcome) {
		case outcome.Done:
			a.Served++
			if n == 0 {
				a.FalseDone++
			}
			if s.Status == http.StatusOK && !s.AnswerMatches {
				a.AnswerMismatch++
			}
		case outcome.NotRun:
			a.Refused++
			if n > 0 {
				a.FalseNotRun++
			}
		default:
			a.Unknown++
		}
	}
	return a
}

// FetchRuns reads the recorded runs of the backend servers, and returns the number of servers whose runs could not be read.
func FetchRuns(ctx context.Context, servers []fleet.VM) (runs []backendserver.Runs, unreachable int) {
	for _, vm := range servers {
		r, err := fetchRuns(ctx, vm.Address)
		if err != nil {
			unreachable++
			continue
		}
		runs = append(runs, r)
	}
	return runs, unreachable
}

func fetchRuns(ctx context.Context, address string) (backendserver.Runs, error) {
	ctx, cancel := context.WithTimeout(ctx, 5*time.Second)
	defer cancel()
	var r backendserver.Runs
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+"/control/runs", nil)
	if err != nil {
		return r, err
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return r, err
	}
	defer resp.Body.Close()
	return r, json.NewDecoder(resp.Body).Decode(&r)
}

// Add adds the counts of another audit.
func (a *Audit) Add(other Audit) {
	a.Sent += other.Sent
	a.Served += other.Served
	a.Refused += other.Refused
	a.Unknown += other.Unknown
	a.RunTwice += other.RunTwice
	a.FalseNotRun += other.FalseNotRun
	a.AnswerMismatch += other.AnswerMismatch
	a.FalseDone += other.FalseDone
	a.Unreachable += other.Unreachable
}
