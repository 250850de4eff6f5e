package keeper

import (
	"context"

	"github.com/rs/zerolog"
	"go.uber.org/fx"
	"google.golang.org/grpc"

	pb "github.com/primroseladder/primroseladder/api/primrosev1"
	"github.com/primroseladder/primroseladder/internal/keeperpeer"
	"github.com/primroseladder/primroseladder/internal/listen"
	"github.com/primroseladder/primroseladder/internal/store"
	"github.com/primroseladder/primroseladder/internal/vmlist"
)

// Module returns the fx module of primrose-keeper.
func Module(s *Settings, log zerolog.Logger) fx.Option {
	client := store.NewClient(s.StoreURL)
	return fx.Options(
		fx.Supply(s, log),
		fx.Provide(
			NewState, NewOpinions, keeperpeer.NewClient, NewRoles, NewExchanger, NewServer, NewStoreFollower, NewListFollower,
			NewMaintainer,
			func() store.Store { return client },
			func(c *keeperpeer.Client) Peers { return c },
			func() *vmlist.Client { return vmlist.NewClient(s.VMListURL) },
		),
		fx.Invoke(func(lc fx.Lifecycle, lf *ListFollower, sf *StoreFollower, x *Exchanger, o *Opinions, m *Maintainer) {
			for _, run := range []func(context.Context){lf.Run, sf.Run, x.Run, o.Run, m.Run, x.expireNotices} {
				listen.Background(lc, run)
			}
		}),
		fx.Invoke(func(lc fx.Lifecycle, state *State, server *Server, roles *Roles, x *Exchanger) {
			publishCounters(client)
			grpcServer := grpc.NewServer(grpc.MaxRecvMsgSize(keeperpeer.MaxMessageBytes))
			pb.RegisterKeeperServer(grpcServer, server)
			listen.GRPC(lc, s.PeerListen, grpcServer)
			lc.Append(fx.StopHook(server.EndStreams))
			listen.HTTP(lc, s.CallerListen, CallerRouter(s, state))
			listen.HTTP(lc, s.OperatorListen, OperatorRouter(s, state, roles, client))
			// Stop hooks run in reverse order: this one runs first.
			lc.Append(fx.StopHook(x.drainCallers))
		}),
	)
}
