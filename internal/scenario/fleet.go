// Package scenario runs scripted failures against the real processes of a fleet on this machine. Scripts are txtar
// files; docs/SCENARIOS.md describes their commands. The platform, the callers and the links run in the test process,
// entries, keepers and backend servers in processes of their own.
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

// Names of what takes part besides the VMs.
const (
	nameCallers = "callers"
	nameStore   = "store"
	nameList    = "list"
)

// startTimeout is how long all processes of a fleet may take until they serve.
const startTimeout = 20 * time.Second

// Fleet is the fleet of one scenario.
type Fleet struct {
	programDir string
	dir        string
	ports      *portAllocator
	topology   topology
	platform   *platform
	network    *network
	// vms is the VM list with the addresses at which the processes listen.
	vms []fleet.VM
	// callerViews are the entry VMs with the addresses at which callers reach them.
	callerViews map[string]fleet.VM
	// operatorListeners are the operatorListeners' listeners of the processes.
	operatorListeners map[string]string
	processes         map[string]*process
	loads             map[string]*backgroundLoad
	calls             []recordedCall
	commandTimes      map[string]time.Time
	revision          uint64
	// revisionMonitor is the running revisionMonitor over revisions, or nil.
	revisionMonitor *revisionMonitor
	floorMonitor    *floorMonitor
}

func newFleet(programs, dir string, p *portAllocator) *Fleet {
	return &Fleet{
		programDir: programs, dir: dir, ports: p, callerViews: map[string]fleet.VM{}, operatorListeners: map[string]string{}, processes: map[string]*process{},
		loads: map[string]*backgroundLoad{}, commandTimes: map[string]time.Time{},
	}
}

// start builds the fleet and waits until all its processes serve.
func (f *Fleet) start(t topology) error {
	f.topology = t
	f.network = newNetwork(t.hasLinks)
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

// assignAddresses gives each VM its addresses.
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

// processesOf returns the processes of a VM, or the one process of that name.
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

// expandName returns the names that a name on a link stands for: a VM, the callers, the store, the list, a region, a
// zone, a service, or "*" for all.
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

// close stops all that the fleet started.
func (f *Fleet) close() {
	f.revisionMonitor.finish()
	for _, l := range f.loads {
		l.cancel()
	}
	for _, p := range f.processes {
		p.End()
	}
	if f.network != nil {
		f.network.close()
	}
	if f.platform != nil {
		f.platform.close()
	}
}

// logTails returns the ends of all logTails.
func (f *Fleet) logTails() string {
	var all strings.Builder
	for _, name := range f.processNames() {
		fmt.Fprintf(&all, "--- log of %s\n%s", name, f.processes[name].logTail())
	}
	return all.String()
}

func (f *Fleet) journalPath(vm string) string { return filepath.Join(f.dir, vm+".journal") }
