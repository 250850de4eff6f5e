package keeper

import (
	"time"

	pb "github.com/primroseladder/primroseladder/api/primrosev1"
	"github.com/primroseladder/primroseladder/internal/catalogue"
	"github.com/primroseladder/primroseladder/internal/keeperpeer"
	"github.com/primroseladder/primroseladder/internal/logevent"
)

// HandleExchange answers the request of another keeper to compare catalogue revisions. It first adopts what the
// request carries: leave notices, a VM list update and catalogue changes. Unless the request only announces, the
// response carries what the other keeper lacks.
func (x *Exchanger) HandleExchange(r *pb.ExchangeRequest) *pb.ExchangeResponse {
	x.state.AdoptLeaveNotices(r.GetLeaving())
	x.state.adoptList(r.GetList())
	before := x.state.Catalogue.Revision()
	hasParentPush := len(r.GetChanges()) > 0 && before < r.GetRevision() && x.roles.IsPushedBy(r.GetVm())
	if hasParentPush {
		x.pushedByParent.Store(true)
	}
	x.adoptCatalogue(r.GetChanges(), r.GetSnapshot())
	if hasParentPush && x.state.Catalogue.Revision() == before {
		x.pushedByParent.Store(false)
	}
	x.reconcile(r.GetRevision(), r.GetOperationId(), r.StoreReadAgeMs, time.Now())
	age := x.state.Freshness.ageMS()
	current, operation := x.state.Catalogue.Position()
	if r.GetRevision() > current {
		x.requestPull(r.GetVm())
	}
	answer := &pb.ExchangeResponse{
		Revision: current, OperationId: operation, StoreReadAgeMs: age, Ready: x.state.Readiness.IsReady(),
		PushWanted: x.needsPushes(), Leaving: x.state.LeaveNotices(r.GetLeavingDigest()), LeavingDigest: x.state.LeaveDigest(),
		ListIndex: x.state.List().Index, ListAgeMs: x.state.listAgeMS(),
	}
	if r.GetAnnounceOnly() {
		return answer
	}
	answer.Vms = x.state.listUpdateFrom(r.GetListIndex())
	if r.GetRevision() < current {
		answer.Changes, answer.Snapshot = x.catalogueUpdateFrom(r.GetRevision())
	}
	return answer
}

func (x *Exchanger) requestPull(name string) {
	select {
	case x.pullRequests <- name:
	default:
	}
}

// catalogueUpdateFrom returns the changes after revision, or a snapshot if the history does not reach back that far.
func (x *Exchanger) catalogueUpdateFrom(revision uint64) ([]*pb.Change, *pb.CatalogueUpdate) {
	changes, complete := x.state.Catalogue.ChangesSince(revision)
	if !complete {
		return nil, fullUpdate(x.state)
	}
	return changesToProto(changes), nil
}

func changesToProto(changes []*catalogue.Change) []*pb.Change {
	out := make([]*pb.Change, 0, len(changes))
	for _, c := range changes {
		out = append(out, keeperpeer.ChangeToProto(c))
	}
	return out
}

// adoptCatalogue applies the changes or the snapshot of another keeper if they lead to a higher revision.
func (x *Exchanger) adoptCatalogue(changes []*pb.Change, s *pb.CatalogueUpdate) {
	if s != nil {
		entries := keeperpeer.EntriesFromProto(s.GetEntries())
		if x.state.Catalogue.Replace(s.GetRevision(), s.GetOperationId(), entries) {
			x.state.NotifyChanged()
		}
		return
	}
	list := make([]*catalogue.Change, 0, len(changes))
	for _, c := range changes {
		list = append(list, keeperpeer.ChangeFromProto(c))
	}
	// The error is not needed: after a gap or a fork the revision stays where it is, and reconcile handles that.
	_, _ = x.state.ApplyChanges(list)
}

// reconcile compares the position of this keeper with that of another one. It returns true if no fork is known between
// them and this keeper's revision is not lower. In that case a confirmation by the store that the other keeper
// reports, ageMS milliseconds before at, is valid for this keeper too.
func (x *Exchanger) reconcile(revision uint64, peerOperation string, ageMS *uint64, at time.Time) bool {
	localOperation, known := x.state.Catalogue.OperationID(revision)
	if known && revision > 0 && localOperation != peerOperation {
		if x.state.SetForkRevision(revision) {
			logevent.CatalogueForked.Log(x.log).Uint64("revision", revision).
				Str("own", localOperation).Str("other", peerOperation).Send()
		}
		return false
	}
	if x.state.Catalogue.Revision() < revision {
		return false
	}
	if ageMS != nil {
		x.state.Freshness.Confirm(at.Add(-time.Duration(*ageMS) * time.Millisecond))
	}
	return true
}

func fullUpdate(state *State) *pb.CatalogueUpdate {
	revision, operation, entries := state.Catalogue.Snapshot()
	return &pb.CatalogueUpdate{
		Revision: revision, OperationId: operation, Complete: true, Entries: keeperpeer.EntriesToProto(entries),
	}
}
