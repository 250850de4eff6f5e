package keeper

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	pb "github.com/primroseladder/primroseladder/api/primrosev1"
	"github.com/primroseladder/primroseladder/internal/fleet"
	"github.com/primroseladder/primroseladder/internal/logevent"
	"github.com/primroseladder/primroseladder/internal/peererr"
)

const (
	// exchangeTimeout bounds one comparison of revisions.
	exchangeTimeout = time.Second
	// snapshotTimeout bounds one comparison that may transfer a whole catalogue.
	snapshotTimeout = 10 * time.Second
	// announceFanOut is how many random keepers a keeper announces a new revision to, or relays a leave notice to.
	announceFanOut = 3
	// unreadyInterval is the maximum mean time between two comparisons while this keeper is not ready.
	unreadyInterval = 200 * time.Millisecond
	// maxConcurrentComparisons bounds the comparisons in flight.
	maxConcurrentComparisons = 4
	// isolationLimit is the time without any answer from the store or a keeper after which the isolation is logged.
	isolationLimit = 6 * time.Second
	// unansweredLimit is how long this keeper's calls stay unanswered before it asks other keepers to push changes to
	// it.
	unansweredLimit = 2 * time.Second
	// maxPushedChanges is the maximum number of changes pushed to a keeper whose revision is not known.
	maxPushedChanges = 8
	// regionPeerPercent is the probability, in percent, that a round of comparisons includes a random keeper of the
	// region besides the parent. This finds keepers whose outgoing calls fail.
	regionPeerPercent = 25
)

// Peers provides connections to other keepers.
type Peers interface {
	// Keeper returns the stub for the keeper at address.
	Keeper(address string) (pb.KeeperClient, error)
	// Retain closes the connections to all addresses but the given ones.
	Retain(addresses map[string]bool)
}

// Exchanger compares catalogue revisions with other keepers. A new change is pushed down the tree of the local region
// at once. The periodic comparison repairs what an announcement missed, and pushes what the other keeper lacks, so
// that one working direction between two keepers is enough.
type Exchanger struct {
	settings *Settings
	state    *State
	peers    Peers
	roles    *Roles
	log      zerolog.Logger
	// pullRequests carries the names of keepers that reported a higher revision.
	pullRequests chan string
	// slots limits the comparisons in flight.
	slots       chan struct{}
	isolated    bool
	pushTargets pushTargetSet
	// pushedByParent is set if the newest change was pushed by this keeper's parent in the push tree.
	pushedByParent atomic.Bool
	// lastAnswer is when another keeper last answered, in Unix nanoseconds.
	lastAnswer atomic.Int64
}

// NewExchanger returns an exchanger that does nothing until Run is called, except for answering requests.
func NewExchanger(s *Settings, state *State, peers Peers, roles *Roles, log zerolog.Logger) *Exchanger {
	x := &Exchanger{
		settings: s, state: state, peers: peers, roles: roles, log: log,
		pullRequests: make(chan string, 1), slots: make(chan struct{}, maxConcurrentComparisons),
	}
	x.lastAnswer.Store(time.Now().UnixNano())
	return x
}

// Run compares and announces until ctx ends.
func (x *Exchanger) Run(ctx context.Context) {
	go x.runPulls(ctx)
	timer := time.NewTimer(0)
	defer timer.Stop()
	announced := x.state.Catalogue.Revision()
	relayed := x.state.List().Index
	for {
		changed := x.state.Changed()
		if index := x.state.List().Index; index > relayed {
			x.relayList(ctx, relayed)
			x.closeUnlisted(x.state.List())
			relayed = index
		}
		if revision := x.state.Catalogue.Revision(); revision > announced {
			x.announce(ctx, announced)
			announced = revision
		}
		select {
		case <-ctx.Done():
			return
		case <-changed:
		case <-timer.C:
			x.compareWithPartners(ctx)
			x.logIsolation()
			timer.Reset(x.nextInterval())
		}
		x.evaluateReadiness()
	}
}

// closeUnlisted closes the connections to keepers that are no longer listed.
func (x *Exchanger) closeUnlisted(list *fleet.View) {
	addresses := make(map[string]bool, len(list.Entries))
	for _, vm := range list.Entries {
		addresses[vm.KeeperAddress] = true
	}
	x.peers.Retain(addresses)
}

// nextInterval returns the time to the next comparison: the interval with a jitter of a quarter of it either way.
func (x *Exchanger) nextInterval() time.Duration {
	interval := x.roles.ExchangeInterval()
	if !x.state.Readiness.IsReady() {
		interval = min(interval, unreadyInterval)
	}
	return interval*3/4 + rand.N(interval/2+1)
}

