package scenario

import (
	"fmt"
	"time"

	"github.com/rogpeppe/go-internal/testscript"

	"github.com/primroseladder/primroseladder/internal/fleet"
	"github.com/primroseladder/primroseladder/internal/standin/kv"
)

// cmdRecover clears all faults: it heals links, resumes frozen processes, restarts ended ones, puts all VMs back into the VM
// lists as live, and clears the faults of the store and of backend servers.
func cmdRecover(f *Fleet, ts *testscript.TestScript, _ []string) error {
	f.network.clearFaults()
	if err := f.network.awaitApplied(); err != nil {
		return err
	}
	f.platform.setListLag(0)
	if err := f.platform.setStoreFault(kv.Fault{}); err != nil {
		return err
	}
	for _, name := range f.processNames() {
		p := f.processes[name]
		if p.IsRunning() {
			if err := p.thaw(); err != nil {
				return err
			}
			continue
		}
		if err := cmdReplace(f, ts, []string{name}); err != nil {
			return err
		}
	}
	return f.recoverVMs()
}

// recoverVMs puts all VMs back into the VM lists and clears the faults of backend servers.
func (f *Fleet) recoverVMs() error {
	for _, vm := range f.vms {
		f.platform.restoreVM(vm.Name)
	}
	for _, vm := range f.backendServers() {
		if err := put("http://"+vm.Address+"/control/fault", "{}"); err != nil {
			return err
		}
	}
	return nil
}

// restoreVM sets a VM back to its initial entry in all VM lists: live, with the addresses of each viewer.
func (p *platform) restoreVM(name string) {
	for viewer, list := range p.lists {
		initialList := p.initialLists[viewer]
		list.Update(func(all []fleet.VM) []fleet.VM {
			restored := withState(all, name, stateGone)
			for _, vm := range initialList {
				if vm.Name == name {
					restored = append(restored, vm)
				}
			}
			return restored
		})
	}
}

// cmdHold waits while faults are in effect: "hold 500ms". It is the only command that sleeps for a fixed time.
func cmdHold(_ *Fleet, _ *testscript.TestScript, args []string) error {
	if len(args) != 1 {
		return fmt.Errorf("usage: hold DURATION")
	}
	d, err := time.ParseDuration(args[0])
	if err != nil {
		return err
	}
	time.Sleep(d)
	return nil
}

// cmdTry runs another command and continues even if it fails: "try COMMAND...".
func cmdTry(f *Fleet, ts *testscript.TestScript, args []string) error {
	if len(args) == 0 {
		return fmt.Errorf("usage: try COMMAND [ARGUMENT ...]")
	}
	run := allCommands()[testscriptName(args[0])]
	if run == nil {
		return fmt.Errorf("unknown command %q", args[0])
	}
	if err := run(f, ts, args[1:]); err != nil {
		ts.Logf("try: continuing after error: %v", err)
	}
	return nil
}
