package once_test

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"time"

	"github.com/primroseladder/primroseladder/internal/catalogue"
	"github.com/primroseladder/primroseladder/internal/fleet"
	"github.com/primroseladder/primroseladder/internal/once"
	"github.com/primroseladder/primroseladder/internal/outcome"
	"github.com/primroseladder/primroseladder/internal/request"
	"github.com/primroseladder/primroseladder/internal/snapshot"
)

const (
	window      = 40 * time.Second
	staleAfter  = window / 4
	sendTimeout = 3 * time.Second
	slowWork    = 2 * time.Second
	syncPeriod  = 2 * time.Second
)

var errLost = errors.New("message lost")

// The faults of a call between nodes. 0 is none.
const (
	messageRequestLost = iota + 1
	// messageDelayed delays the request by slowWork.
	messageDelayed
	messageResponseLost
)

// The faults of the run of a request. 0 is none.
const (
	// workRefused refuses the request before it runs.
	workRefused = iota + 1
	// workDelayed delays the answer by slowWork.
	workDelayed
	workAnswerLost
)

// node is one run of an entry process. A restart of the process creates a new node.
type node struct {
	vm          fleet.VM
	cluster     *cluster
	holder      *snapshot.Holder
	homeTracker *once.HomeTracker
	memory      *once.Memory
	guard       *once.Guard
	dead        bool
	frozen      chan struct{}
	// isListCut is set while the node receives no VM lists.
	isListCut bool
	stopped   bool
	// isIsolated is set if all messages from and to the node are lost.
	isIsolated bool
}

// cluster simulates a fleet of entries with a VM list and backend servers. It counts the runs of each key and records the
// outcomes that callers received.
type cluster struct {
	mu    sync.Mutex
	index uint64
	list  []fleet.VM
	nodes map[string]*node
	// messageFaults are the faults of the next calls between nodes, one each. Later calls have no fault.
	messageFaults []int
	// workFaults are the faults of the next runs of a request, one each. Later runs have no fault.
	workFaults []int
	keys       map[string]*keyState
	// sends counts all sends, and unknown those that were answered with the outcome unknown.
	sends   int
	unknown int
}

// keyState is what the caller of a key keeps about it, and what happened to the sends of the key.
type keyState struct {
	number, notRunThrough uint32
	firstSent             time.Time
	// via is the VM of the last send.
	via string
	// sent counts the sends. runs and notRun hold the positions, in that count, of the sends that ran and of those that were
	// answered not-run.
	sent   int
	runs   []int
	notRun []int
}

func newCluster(regions []string, vmsPerRegion int) *cluster {
	c := &cluster{nodes: map[string]*node{}, keys: map[string]*keyState{}}
	for _, region := range regions {
		for i := range vmsPerRegion {
			c.add(fmt.Sprintf("%s-%d", region, i), region)
		}
	}
	c.syncAll()
	return c
}

// add adds a VM to the list and starts its process.
func (c *cluster) add(name, region string) {
	vm := fleet.VM{Name: name, Role: fleet.RoleEntry, State: fleet.StateLive, Region: region, Zone: region + "-a"}
	c.list = append(c.list, vm)
	c.index++
	c.start(vm)
}

// start starts a VM's process, in place of an earlier one if there is one.
func (c *cluster) start(vm fleet.VM) {
	n := &node{vm: vm, cluster: c, holder: snapshot.NewHolder(), homeTracker: once.NewHomeTracker(vm.Name, window)}
	n.memory = once.NewMemory(window, 10_000, n.homeTracker)
	n.guard = once.NewGuard(vm.Name, vm.Region, n.holder, n.memory, n)
	c.nodes[vm.Name] = n
}

// syncAll applies the newest VM list to all nodes that are neither frozen nor cut off from it.
func (c *cluster) syncAll() {
	for _, n := range c.nodes {
		if !n.isListCut && n.frozen == nil {
			n.sync()
		}
	}
}