func (x *Exchanger) evaluateReadiness() {
	revision := x.state.Catalogue.Revision()
	if !x.state.Readiness.Evaluate(x.settings.VM, x.settings.Zone, revision, x.state.View()) {
		return
	}
	logevent.StartConfirmed.Log(x.log).Uint64("revision", revision).Send()
	x.state.NotifyChanged()
}

// logIsolation logs once when neither the store nor any keeper answers. The last known state stays in force.
func (x *Exchanger) logIsolation() {
	sinceContact := x.state.Freshness.SinceLastContact()
	isolated := sinceContact > isolationLimit
	if isolated && !x.isolated {
		logevent.Isolated.Log(x.log).Dur("silence_ms", sinceContact).Send()
	}
	x.isolated = isolated
}

// runPulls compares with keepers that reported a higher revision.
func (x *Exchanger) runPulls(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case name := <-x.pullRequests:
			vm, found := x.state.View().Entry(name)
			if found {
				x.compare(ctx, vm)
			}
		}
	}
}

// compareWithPartners starts a comparison with each partner while fewer than maxConcurrentComparisons are in flight.
func (x *Exchanger) compareWithPartners(ctx context.Context) {
	for _, vm := range x.partners() {
		select {
		case x.slots <- struct{}{}:
			go func() {
				defer func() { <-x.slots }()
				if !x.compare(ctx, vm) {
					x.compareWithRegionPeer(ctx)
				}
			}()
		default:
			return
		}
	}
}

// compareWithRegionPeer retries an unanswered comparison with a random keeper of the region.
func (x *Exchanger) compareWithRegionPeer(ctx context.Context) {
	if vm, found := x.roles.RegionPeer(); found {
		x.compare(ctx, vm)
	}
}

// partners returns the keepers to compare with now: the parent; a watcher of another region if this keeper is a
// watcher or not ready; a region peer by chance, or if the store's confirmation is too old. While that confirmation is
// too old, about one keeper of the region also compares with any keeper of another region. If there is no other
// partner, a seed is used.
func (x *Exchanger) partners() []fleet.VM {
	var out []fleet.VM
	add := func(vm fleet.VM, found bool) {
		if found {
			out = append(out, vm)
		}
	}
	isStale := x.state.Freshness.IsOlderThan(x.roles.WatcherLossTimeout())
	add(x.roles.Parent())
	if x.roles.IsWatcher() || !x.state.Readiness.IsReady() {
		add(x.roles.RemoteRegionPeer(false))
	}
	if isStale || rand.IntN(100) < regionPeerPercent {
		add(x.roles.RegionPeer())
	}
	if isStale {
		if rand.IntN(max(1, x.roles.RegionSize())) == 0 {
			add(x.roles.RemoteRegionPeer(true))
		}
	}
	if len(out) == 0 && len(x.settings.Seeds) > 0 {
		seed := x.settings.Seeds[rand.IntN(len(x.settings.Seeds))]
		out = append(out, fleet.VM{Name: seed, KeeperAddress: seed})
	}
	return out
}

// announce sends new changes to the local region: the changes themselves to the children in the push tree and to the
// keepers that cannot pull. If the newest change was not pushed by the parent in that tree, its revision is also
// announced to a few random keepers, which pull it, so that it reaches all keepers even when the tree is broken.
func (x *Exchanger) announce(ctx context.Context, from uint64) {
	revision := x.state.Catalogue.Revision()
	for _, vm := range x.roles.Children() {
		x.announceTo(ctx, vm, x.changesSince(from))
	}
	for _, vm := range x.pushTargets.list() {
		x.announceTo(ctx, vm, x.changesSince(revision-min(revision, maxPushedChanges)))
	}
	if x.pushedByParent.Swap(false) {
		return
	}
	vms := slices.DeleteFunc(x.state.View().LiveEntries(x.settings.Region), func(vm fleet.VM) bool {
		return vm.Name == x.settings.VM
	})
	rand.Shuffle(len(vms), func(i, j int) { vms[i], vms[j] = vms[j], vms[i] })
	for _, vm := range vms[:min(announceFanOut, len(vms))] {
		x.announceTo(ctx, vm, nil)
	}
}

// announceTo sends the current revision, with the given changes if any, to a keeper in the background.
func (x *Exchanger) announceTo(ctx context.Context, vm fleet.VM, changes []*pb.Change) {
	request := x.newRequest()
	request.AnnounceOnly = true
	request.Changes = changes
	go func() {
		answer, err := x.call(ctx, vm, request, exchangeTimeout)
		if err != nil {
			return
		}
		x.state.AdoptLeaveNotices(answer.GetLeaving())
		x.pushLeaveNotices(ctx, vm, answer.GetLeavingDigest())
		if answer.GetPushWanted() {
			x.pushMissing(ctx, vm, answer.GetRevision())
		}
	}()
}

