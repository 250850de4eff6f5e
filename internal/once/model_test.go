package once_test

import (
	"context"
	"fmt"
	"sort"
	"testing"
	"testing/synctest"
	"time"

	"pgregory.net/rapid"
)

// step is one event, drawn at random. The meaning of detail depends on the kind.
type step struct {
	kind, node, key, detail int
}

// The kinds of steps. stepCutList stops the delivery of VM lists to a node and stepRestoreList resumes it; stepKill restarts a
// process, stepReplace replaces its VM by a new one and stepStop stops it with a hand-over.
const (
	stepSend = iota
	stepSendRepeated
	stepAdvance
	stepAdvanceLong
	stepKill
	stepFreeze
	stepThaw
	stepCutList
	stepRestoreList
	stepReplace
	stepStop
	stepMessageFault
	stepWorkFault
	stepKinds
)

// model applies steps to a cluster.
type model struct {
	cluster  *cluster
	numbered bool
	joined   int
}

// node returns the node at an index, modulo the number of nodes, in the order of the nodes' names.
func (m *model) node(index int) *node {
	names := make([]string, 0, len(m.cluster.nodes))
	for name := range m.cluster.nodes {
		names = append(names, name)
	}
	sort.Strings(names)
	return m.cluster.nodes[names[index%len(names)]]
}

func (m *model) apply(s step) {
	n := m.node(s.node)
	switch s.kind {
	case stepSend, stepSendRepeated:
		key := fmt.Sprintf("key-%d", s.key%4)
		m.cluster.send(key, n.vm.Name, m.numbered, s.kind == stepSendRepeated, s.detail%3 == 0)
		synctest.Wait()
		return
	case stepAdvance:
		m.cluster.advance(time.Duration(s.detail%1000) * 5 * time.Millisecond)
		return
	case stepAdvanceLong:
		m.cluster.advance(time.Duration(s.detail%20) * time.Second)
		return
	case stepStop:
		m.stop(n)
		return
	}
	m.cluster.mu.Lock()
	defer m.cluster.mu.Unlock()
	m.injectFault(s, n)
}

func (m *model) injectFault(s step, n *node) {
	switch s.kind {
	case stepKill:
		m.kill(n)
		m.cluster.start(n.vm)
	case stepFreeze:
		if n.frozen == nil {
			n.frozen = make(chan struct{})
		}
	case stepThaw:
		m.cluster.thaw(n)
	case stepCutList:
		n.isListCut = true
	case stepRestoreList:
		n.isListCut = false
	case stepReplace:
		m.replace(n, s.detail%2 == 0)
	case stepMessageFault:
		m.cluster.messageFaults = append(m.cluster.messageFaults, s.detail%4)
	case stepWorkFault:
		m.cluster.workFaults = append(m.cluster.workFaults, s.detail%4)
	}
}

// kill ends the process of a node, which then sends and handles no more messages and runs no more requests.
func (m *model) kill(n *node) {
	n.dead = true
	m.cluster.thaw(n)
}

// replace removes a VM from the list and adds a new one. The old process is killed, or keeps running.
func (m *model) replace(n *node, dies bool) {
	m.cluster.remove(n.vm.Name)
	if dies {
		m.kill(n)
		delete(m.cluster.nodes, n.vm.Name)
	}
	m.joined++
	m.cluster.add(fmt.Sprintf("%s-new-%d", n.vm.Region, m.joined), n.vm.Region)
}

// stop removes a VM from the list, waits for its sends, hands its records over and kills its process.
func (m *model) stop(n *node) {
	if n.frozen != nil || n.isListCut || len(m.cluster.nodes) < 3 {
		return
	}
	m.cluster.mu.Lock()
	m.cluster.remove(n.vm.Name)
	n.sync()
	n.stopped = true
	m.cluster.mu.Unlock()
	m.cluster.advance(sendTimeout + time.Second)
	if n.frozen != nil {
		return
	}
	_, _ = n.guard.HandOver(context.Background(), n)
	m.cluster.mu.Lock()
	defer m.cluster.mu.Unlock()
	m.kill(n)
	delete(m.cluster.nodes, n.vm.Name)
}

func drawSteps(t *rapid.T, kinds []int) []step {
	return rapid.SliceOfN(rapid.Custom(func(t *rapid.T) step {
		return step{
			kind: rapid.SampledFrom(kinds).Draw(t, "kind"), node: rapid.IntRange(0, 11).Draw(t, "node"),
			key: rapid.IntRange(0, 3).Draw(t, "key"), detail: rapid.IntRange(0, 999).Draw(t, "detail"),
		}
	}), 5, 60).Draw(t, "steps")
}

// runSteps applies the steps to a new cluster and returns the first violation of the invariants, if any.
func runSteps(t *testing.T, numbered bool, steps []step) (violation error) {
	synctest.Test(t, func(*testing.T) {
		m := &model{cluster: newCluster([]string{"perth", "goldfields"}, 3), numbered: numbered}
		m.cluster.advance(window + staleAfter + time.Second)
		for _, s := range steps {
			m.apply(s)
			if violation = m.cluster.checkInvariants(); violation != nil {
				break
			}
		}
		m.cluster.drain()
		if violation == nil {
			violation = m.cluster.checkInvariants()
		}
	})
	return violation
}

// faultKinds returns all kinds of steps except stepSendRepeated. Sends are listed several times so that there are sends
// between the faults.
func faultKinds() []int {
	kinds := []int{stepSend, stepSend, stepSend, stepSend, stepSend, stepAdvance, stepAdvance, stepThaw}
	for kind := stepAdvance; kind < stepKinds; kind++ {
		kinds = append(kinds, kind)
	}
	return kinds
}

func TestNumberedSendsRunAtMostOnce(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		if err := runSteps(t, true, drawSteps(rt, faultKinds())); err != nil {
			rt.Fatal(err)
		}
	})
}

func TestUnnumberedSendsRunAtMostOnce(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		if err := runSteps(t, false, drawSteps(rt, faultKinds())); err != nil {
			rt.Fatal(err)
		}
	})
}

// TestRepeatedNumberRunsAtMostOnce guards against a second run when HTTP libraries repeat a numbered request on their own. At
// most one VM is lost in each run: the record on the second VM must be sufficient.
func TestRepeatedNumberRunsAtMostOnce(t *testing.T) {
	kinds := []int{stepSend, stepSendRepeated, stepSendRepeated, stepSendRepeated, stepAdvance, stepWorkFault}
	rapid.Check(t, func(rt *rapid.T) {
		steps := drawSteps(rt, kinds)
		at := rapid.IntRange(0, len(steps)).Draw(rt, "kill at")
		kill := step{kind: stepKill, node: rapid.IntRange(0, 2).Draw(rt, "killed")}
		steps = append(append(append([]step(nil), steps[:at]...), kill), steps[at:]...)
		// All sends go through one region, as a library repeats a request to the same address.
		for i := range steps {
			steps[i].node %= 3
		}
		if err := runSteps(t, true, steps); err != nil {
			rt.Fatal(err)
		}
	})
}