// sync applies the newest VM list to the node.
func (n *node) sync() {
	view := fleet.NewView(n.cluster.index, n.cluster.list)
	n.holder.ApplyView(view)
	n.homeTracker.ObserveList(view)
	n.homeTracker.ConfirmList(time.Now())
}

// advance lets time pass, with the VM list applied every syncPeriod.
func (c *cluster) advance(d time.Duration) {
	for ; d > 0; d -= syncPeriod {
		time.Sleep(min(d, syncPeriod))
		c.mu.Lock()
		c.syncAll()
		c.mu.Unlock()
	}
}

// remove removes a VM from the list.
func (c *cluster) remove(name string) {
	var rest []fleet.VM
	for _, vm := range c.list {
		if vm.Name != name {
			rest = append(rest, vm)
		}
	}
	c.list = rest
	c.index++
}

// waitWhileFrozen blocks while the node is frozen. It reports false if the process was killed.
func (n *node) waitWhileFrozen() bool {
	n.cluster.mu.Lock()
	frozen := n.frozen
	n.cluster.mu.Unlock()
	if frozen != nil {
		<-frozen
	}
	n.cluster.mu.Lock()
	defer n.cluster.mu.Unlock()
	return !n.dead
}

// nextFault removes the first fault from the list and returns it, or 0 if the list is empty.
func nextFault(faults *[]int) int {
	if len(*faults) == 0 {
		return 0
	}
	fault := (*faults)[0]
	*faults = (*faults)[1:]
	return fault
}

// call runs do on the current node of a VM, subject to the next message fault. It returns errLost if the request or the
// response is lost.
func (n *node) call(ctx context.Context, to string, do func(*node)) error {
	if !n.waitWhileFrozen() {
		return errLost
	}
	n.cluster.mu.Lock()
	fault := nextFault(&n.cluster.messageFaults)
	target := n.cluster.nodes[to]
	n.cluster.mu.Unlock()
	if target == nil || fault == messageRequestLost || n.isIsolated || target.isIsolated {
		return errLost
	}
	done := make(chan bool, 1)
	go func() {
		if fault == messageDelayed {
			time.Sleep(slowWork)
		}
		alive := target.waitWhileFrozen()
		if alive {
			do(target)
		}
		done <- alive
	}()
	err := errLost
	select {
	case alive := <-done:
		if alive && fault != messageResponseLost {
			err = nil
		}
	case <-ctx.Done():
	}
	if !n.waitWhileFrozen() {
		return errLost
	}
	return err
}

// claimReply is the reply to a claim or lookup. A late reply is written after the caller has returned.
type claimReply struct {
	verdict once.Verdict
	answer  once.Answer
}

func (n *node) Claim(ctx context.Context, home fleet.VM, s once.Send) (once.Verdict, once.Answer, error) {
	var got claimReply
	if err := n.call(ctx, home.Name, func(t *node) { got.verdict, got.answer = t.memory.Claim(s) }); err != nil {
		return 0, once.Answer{}, err
	}
	return got.verdict, got.answer, nil
}

func (n *node) Complete(ctx context.Context, home fleet.VM, s once.Send, o outcome.Outcome, a once.Answer) error {
	return n.call(ctx, home.Name, func(t *node) { t.memory.Complete(s, o, a) })
}

func (n *node) Lookup(ctx context.Context, home fleet.VM, s once.Send) (once.Verdict, once.Answer, error) {
	var got claimReply
	if err := n.call(ctx, home.Name, func(t *node) { got.verdict, got.answer = t.memory.Lookup(ctx, s) }); err != nil {
		return 0, once.Answer{}, err
	}
	return got.verdict, got.answer, nil
}

func (n *node) HandOver(ctx context.Context, to fleet.VM, b once.HandOverBatch) error {
	imported := false
	err := n.call(ctx, to.Name, func(t *node) {
		imported = t.memory.Import(b.Records)
		if imported && b.IsLast {
			t.memory.RecordHandOver(b.From, b.Covered, b.ListIndex)
		}
	})
	if err == nil && !imported {
		return errLost
	}
	return err
}

