package capacity_test

import (
	"context"
	"fmt"
	"net"
	"net/http/httptest"
	"sync/atomic"
	"testing"
	"time"

	"github.com/gorilla/mux"
	"google.golang.org/grpc"
	"google.golang.org/grpc/credentials/insecure"

	pb "github.com/primroseladder/primroseladder/api/primrosev1"
	"github.com/primroseladder/primroseladder/internal/capacity"
	"github.com/primroseladder/primroseladder/internal/catalogue"
	"github.com/primroseladder/primroseladder/internal/fleet"
	"github.com/primroseladder/primroseladder/internal/keeperpeer"
	"github.com/primroseladder/primroseladder/internal/standin/kv"
	"github.com/primroseladder/primroseladder/internal/store"
)

// fixedResponseKeeper answers every comparison with the same response.
type fixedResponseKeeper struct {
	pb.UnimplementedKeeperServer
	response *pb.ExchangeResponse
}

func (k *fixedResponseKeeper) Exchange(context.Context, *pb.ExchangeRequest) (*pb.ExchangeResponse, error) {
	return k.response, nil
}

func (k *fixedResponseKeeper) Share(context.Context, *pb.OpinionBatch) (*pb.OpinionAck, error) {
	return &pb.OpinionAck{}, nil
}

// countingConn counts the bytes that a connection carries in both directions, without the headers of TCP and IP.
type countingConn struct {
	net.Conn
	bytes *atomic.Int64
}

func (c countingConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.bytes.Add(int64(n))
	return n, err
}

func (c countingConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.bytes.Add(int64(n))
	return n, err
}

// dialCountingKeeper returns a client of a keeper over TCP and the counter of its connection's bytes.
func dialCountingKeeper(b *testing.B, response *pb.ExchangeResponse) (pb.KeeperClient, *atomic.Int64) {
	listener := must(net.Listen("tcp", "127.0.0.1:0"))
	server := grpc.NewServer()
	pb.RegisterKeeperServer(server, &fixedResponseKeeper{response: response})
	go func() { _ = server.Serve(listener) }()
	b.Cleanup(server.Stop)
	var bytes atomic.Int64
	dial := func(ctx context.Context, address string) (net.Conn, error) {
		conn, err := (&net.Dialer{}).DialContext(ctx, "tcp", address)
		return countingConn{conn, &bytes}, err
	}
	conn := must(grpc.NewClient("passthrough:///"+listener.Addr().String(),
		grpc.WithTransportCredentials(insecure.NewCredentials()), grpc.WithContextDialer(dial)))
	b.Cleanup(func() { _ = conn.Close() })
	client := pb.NewKeeperClient(conn)
	must(client.Exchange(b.Context(), &pb.ExchangeRequest{Vm: "entry-00001"}))
	return client, &bytes
}

// BenchmarkExchange sends one comparison of revisions. Its response holds n changes of one entry each.
func BenchmarkExchange(b *testing.B) {
	for _, n := range []int{0, 1, 4} {
		b.Run(fmt.Sprintf("n=%d", n), func(b *testing.B) {
			client, bytes := dialCountingKeeper(b, responseWith(n))
			age := uint64(750)
			request := &pb.ExchangeRequest{
				Vm: "entry-00001", Revision: 70_000, OperationId: operationID, StoreReadAgeMs: &age, ListIndex: 20_000,
			}
			bytes.Store(0)
			for b.Loop() {
				must(client.Exchange(b.Context(), request))
			}
			b.ReportMetric(float64(bytes.Load())/float64(b.N), "wire-B")
		})
	}
}

// BenchmarkListStep measures an announcement that relays a delta of the VM list with n VMs.
func BenchmarkListStep(b *testing.B) {
	for _, n := range []int{0, 1, 4} {
		b.Run(fmt.Sprintf("n=%d", n), func(b *testing.B) {
			client, bytes := dialCountingKeeper(b, responseWith(0))
			step := fleet.Delta{Index: 20_001}
			for i := range n {
				step.Changed = append(step.Changed, capacity.Target.BackendServer(i))
			}
			request := &pb.ExchangeRequest{
				Vm: "entry-00001", Revision: 70_000, OperationId: operationID, ListIndex: 20_001, AnnounceOnly: true,
				List: keeperpeer.DeltaToProto(20_000, step),
			}
			bytes.Store(0)
			for b.Loop() {
				must(client.Exchange(b.Context(), request))
			}
			b.ReportMetric(float64(bytes.Load())/float64(b.N), "wire-B")
		})
	}
}

const operationID = "5f0c2ab49e774b0d8c1e6f2a9b3d7e10"

func responseWith(changes int) *pb.ExchangeResponse {
	age := uint64(750)
	return &pb.ExchangeResponse{
		Revision: 70_000, OperationId: operationID, StoreReadAgeMs: &age, Ready: true, Changes: protoChanges(changes),
	}
}

func protoChanges(n int) []*pb.Change {
	var out []*pb.Change
	for i := range n {
		out = append(out, keeperpeer.ChangeToProto(newChange(i)))
	}
	return out
}

func newChange(i int) *catalogue.Change {
	return &catalogue.Change{
		Revision: uint64(i + 1), OperationID: fmt.Sprintf("%032d", i), PreviousOperationID: operationID, Author: "operator", Message: "raise the queue",
		Time: time.Unix(1_800_000_000, 0), Entries: must(capacity.Encode([]*catalogue.Entry{capacity.Target.Entry(i)})),
	}
}

// BenchmarkShare sends n opinions in one message.
func BenchmarkShare(b *testing.B) {
	for _, n := range []int{1, 8} {
		b.Run(fmt.Sprintf("n=%d", n), func(b *testing.B) {
			client, bytes := dialCountingKeeper(b, &pb.ExchangeResponse{})
			batch := &pb.OpinionBatch{}
			for i := range n {
				batch.Opinions = append(batch.Opinions, &pb.Opinion{
					Service: capacity.ServiceName(i), Backend: fmt.Sprintf("backend-%06d", i), Observer: "entry-00001",
					ObserverZone: "region-01-1", Kind: pb.OpinionKind_OPINION_KIND_FAILING, Sequence: uint64(1000 + i),
					LifetimeMs: 5000, ObserverEpoch: 1_800_000_000_000_000,
				})
			}
			bytes.Store(0)
			for b.Loop() {
				must(client.Share(b.Context(), batch))
			}
			b.ReportMetric(float64(bytes.Load())/float64(b.N), "wire-B")
		})
	}
}

// BenchmarkStoreWrite appends changes of n entries and counts the calls to the platform's store.
func BenchmarkStoreWrite(b *testing.B) {
	for _, n := range []int{1, 8} {
		b.Run(fmt.Sprintf("n=%d", n), func(b *testing.B) {
			router := mux.NewRouter()
			kv.New().Register(router)
			server := httptest.NewServer(router)
			defer server.Close()
			client := store.NewClient(server.URL)
			log := store.NewChangeLog(client)
			revision := uint64(0)
			for b.Loop() {
				revision++
				change := newChange(int(revision))
				change.Revision = revision
				change.Entries = must(capacity.Encode(capacity.Target.Entries()[:n]))
				if err := log.Append(b.Context(), change); err != nil {
					b.Fatal(err)
				}
			}
			b.ReportMetric(float64(client.Calls())/float64(b.N), "calls")
		})
	}
}
