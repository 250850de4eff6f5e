package entrypeer

import (
	"context"
	"sync"
	"time"

	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/credentials/insecure"
	"google.golang.org/grpc/status"

	pb "github.com/primroseladder/primroseladder/api/primrosev1"
	"github.com/primroseladder/primroseladder/internal/fleet"
	"github.com/primroseladder/primroseladder/internal/peererr"
	"github.com/primroseladder/primroseladder/internal/request"
)

// MaxMessageBytes is the maximum size in bytes of a message between entries.
const MaxMessageBytes = 16 << 20

// Client calls other entries and keeps one connection to each. It is safe for concurrent use.
type Client struct {
	mu    sync.Mutex
	conns map[string]*grpc.ClientConn
}

// NewClient returns a client without connections. Connections are opened on first use.
func NewClient() *Client { return &Client{conns: map[string]*grpc.ClientConn{}} }

// conn returns the connection to an address, and creates it on first use. It does not wait until the connection is open.
func (c *Client) conn(address string) (*grpc.ClientConn, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if known := c.conns[address]; known != nil {
		return known, nil
	}
	created, err := grpc.NewClient("passthrough:///"+address,
		grpc.WithTransportCredentials(insecure.NewCredentials()),
		grpc.WithDisableRetry(),
		grpc.WithDefaultCallOptions(grpc.MaxCallRecvMsgSize(MaxMessageBytes), grpc.MaxCallSendMsgSize(MaxMessageBytes)),
	)
	if err != nil {
		return nil, err
	}
	c.conns[address] = created
	return created, nil
}

// Close closes all connections.
func (c *Client) Close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for address, conn := range c.conns {
		_ = conn.Close()
		delete(c.conns, address)
	}
}

// Forward sends a request to another entry and returns its response. If err is not nil, started reports whether the other
// entry may have begun to run the request.
func (c *Client) Forward(
	ctx context.Context, to fleet.VM, r *request.Request,
) (response *request.Response, started bool, err error) {
	conn, err := c.conn(to.EntryAddress)
	if err != nil {
		return nil, false, peererr.Wrap(err, "forward", to.Name)
	}
	if !awaitReady(ctx, conn) {
		return nil, false, peererr.Wrap(status.Error(codes.Unavailable, "no connection"), "forward", to.Name)
	}
	answer, err := pb.NewEntryClient(conn).Forward(ctx, requestToProto(r))
	if err != nil {
		return nil, !isRefusal(err), peererr.Wrap(err, "forward", to.Name)
	}
	if answer.GetRequestId() != r.ID {
		return nil, true, peererr.Wrap(status.Error(codes.DataLoss, "answer to another request"), "forward", to.Name)
	}
	return responseFromProto(answer), true, nil
}

// isRefusal reports whether err is the other entry's reply that it does not run the request.
func isRefusal(err error) bool {
	code := status.Code(err)
	return code == codes.NotFound || code == codes.FailedPrecondition
}

// connectTimeout is the maximum wait for a connection to another entry.
const connectTimeout = 300 * time.Millisecond