// changesSince returns the changes after a revision, or none if there are more than maxPushedChanges: the receiver
// pulls those.
func (x *Exchanger) changesSince(from uint64) []*pb.Change {
	changes, complete := x.state.Catalogue.ChangesSince(from)
	if !complete || len(changes) > maxPushedChanges {
		return nil
	}
	return changesToProto(changes)
}

// newRequest returns a request with the current revision, list index and digest of leave notices.
func (x *Exchanger) newRequest() *pb.ExchangeRequest {
	age := x.state.Freshness.ageMS()
	revision, operation := x.state.Catalogue.Position()
	return &pb.ExchangeRequest{
		Vm: x.settings.VM, Revision: revision, OperationId: operation, StoreReadAgeMs: age,
		ListIndex: x.state.List().Index, LeavingDigest: x.state.LeaveDigest(),
	}
}

// compare adopts what the other keeper has and this one lacks, and pushes to the other keeper what that one lacks. It
// returns whether the other keeper answered.
func (x *Exchanger) compare(ctx context.Context, vm fleet.VM) bool {
	request := x.newRequest()
	timeout := exchangeTimeout
	if request.GetRevision() == 0 {
		timeout = snapshotTimeout
	}
	begin := time.Now()
	answer, err := x.call(ctx, vm, request, timeout)
	if err != nil {
		logevent.PeerUnreachable.Log(x.log).Err(peererr.Wrap(err, "exchange", vm.Name)).Send()
		return false
	}
	x.adoptAnswer(vm, answer, begin)
	x.pushLeaveNotices(ctx, vm, answer.GetLeavingDigest())
	x.pushMissing(ctx, vm, answer.GetRevision())
	return true
}

// call sends a request to a keeper and records its answer. A keeper that does not answer within timeout is recorded as
// one to push new changes to.
func (x *Exchanger) call(
	ctx context.Context, vm fleet.VM, r *pb.ExchangeRequest, timeout time.Duration,
) (*pb.ExchangeResponse, error) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	keeper, err := x.peers.Keeper(vm.KeeperAddress)
	if err != nil {
		return nil, err
	}
	answer, err := keeper.Exchange(ctx, r)
	if status.Code(err) == codes.DeadlineExceeded {
		x.pushTargets.record(vm, true)
	}
	if err != nil {
		return nil, err
	}
	x.state.Freshness.RecordContact()
	x.lastAnswer.Store(time.Now().UnixNano())
	x.pushTargets.record(vm, answer.GetPushWanted())
	countTraffic(vm.Region == x.settings.Region, r, answer)
	return answer, nil
}

// adoptAnswer adopts what a keeper answered to a comparison. begin is when the call to that keeper began.
func (x *Exchanger) adoptAnswer(vm fleet.VM, answer *pb.ExchangeResponse, begin time.Time) {
	if answer.GetVms() != nil {
		x.state.adoptList(answer.GetVms())
		if listed, found := x.state.View().Entry(vm.Name); found {
			vm = listed
		}
	}
	x.state.adoptListConfirmation(answer, begin)
	x.state.AdoptLeaveNotices(answer.GetLeaving())
	x.adoptCatalogue(answer.GetChanges(), answer.GetSnapshot())
	isConsistent := x.reconcile(answer.GetRevision(), answer.GetOperationId(), answer.StoreReadAgeMs, begin)
	if isConsistent {
		x.state.Readiness.RecordPeerComparison(answer.GetReady(), vm.Zone == x.settings.Zone)
	}
}

// pushMissing sends a keeper at a lower revision the changes that it lacks.
func (x *Exchanger) pushMissing(ctx context.Context, vm fleet.VM, revision uint64) {
	request := x.newRequest()
	if revision >= request.GetRevision() {
		return
	}
	request.Changes, request.Snapshot = x.catalogueUpdateFrom(revision)
	_, _ = x.call(ctx, vm, request, snapshotTimeout)
}

// pushLeaveNotices sends the leave notices to a keeper whose digest of them differs.
func (x *Exchanger) pushLeaveNotices(ctx context.Context, vm fleet.VM, digest uint64) {
	notices := x.state.LeaveNotices(digest)
	if len(notices) == 0 {
		return
	}
	request := x.newRequest()
	request.AnnounceOnly = true
	request.Leaving = notices
	_, _ = x.call(ctx, vm, request, exchangeTimeout)
}

// needsPushes reports whether this keeper's calls to other keepers have been unanswered for too long.
func (x *Exchanger) needsPushes() bool {
	return time.Since(time.Unix(0, x.lastAnswer.Load())) > unansweredLimit
}
