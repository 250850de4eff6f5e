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

// startBound is how long all processes of a fleet may take until they serve.
const startBound = 20 * time.Second

// Fleet is the fleet of one scenario.
type Fleet struct {
	programs string
	dir      string
	ports    *ports
	topology topology
	platform *platform
	network  *network
	// vms is the VM list with the addresses at which the processes listen.
	vms []fleet.VM
	// forCallers are the entry VMs with the addresses at which callers reach them.
	forCallers map[string]fleet.VM
	// operators are the operators' listeners of the processes.
	operators map[string]string
	processes map[string]*process
	loads     map[string]*runningLoad
	calls     []callRecord
	events    map[string]time.Time
	revision  uint64
	// watch is the running watch over revisions, or nil.
	watch *revisionWatch
	floor *floorWatch
}

func newFleet(programs, dir string, p *ports) *Fleet {
	return &Fleet{
		programs: programs, dir: dir, ports: p, forCallers: map[string]fleet.VM{}, operators: map[string]string{}, processes: map[string]*process{},
		loads: map[string]*runningLoad{}, events: map[string]time.Time{},
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
	if err := f.placeVMs(); err != nil {
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
	f.floor = newFloorWatch(urls)
	return nil
}

// placeVMs gives each VM its addresses.
func (f *Fleet) placeVMs() error {
	f.vms = f.topology.vms()
	var faults []error
	take := func() string {
		address, err := f.ports.take()
		faults = append(faults, err)
		return address
	}
	for i := range f.vms {
		vm := &f.vms[i]
		if vm.Role == fleet.RoleBackendServer {
			vm.Address = take()
			continue
		}
		vm.CallerAddress, vm.EntryAddress = take(), take()
		vm.KeeperAddress, vm.KeeperCallerAddress = take(), take()
		f.operators[vm.Name+entrySuffix], f.operators[vm.Name+keeperSuffix] = take(), take()
	}
	return errors.Join(faults...)
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
		if err := f.processes[name].awaitReady(startBound); err != nil {
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

// expand returns the names that a name on a link stands for: a VM, the callers, the store, the list, a region, a
// zone, a service, or "*" for all.
func (f *Fleet) expand(name string) []string {
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

// end stops all that the fleet started.
func (f *Fleet) end() {
	f.watch.finish()
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

// logs returns the ends of all logs.
func (f *Fleet) logs() string {
	var all strings.Builder
	for _, name := range f.processNames() {
		fmt.Fprintf(&all, "--- log of %s\n%s", name, f.processes[name].logTail())
	}
	return all.String()
}

func (f *Fleet) journalPath(vm string) string { return filepath.Join(f.dir, vm+".journal") }
