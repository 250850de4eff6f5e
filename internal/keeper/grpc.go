package keeper

import (
	"context"

	pb "github.com/primroseladder/primroseladder/api/primrosev1"
)

// Server implements the gRPC service of a keeper.
type Server struct {
	pb.UnimplementedKeeperServer
	state     *State
	exchanger *Exchanger
	opinions  *Opinions
	// stopping is closed when a planned stop ends the streams.
	stopping chan struct{}
}

// NewServer returns the gRPC service.
func NewServer(state *State, x *Exchanger, o *Opinions) *Server {
	return &Server{state: state, exchanger: x, opinions: o, stopping: make(chan struct{})}
}

// EndStreams ends the streams to entries, which keep their last state. A graceful stop would wait for these streams
// forever.
func (s *Server) EndStreams() { close(s.stopping) }

// Exchange implements the gRPC service: it compares catalogue revisions with another keeper.
func (s *Server) Exchange(_ context.Context, r *pb.ExchangeRequest) (*pb.ExchangeResponse, error) {
	return s.exchanger.HandleExchange(r), nil
}

// Follow implements the gRPC service: it streams updates to the entry on this VM. The first catalogue and the first
// VM list are complete. No catalogue is sent before the keeper is ready.
func (s *Server) Follow(r *pb.FollowRequest, stream pb.Keeper_FollowServer) error {
	feed := listFeed{vm: r.GetVm()}
	var sentRevision, sentOpinions uint64
	var sentConfirmed int64
	var sentLeaving uint64
	for {
		changed := s.state.Changed()
		update := s.updateSince(sentRevision)
		update.Vms = feed.next(s.state.List())
		update.ListConfirmedUnixMs = s.state.ListConfirmed().UnixMilli()
		update.Leaving, sentLeaving = s.state.leavingSince(sentLeaving)
		update.Opinions, sentOpinions = s.opinions.Since(sentOpinions)
		isNewer := update.GetListConfirmedUnixMs() != sentConfirmed
		if isNewer || update.GetLeaving() != nil || update.GetCatalogue() != nil || update.GetVms() != nil ||
			update.GetOpinions() != nil {
			if err := stream.Send(update); err != nil {
				return err
			}
		}
		sentConfirmed = update.GetListConfirmedUnixMs()
		if update.GetCatalogue() != nil {
			sentRevision = update.GetCatalogue().GetRevision()
		}
		select {
		case <-stream.Context().Done():
			return nil
		case <-s.stopping:
			return nil
		case <-changed:
		}
	}
}

func (s *Server) updateSince(revision uint64) *pb.FleetUpdate {
	update := &pb.FleetUpdate{}
	if s.state.Catalogue.Revision() <= revision || !s.state.Readiness.IsReady() {
		return update
	}
	changes, complete := s.state.Catalogue.ChangesSince(revision)
	if revision == 0 || !complete {
		update.Catalogue = fullUpdate(s.state)
		return update
	}
	update.Catalogue = mergeChanges(changes)
	return update
}