// send sends a request with a key through a VM. A repeated send has the number and the VM of the previous one.
func (c *cluster) send(key, via string, numbered, repeated, loseAnswer bool) {
	c.mu.Lock()
	if k := c.keys[key]; k != nil && repeated {
		via = k.via
	}
	n := c.nodes[via]
	if n == nil || n.stopped || n.holder.Get().View.Index == 0 {
		// The listener for callers is closed.
		c.mu.Unlock()
		return
	}
	k := c.keys[key]
	if k == nil {
		k = &keyState{firstSent: time.Now()}
		c.keys[key] = k
	}
	if !numbered && time.Since(k.firstSent) > window-sendTimeout {
		c.mu.Unlock()
		return
	}
	if numbered && (!repeated || k.number == 0) {
		k.number++
	}
	k.sent++
	k.via = via
	c.sends++
	position := k.sent
	r := &request.Request{
		ID: fmt.Sprintf("%s/%d", key, position), Entry: &catalogue.Entry{Service: "deposits"}, Method: "POST",
		Target: "/deposits", Body: []byte(key), Organisation: "bells", Key: key, SendNumber: k.number,
		NotRunThrough: k.notRunThrough, Deadline: time.Now().Add(sendTimeout),
	}
	c.mu.Unlock()
	go func() {
		response := n.guard.Do(context.Background(), r, func() *request.Response { return n.work(k, position, r) })
		c.mu.Lock()
		defer c.mu.Unlock()
		if n.dead {
			return
		}
		if response.Outcome == outcome.Unknown {
			c.unknown++
		}
		if response.Outcome != outcome.NotRun {
			return
		}
		k.notRun = append(k.notRun, position)
		if !loseAnswer {
			k.notRunThrough = max(k.notRunThrough, r.SendNumber)
		}
	}()
}

// work does what the runner does: it checks the deadline, dispatches the request and waits for the answer.
func (n *node) work(k *keyState, position int, r *request.Request) *request.Response {
	if !n.waitWhileFrozen() {
		return request.UnknownOutcome(outcome.ReasonLostAnswer)
	}
	if !time.Now().Before(r.Deadline) {
		return request.Refuse(r, outcome.ReasonDeadline, 0)
	}
	n.cluster.mu.Lock()
	fault := nextFault(&n.cluster.workFaults)
	if fault == workRefused {
		n.cluster.mu.Unlock()
		return request.Refuse(r, outcome.ReasonOverload, 0)
	}
	k.runs = append(k.runs, position)
	n.cluster.mu.Unlock()
	if fault == workDelayed {
		time.Sleep(slowWork)
	}
	if !n.waitWhileFrozen() || fault == workAnswerLost {
		return request.UnknownOutcome(outcome.ReasonLostAnswer)
	}
	return &request.Response{Outcome: outcome.Done, Status: 200, Body: []byte("done")}
}

// checkInvariants returns an error if a key ran more than once, or if a send was answered not-run although it or an earlier
// send ran.
func (c *cluster) checkInvariants() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	for name, k := range c.keys {
		if len(k.runs) > 1 {
			return fmt.Errorf("key %s ran %d times, in sends %v", name, len(k.runs), k.runs)
		}
		for _, position := range k.notRun {
			if len(k.runs) > 0 && k.runs[0] <= position {
				return fmt.Errorf("key %s: send %d was answered not-run, but send %d ran", name, position, k.runs[0])
			}
		}
	}
	return nil
}

// drain unfreezes all nodes and waits until nothing is in flight.
func (c *cluster) drain() {
	c.mu.Lock()
	for _, n := range c.nodes {
		c.thaw(n)
	}
	c.mu.Unlock()
	time.Sleep(time.Minute)
}

// thaw lets a frozen node continue.
func (c *cluster) thaw(n *node) {
	if n.frozen != nil {
		close(n.frozen)
		n.frozen = nil
	}
}
