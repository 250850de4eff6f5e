package keeper

import (
	"context"
	"errors"
	"slices"
	"time"

	pb "github.com/primroseladder/primroseladder/api/primrosev1"
	"github.com/primroseladder/primroseladder/internal/keeperpeer"
)

const (
	// directListKeepers is the size of a region up to which each keeper reads the platform's VM list.
	directListKeepers = 64
	// listReaders is how many keepers of a larger region read it. The others get its steps down the tree of changes.
	listReaders = 2
	// readerLossTimeout is the age of the list beyond which the readers of the region count as lost.
	readerLossTimeout = time.Minute
	// listRoleInterval is the wait before a keeper that does not read the list looks again whether it should.
	listRoleInterval = time.Second
)

// IsListRelayed reports whether only some keepers of the region read the platform's VM list.
func (r *Roles) IsListRelayed() bool { return r.RegionSize() > directListKeepers }

// IsListReader reports whether this keeper reads the platform's VM list. One without a list reads it once.
func (r *Roles) IsListReader() bool {
	_, rank := r.rankedRegions()
	if !r.IsListRelayed() || (rank >= 0 && rank < listReaders) {
		return true
	}
	return r.state.List().Index == 0
}

// listUpdateFrom returns what leads from the list of an index to the own one, or nil where nothing does. A keeper that
// lags too far behind, or has no list, gets the whole.
func (s *State) listUpdateFrom(index uint64) *pb.VMList {
	s.mu.Lock()
	list := s.list
	delta, reaches := s.deltas.since(index)
	s.mu.Unlock()
	switch {
	case list.Index <= index:
		return nil
	case index == 0 || !reaches:
		return keeperpeer.ViewToProto(list)
	default:
		return keeperpeer.DeltaToProto(index, delta)
	}
}

// adoptList adopts a list or a step of another keeper. A step from another list is left for the next comparison.
func (s *State) adoptList(list *pb.VMList) {
	if list == nil {
		return
	}
	view, err := keeperpeer.ListFromProto(s.List(), list)
	if errors.Is(err, keeperpeer.ErrOtherBase) {
		return
	}
	s.SetList(view)
}

// listAgeMS is how long ago the platform confirmed the list, or nil where it never did.
func (s *State) listAgeMS() *uint64 {
	confirmed := s.ListConfirmed()
	if confirmed.IsZero() {
		return nil
	}
	age := uint64(time.Since(confirmed).Milliseconds())
	return &age
}

// adoptListConfirmation takes over when the platform confirmed the same list to another keeper.
func (s *State) adoptListConfirmation(answer *pb.ExchangeResponse, begin time.Time) {
	if answer.ListAgeMs != nil && answer.GetListIndex() == s.List().Index {
		s.ConfirmList(begin.Add(-time.Duration(answer.GetListAgeMs()) * time.Millisecond))
	}
}

// relayList sends the step from the list of an index to the keepers further down, and to any one of the region, so
// that it gets past keepers that are gone.
func (x *Exchanger) relayList(ctx context.Context, from uint64) {
	if from == 0 || !x.roles.IsListRelayed() {
		return
	}
	receivers := x.roles.Children()
	if vm, found := x.roles.RegionPeer(); found {
		receivers = append(slices.Clone(receivers), vm)
	}
	for _, vm := range receivers {
		request := x.newRequest()
		request.AnnounceOnly = true
		request.List = x.state.listUpdateFrom(from)
		go func() { _, _ = x.call(ctx, vm, request, exchangeTimeout) }()
	}
}
