package run

import (
	"github.com/primroseladder/primroseladder/internal/placement"
	"github.com/primroseladder/primroseladder/internal/probe"
)

// ProbeTargets returns the backend servers that this VM probes: those of its region that rendezvous hashing among the VMs
// of the service's group assigns to it.
func (r *Runner) ProbeTargets() []probe.Target {
	view := r.holder.Get().View
	var targets []probe.Target
	for name, s := range r.allServices() {
		group := placement.Group(name, r.region, view, placement.DefaultGroupSize)
		for _, t := range s.probeTargets() {
			if owner, found := placement.Top(t.Backend, group); found && owner.Name == r.health.Self.VM {
				targets = append(targets, t)
			}
		}
	}
	return targets
}

// probeTargets returns the backend servers of the local region that are live and not draining. It returns none if the
// catalogue sets no probe path for the service.
func (s *Service) probeTargets() []probe.Target {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.entry.Health.ProbePath == "" {
		return nil
	}
	view := s.board.View()
	var targets []probe.Target
	for _, candidate := range s.servers {
		if candidate.vm.Region != s.region || view.IsDraining(candidate.vm.Name) {
			continue
		}
		targets = append(targets, probe.Target{
			Service: s.entry.Service, Backend: candidate.vm.Name, Address: candidate.vm.Address,
			Path: s.entry.Health.ProbePath, Board: s.board,
		})
	}
	return targets
}
