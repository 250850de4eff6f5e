package scenario

import (
	"fmt"
	"os"
	"path/filepath"
	"strconv"

	"go.yaml.in/yaml/v3"

	"github.com/primroseladder/primroseladder/internal/child"
	"github.com/primroseladder/primroseladder/internal/fleet"
)

// Suffixes that make the process names of an entry VM: "entry-0/entry" and "entry-0/keeper".
const (
	entrySuffix  = "/entry"
	keeperSuffix = "/keeper"
)

// answerLifetime is the setting answer_lifetime: how long callers cache the answer to the question which VMs to use. A
// scenario can override it.
const answerLifetime = "1s"

// settingsValues are the settings of one process by their YAML keys.
type settingsValues map[string]string

// addBackendServer adds the process of a backend server, a test double that is part of the program standin.
func (f *Fleet) addBackendServer(vm fleet.VM) error {
	spec := f.topology.service(vm.Service)
	f.processes[vm.Name] = &process{
		Process: child.Process{
			Name: vm.Name, Program: filepath.Join(f.programDir, "standin"), LogPath: logPath(f.dir, vm.Name),
			Args: []string{
				"backend", "--listen", vm.Address, "--name", vm.Name, "--slots", strconv.Itoa(spec.slots),
				"--service-time", spec.serviceTime.String(), "--journal", f.journalPath(vm.Name),
				"--answer-bytes", strconv.Itoa(spec.answerBytes), "--connection-cost", spec.connectionCost.String(),
				"--probe-cost", spec.probeCost.String(),
			},
		},
		readyURL: "http://" + vm.Address + "/health",
	}
	return nil
}

func (t topology) service(name string) serviceSpec {
	for _, s := range t.services {
		if s.name == name {
			return s
		}
	}
	return serviceSpec{}
}

// addEntryVM adds the entry and the keeper of an entry VM, and registers the VM list that this VM receives.
func (f *Fleet) addEntryVM(vm fleet.VM) error {
	list, err := f.listSeenBy(vm.Name)
	if err != nil {
		return err
	}
	f.platform.addViewer(vm.Name, list)
	storeAddress, err := f.network.addRelay(vm.Name, nameStore, f.platform.address, trafficConfiguration)
	if err != nil {
		return err
	}
	listAddress, err := f.network.addRelay(vm.Name, nameList, f.platform.address, trafficConfiguration)
	if err != nil {
		return err
	}
	err = f.addProgram(vm.Name+entrySuffix, "primrose-entry", settingsValues{
		"vm": vm.Name, "region": vm.Region, "zone": vm.Zone, "caller_listen": vm.CallerAddress,
		"peer_listen": vm.EntryAddress, "operator_listen": f.operatorListeners[vm.Name+entrySuffix],
		"keeper_address": vm.KeeperAddress, "answer_lifetime": answerLifetime,
	})
	if err != nil {
		return err
	}
	return f.addProgram(vm.Name+keeperSuffix, "primrose-keeper", settingsValues{
		"vm": vm.Name, "region": vm.Region, "zone": vm.Zone, "caller_listen": vm.KeeperCallerAddress,
		"peer_listen": vm.KeeperAddress, "operator_listen": f.operatorListeners[vm.Name+keeperSuffix],
		"store_url": "http://" + storeAddress, "vm_list_url": "http://" + listAddress + "/viewer/" + vm.Name,
		"answer_lifetime": answerLifetime,
	})
}

// listSeenBy returns the VM list with the relay addresses at which a viewer reaches the other VMs.
func (f *Fleet) listSeenBy(viewer string) ([]fleet.VM, error) {
	list := make([]fleet.VM, len(f.vms))
	for i, vm := range f.vms {
		var err error
		if list[i], err = f.vmSeenBy(viewer, vm); err != nil {
			return nil, err
		}
	}
	return list, nil
}

// vmSeenBy returns a VM with the relay addresses at which a viewer reaches it. It adds the relays.
func (f *Fleet) vmSeenBy(viewer string, vm fleet.VM) (fleet.VM, error) {
	if vm.Name == viewer {
		return f.withCallerAddresses(vm)
	}
	var err error
	if vm.Role == fleet.RoleBackendServer {
		vm.Address, err = f.network.addRelay(viewer, vm.Name, vm.Address, trafficWork)
		return vm, err
	}
	if vm.EntryAddress, err = f.network.addRelay(viewer, vm.Name, vm.EntryAddress, trafficWork); err != nil {
		return vm, err
	}
	if vm.KeeperAddress, err = f.network.addRelay(viewer, vm.Name, vm.KeeperAddress, trafficKeepers); err != nil {
		return vm, err
	}
	return f.withCallerAddresses(vm)
}

// withCallerAddresses returns an entry VM with the relay addresses at which callers reach it. They are the same for all
// viewers.
func (f *Fleet) withCallerAddresses(vm fleet.VM) (fleet.VM, error) {
	seen, err := f.callerView(vm)
	vm.CallerAddress, vm.KeeperCallerAddress = seen.CallerAddress, seen.KeeperCallerAddress
	return vm, err
}

// callerView returns an entry VM with the relay addresses at which callers reach it. It adds the relays on first use.
func (f *Fleet) callerView(vm fleet.VM) (fleet.VM, error) {
	if known, found := f.callerViews[vm.Name]; found {
		return known, nil
	}
	seen := vm
	var err error
	if seen.CallerAddress, err = f.network.addRelay(nameCallers, vm.Name, vm.CallerAddress, trafficWork); err != nil {
		return vm, err
	}
	if seen.KeeperCallerAddress, err = f.network.addRelay(nameCallers, vm.Name, vm.KeeperCallerAddress, trafficWork); err != nil {
		return vm, err
	}
	f.callerViews[vm.Name] = seen
	return seen, nil
}

// addProgram adds a process and writes its settings file. Settings in the scenario's file settings/PROGRAM.yaml take
// precedence over the given values.
func (f *Fleet) addProgram(name, program string, values settingsValues) error {
	overrides, err := f.readOverrides(program, values)
	if err != nil {
		return err
	}
	content, err := yaml.Marshal(values)
	if err != nil {
		return err
	}
	content = append(content, overrides...)
	path := filepath.Join(f.dir, processFileName(name)+".settings.yaml")
	if err := os.WriteFile(path, content, 0o600); err != nil {
		return err
	}
	statusURL := "http://" + f.operatorListeners[name] + "/status"
	f.processes[name] = &process{
		Process: child.Process{
			Name: name, Program: filepath.Join(f.programDir, program), Args: []string{"--config", path}, LogPath: logPath(f.dir, name),
		},
		readyURL: statusURL, statusURL: statusURL,
	}
	return nil
}

// readOverrides returns the content of the scenario's file settings/PROGRAM.yaml, if any, and deletes the keys that it sets
// from values, because a YAML document must not repeat a key.
func (f *Fleet) readOverrides(program string, values settingsValues) ([]byte, error) {
	content, err := os.ReadFile(filepath.Join(f.dir, "settings", program+".yaml"))
	if os.IsNotExist(err) {
		return nil, nil
	}
	if err != nil {
		return nil, err
	}
	overridden := map[string]yaml.Node{}
	if err := yaml.Unmarshal(content, &overridden); err != nil {
		return nil, fmt.Errorf("decode settings/%s.yaml: %w", program, err)
	}
	for key := range overridden {
		delete(values, key)
	}
	return content, nil
}
