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

// node is one life of an entry process.
type node struct {
	vm        fleet.VM
	cluster   *cluster
	holder    *snapshot.Holder
	tenure    *once.HomeTracker
	memory    *once.Memory
	guard     *once.Guard
	dead      bool
	frozen    chan struct{}
	isListCut bool
	stopped   bool
	// isIsolated loses all messages from and to the node.
	isIsolated bool
}

// cluster is a fleet of entries, a VM list, backend servers that count runs, and what callers were told.
type cluster struct {
	mu    sync.Mutex
	index uint64
	list  []fleet.VM
	nodes map[string]*node
	// messageFaults and workFates say what happens to the next messages and the next work. Empty is without faults.
	messageFaults []int
	workFaults    []int
	keys          map[string]*keyState
	sends         int
	unknown       int
}

// keyState is a caller's state of one key, and what really happened to it.
type keyState struct {
	number, notRunThrough uint32
	firstSent             time.Time
	// via is the VM of the last send.
	via string
	// sent counts the sends; runs and notRun hold the place of sends in that count.
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

func (c *cluster) add(name, region string) {
	vm := fleet.VM{Name: name, Role: fleet.RoleEntry, State: fleet.StateLive, Region: region, Zone: region + "-a"}
	c.list = append(c.list, vm)
	c.index++
	c.start(vm)
}

// start begins a new life of a VM's process.
func (c *cluster) start(vm fleet.VM) {
	n := &node{vm: vm, cluster: c, holder: snapshot.NewHolder(), tenure: once.NewHomeTracker(vm.Name, window)}
	n.memory = once.NewMemory(window, 10_000, n.tenure)
	n.guard = once.NewGuard(vm.Name, vm.Region, n.holder, n.memory, n)
	c.nodes[vm.Name] = n
}

func (c *cluster) syncAll() {
	for _, n := range c.nodes {
		if !n.isListCut && n.frozen == nil {
			n.sync()
		}
	}
}

// sync gives the node the newest VM list.
func (n *node) sync() {
	view := fleet.NewView(n.cluster.index, n.cluster.list)
	n.holder.ApplyView(view)
	n.tenure.ObserveList(view)
	n.tenure.ConfirmList(time.Now())
}

func (c *cluster) advance(d time.Duration) {
	for ; d > 0; d -= syncPeriod {
		time.Sleep(min(d, syncPeriod))
		c.mu.Lock()
		c.syncAll()
		c.mu.Unlock()
	}
}

// remove takes a VM from the list.
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

// waitWhileFrozen blocks while the node is frozen. It reports false where the process was killed.
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

func nextFate(fates *[]int) int {
	if len(*fates) == 0 {
		return 0
	}
	fate := (*fates)[0]
	*fates = (*fates)[1:]
	return fate
}

// call delivers a message to the present life of a VM and runs do there.
func (n *node) call(ctx context.Context, to string, do func(*node)) error {
	if !n.waitWhileFrozen() {
		return errLost
	}
	n.cluster.mu.Lock()
	fate := nextFate(&n.cluster.messageFaults)
	target := n.cluster.nodes[to]
	n.cluster.mu.Unlock()
	if target == nil || fate == 1 || n.isIsolated || target.isIsolated {
		return errLost
	}
	done := make(chan bool, 1)
	go func() {
		if fate == 2 {
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
		if alive && fate != 3 {
			err = nil
		}
	case <-ctx.Done():
	}
	if !n.waitWhileFrozen() {
		return errLost
	}
	return err
}

// claimReply is the answer to a call. A late one is written after the caller has gone on.
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

// send sends a key through a VM. A repeated send has the number and the VM of the one before.
func (c *cluster) send(key, via string, numbered, repeated, loseAnswer bool) {
	c.mu.Lock()
	if k := c.keys[key]; k != nil && repeated {
		via = k.via
	}
	n := c.nodes[via]
	if n == nil || n.stopped || n.holder.Get().View.Index == 0 {
		// The callers' listener is closed.
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

// work is what the runner does: it looks at the deadline, dispatches and waits for the answer.
func (n *node) work(k *keyState, position int, r *request.Request) *request.Response {
	if !n.waitWhileFrozen() {
		return request.LeaveUnknown(outcome.ReasonLostAnswer)
	}
	if !time.Now().Before(r.Deadline) {
		return request.Refuse(r, outcome.ReasonDeadline, 0)
	}
	n.cluster.mu.Lock()
	fate := nextFate(&n.cluster.workFaults)
	if fate == 1 {
		n.cluster.mu.Unlock()
		return request.Refuse(r, outcome.ReasonOverload, 0)
	}
	k.runs = append(k.runs, position)
	n.cluster.mu.Unlock()
	if fate == 2 {
		time.Sleep(slowWork)
	}
	if !n.waitWhileFrozen() || fate == 3 {
		return request.LeaveUnknown(outcome.ReasonLostAnswer)
	}
	return &request.Response{Outcome: outcome.Done, Status: 200, Body: []byte("done")}
}

// checkInvariants returns an error where a promise is broken.
func (c *cluster) checkInvariants() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	for name, k := range c.keys {
		if len(k.runs) > 1 {
			return fmt.Errorf("key %s ran %d times, in sends %v", name, len(k.runs), k.runs)
		}
		for _, position := range k.notRun {
			if len(k.runs) > 0 && k.runs[0] <= position {
				return fmt.Errorf("key %s: send %d was told not-run, and send %d ran", name, position, k.runs[0])
			}
		}
	}
	return nil
}

// drain thaws everything and waits for what is in flight.
func (c *cluster) drain() {
	c.mu.Lock()
	for _, n := range c.nodes {
		c.thaw(n)
	}
	c.mu.Unlock()
	time.Sleep(time.Minute)
}

func (c *cluster) thaw(n *node) {
	if n.frozen != nil {
		close(n.frozen)
		n.frozen = nil
	}
}
