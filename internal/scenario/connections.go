package scenario

import (
	"encoding/json"
	"errors"
	"testing"
	"time"

	"github.com/primroseladder/primroseladder/internal/standin/backendserver"
)

// connectionCounts asks all running backend servers for their connection statistics. It returns the highest number of
// simultaneous connections to one of them, and how many connections were opened above the limit of their backend server.
func (f *Fleet) connectionCounts() (most, excess int, err error) {
	var errs []error
	for _, vm := range f.backendServers() {
		if !f.processes[vm.Name].IsRunning() {
			continue
		}
		body, err := get("http://" + vm.Address + "/control/runs")
		if err != nil {
			errs = append(errs, err)
			continue
		}
		var runs backendserver.Runs
		errs = append(errs, json.Unmarshal(body, &runs))
		most = max(most, runs.MostConnections)
		excess += runs.ConnectionsOver
	}
	return most, excess, errors.Join(errs...)
}

// expectConnections checks the highest number of simultaneous connections to one backend server: "expect connections <=40".
func (f *Fleet) expectConnections(args []string, _ time.Duration) error {
	most, _, err := f.connectionCounts()
	if err != nil {
		return err
	}
	return checkUnnamed(args, "connections", float64(most))
}

// checkConnections fails the scenario if more connections to a backend server were opened than its limit allows.
func (f *Fleet) checkConnections(tb testing.TB) {
	most, excess, err := f.connectionCounts()
	if err != nil {
		tb.Errorf("connections: %v", err)
	}
	tb.Logf("connections: at most %d to one backend server", most)
	if excess > 0 {
		tb.Errorf("connections: %d were opened above the limit of their backend server", excess)
	}
}
