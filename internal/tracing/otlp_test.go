package tracing_test

import (
	"context"
	"net"
	"testing"

	qt "github.com/frankban/quicktest"
	collector "go.opentelemetry.io/proto/otlp/collector/trace/v1"
	"google.golang.org/grpc"

	"github.com/primroseladder/primroseladder/internal/tracing"
)

// receiver receives spans over OTLP and sends their names to a channel.
type receiver struct {
	collector.UnimplementedTraceServiceServer
	names chan string
}

func (r *receiver) Export(_ context.Context, req *collector.ExportTraceServiceRequest) (*collector.ExportTraceServiceResponse, error) {
	for _, resource := range req.GetResourceSpans() {
		for _, scope := range resource.GetScopeSpans() {
			for _, span := range scope.GetSpans() {
				r.names <- span.GetName()
			}
		}
	}
	return &collector.ExportTraceServiceResponse{}, nil
}

// TestExportOverOTLP checks that a span reaches an OTLP receiver by the time tracing is stopped.
func TestExportOverOTLP(t *testing.T) {
	c := qt.New(t)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	server := grpc.NewServer()
	r := &receiver{names: make(chan string, 1)}
	collector.RegisterTraceServiceServer(server, r)
	go func() { _ = server.Serve(listener) }()
	defer server.Stop()
	stop, err := tracing.SetUp("primrose-entry", "entry-1", tracing.Settings{
		OTLPEndpoint: listener.Addr().String(), SampleFraction: 1,
	})
	c.Assert(err, qt.IsNil)
	_, span := tracing.Start(context.Background(), "caller request")
	span.End("")
	c.Assert(stop(context.Background()), qt.IsNil)
	c.Assert(<-r.names, qt.Equals, "caller request")
}
