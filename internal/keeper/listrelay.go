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
	// directListKeepers is the region size up to which every keeper reads the platform's VM list.
	directListKeepers = 64
	// listReaders is how many keepers of a larger region read the platform's VM list. The others receive the deltas of
	// the list down the push tree.
	listReaders = 2
	// readerLossTimeout is how much longer than one long poll the list may go unconfirmed before the region's
	// readers count as lost.
	readerLossTimeout = time.Minute
	// listRoleInterval is how often a keeper that does not read the list checks whether it should.
	listRoleInterval = time.Second
)

// IsListRelayed reports whether only some keepers of the region read the platform's VM list.
func (r *Roles) IsListRelayed() bool { return r.RegionSize() > directListKeepers }

// IsListReader reports whether this keeper reads the platform's VM list. A keeper without a list reads it once.
func (r *Roles) IsListReader() bool {
	_, rank := r.rankedRegions()
	if !r.IsListRelayed() || (rank >= 0 && rank < listReaders) {
		return true
	}
	return r.state.List().Index == 0
}

// listUpdateFrom returns the update from the list with the given index to the current one, or nil if the current one
// is not newer. A keeper that lags too far behind, or has no list, gets the complete list.
func (s *State) listUpdateFrom(index uint64) *pb.VMList {
	s.mu.Lock()
	list := s.list
	delta, complete := s.deltas.since(index)
	s.mu.Unlock()
	switch {
	case list.Index <= index:
		return nil
	case index == 0 || !complete:
		return keeperpeer.ViewToProto(list)
	default:
		return keeperpeer.DeltaToProto(index, delta)
	}
}

// adoptList adopts a list or a delta of another keeper. A delta from a list that this keeper does not have is
// ignored; the next comparison brings the rest.
func (s *State) adoptList(list *pb.VMList) {
	if list == nil {
		return
	}
	view, err := keeperpeer.UpdatedViewFromProto(s.List(), list)
	if errors.Is(err, keeperpeer.ErrBaseMismatch) {
		return
	}
	s.SetList(view)
}

// listAgeMS returns how long ago the platform confirmed the list, in milliseconds, or nil if it never did.
func (s *State) listAgeMS() *uint64 {
	confirmed := s.ListConfirmed()
	if confirmed.IsZero() {
		return nil
	}
	age := uint64(time.Since(confirmed).Milliseconds())
	return &age
}

// adoptListConfirmation adopts the platform's confirmation that another keeper reports for the same list. Its age
// counts from begin, when the call began.
func (s *State) adoptListConfirmation(answer *pb.ExchangeResponse, begin time.Time) {
	if answer.ListAgeMs != nil && answer.GetListIndex() == s.List().Index {
		s.ConfirmList(begin.Add(-time.Duration(answer.GetListAgeMs()) * time.Millisecond))
	}
}

// relayList sends the delta from the list with index from to the children in the push tree and to a random keeper of
// the region, so that the list reaches keepers below unavailable ones.
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
