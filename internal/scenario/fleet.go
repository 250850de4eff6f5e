// Package scenario runs scripted failure scenarios against a fleet of real processes on this machine. Scripts are txtar
// files for testscript; docs/SCENARIOS.md describes their commands. Entries, keepers and backend servers run as processes
// of their own; the platform, the callers and the network links are simulated inside the test process.
package scenario

import (
	"errors"
	"fmt"
	"path/filepath"
	"slices"
	"strings"
	"time"

	"github.com/primroseladder/primroseladder/internal/fleet"
)

// Names of the link endpoints that are not VMs.
const (
	nameCallers = "callers"
	nameStore   = "store"
	nameList    = "list"
)

// startTimeout is how long a process may take until it is ready.
const startTimeout = 20 * time.Second

// Fleet is the fleet of one scenario: its processes, network, platform, loads and monitors.
type Fleet struct {
	programDir string
	dir        string
	ports      *portAllocator
	topology   topology
	platform   *platform
	network    *network
	// vms is the VM list with the listen addresses of the processes.
	vms []fleet.VM
	// callerViews are the entry VMs by name, with the addresses at which callers reach them over the relays.
	callerViews map[string]fleet.VM
	// operatorListeners are the addresses of the operators' listeners by process name.
	operatorListeners map[string]string
	processes         map[string]*process
	loads             map[string]*backgroundLoad
	calls             []recordedCall
	// commandTimes holds when a command last changed a VM or process, by the name given to the command: see expectNoNewWork.
	commandTimes map[string]time.Time
	// revision is the last accepted catalogue revision.
	revision uint64
	// revisionMonitor is nil unless the scenario has run "revisions watch".
	revisionMonitor *revisionMonitor
	// floorMonitor is nil until start has succeeded.
	floorMonitor *floorMonitor
	// failure describes the command at which the scenario failed.
	failure string
}

func newFleet(programDir, dir string, p *portAllocator) *Fleet {
	return &Fleet{
		programDir: programDir, dir: dir, ports: p, callerViews: map[string]fleet.VM{},
		operatorListeners: map[string]string{}, processes: map[string]*process{},
		loads: map[string]*backgroundLoad{}, commandTimes: map[string]time.Time{},
	}
}

// start builds the fleet, starts its processes and waits until all of them are ready.
func (f *Fleet) start(t topology) error {
	f.topology = t
	f.network = newNetwork(t.hasRelays)
	var err error
	if f.platform, err = newPlatform(); err != nil {
		return err
	}
	if err := f.assignAddresses(); err != nil {
		return err
	}
	for _, vm := range f.vms {
		if err := f.addProcesses(vm); err != nil {
			return err
		}
	}
	if t.hasDistances {
		f.setDistances()
	}
	if err := f.startProcesses(); err != nil {
		return err
	}
	var urls []string
	for _, vm := range f.entryVMs() {
		urls = append(urls, f.processes[vm.Name+entrySuffix].statusURL)
	}
	f.floorMonitor = newFloorMonitor(urls)
	return nil
}

// assignAddresses creates the VM list and allocates the listen addresses of all processes.
func (f *Fleet) assignAddresses() error {
	f.vms = f.topology.vms()
	var errs []error
	allocate := func() string {
		address, err := f.ports.allocate()
		errs = append(errs, err)
		return address
	}
	for i := range f.vms {
		vm := &f.vms[i]
		if vm.Role == fleet.RoleBackendServer {
			vm.Address = allocate()
			continue
		}
		vm.CallerAddress, vm.EntryAddress = allocate(), allocate()
		vm.KeeperAddress, vm.KeeperCallerAddress = allocate(), allocate()
		f.operatorListeners[vm.Name+entrySuffix], f.operatorListeners[vm.Name+keeperSuffix] = allocate(), allocate()
	}
	return errors.Join(errs...)
}

// addProcesses adds the processes of a VM to the fleet without starting them.
func (f *Fleet) addProcesses(vm fleet.VM) error {
	if vm.Role == fleet.RoleBackendServer {
		return f.addBackendServer(vm)
	}
	return f.addEntryVM(vm)
}

func (f *Fleet) startProcesses() error {
	for _, name := range f.processNames() {
		if err := f.processes[name].Start(); err != nil {
			return err
		}
	}
	for _, name := range f.processNames() {
		if err := f.processes[name].awaitReady(startTimeout); err != nil {
			return err
		}
	}
	return nil
}

func (f *Fleet) processNames() []string {
	var names []string
	for name := range f.processes {
		names = append(names, name)
	}
	slices.Sort(names)
	return names
}

// processesOf returns the process of that name, or the processes of the VM of that name.
func (f *Fleet) processesOf(name string) ([]*process, error) {
	if p := f.processes[name]; p != nil {
		return []*process{p}, nil
	}
	var found []*process
	for _, suffix := range []string{entrySuffix, keeperSuffix} {
		if p := f.processes[name+suffix]; p != nil {
			found = append(found, p)
		}
	}
	if len(found) == 0 {
		return nil, fmt.Errorf("no VM or process %q", name)
	}
	return found, nil
}

// expandName returns the link endpoints that a name selects: the callers, the store or the VM list, one VM, the VMs of a
// region, zone or service, or all endpoints for "*".
func (f *Fleet) expandName(name string) []string {
	if name == nameCallers || name == nameStore || name == nameList {
		return []string{name}
	}
	var names []string
	for _, vm := range f.vms {
		if name == "*" || slices.Contains([]string{vm.Name, vm.Region, vm.Zone, vm.Service}, name) {
			names = append(names, vm.Name)
		}
	}
	if name == "*" {
		names = append(names, nameCallers, nameStore, nameList)
	}
	return names
}

func (f *Fleet) vm(name string) (fleet.VM, error) {
	for _, vm := range f.vms {
		if vm.Name == name {
			return vm, nil
		}
	}
	return fleet.VM{}, fmt.Errorf("no VM %q", name)
}

func (f *Fleet) backendServers() []fleet.VM {
	var out []fleet.VM
	for _, vm := range f.vms {
		if vm.Role == fleet.RoleBackendServer {
			out = append(out, vm)
		}
	}
	return out
}

func (f *Fleet) entryVMs() []fleet.VM {
	var out []fleet.VM
	for _, vm := range f.vms {
		if vm.Role == fleet.RoleEntry {
			out = append(out, vm)
		}
	}
	return out
}

// shutDown stops the revision monitor, the loads, all processes, the network and the platform.
func (f *Fleet) shutDown() {
	f.revisionMonitor.finish()
	for _, l := range f.loads {
		l.cancel()
	}
	for _, p := range f.processes {
		p.KillIfRunning()
	}
	if f.network != nil {
		f.network.close()
	}
	if f.platform != nil {
		f.platform.close()
	}
}

// logTails returns the end of the log of each process.
func (f *Fleet) logTails() string {
	var all strings.Builder
	for _, name := range f.processNames() {
		fmt.Fprintf(&all, "--- log of %s\n%s", name, f.processes[name].logTail())
	}
	return all.String()
}

func (f *Fleet) journalPath(vm string) string { return filepath.Join(f.dir, vm+".journal") }
