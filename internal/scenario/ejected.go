package scenario

import (
	"encoding/json"
	"errors"
	"fmt"
	"slices"
	"time"

	"github.com/primroseladder/primroseladder/internal/entry"
	"github.com/primroseladder/primroseladder/internal/periodic"
)

// expectEjected waits until entries report a backend server as ejected: "expect ejected NAME [by VM|any|every]". Without
// "by" one entry is enough.
func (f *Fleet) expectEjected(args []string, timeout time.Duration) error {
	return f.expectEjectionState(args, "any", true, timeout)
}

// expectInService waits until entries report a backend server as in service: "expect in-service NAME [by VM|any|every]".
// Without "by" all entries must agree.
func (f *Fleet) expectInService(args []string, timeout time.Duration) error {
	return f.expectEjectionState(args, "every", false, timeout)
}

func (f *Fleet) expectEjectionState(args []string, observer string, wantEjected bool, timeout time.Duration) error {
	if len(args) == 3 && args[1] == "by" {
		observer = args[2]
	} else if len(args) != 1 {
		return errors.New("usage: expect ejected|in-service NAME [by VM|any|every]")
	}
	vm, err := f.vm(args[0])
	if err != nil {
		return err
	}
	return periodic.Poll(timeout, func() error {
		agreeing, total := 0, 0
		for _, p := range f.entryProcesses(observer) {
			ejected, known, err := isEjected(p, vm.Service, vm.Name)
			if err != nil {
				return err
			}
			if !known {
				continue
			}
			total++
			if ejected == wantEjected {
				agreeing++
			}
		}
		if agreeing == 0 || (observer != "any" && agreeing < total) {
			return fmt.Errorf("%d of %d entries report ejected=%t for %s", agreeing, total, wantEjected, vm.Name)
		}
		return nil
	})
}

// entryProcesses returns the entry process of the named VM, or those of all VMs for "any" and "every", if they run.
func (f *Fleet) entryProcesses(observer string) []*process {
	var out []*process
	for _, vm := range f.entryVMs() {
		p := f.processes[vm.Name+entrySuffix]
		if p.IsRunning() && (observer == "any" || observer == "every" || observer == vm.Name) {
			out = append(out, p)
		}
	}
	return out
}

// isEjected reports whether an entry has ejected a backend server. known is false if the entry does not serve the service:
// then its status does not include it.
func isEjected(p *process, service, name string) (ejected, known bool, err error) {
	body, err := get(p.statusURL)
	if err != nil {
		return false, false, err
	}
	var status entry.Status
	if err := json.Unmarshal(body, &status); err != nil {
		return false, false, periodic.Permanent(err)
	}
	report, known := status.Services[service]
	return slices.Contains(report.Out, name), known, nil
}
