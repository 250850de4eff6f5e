package keeperpeer

import (
	"sync"
	"time"

	"google.golang.org/grpc"
	"google.golang.org/grpc/backoff"
	"google.golang.org/grpc/credentials/insecure"

	pb "github.com/primroseladder/primroseladder/api/primrosev1"
	"github.com/primroseladder/primroseladder/internal/peererr"
)

// MaxMessageBytes limits the size of a message from a keeper. The largest message contains a whole large catalogue.
const MaxMessageBytes = 64 << 20

// connectParams limit the delay between attempts to reconnect, so that a restored network path is used within seconds.
var connectParams = grpc.ConnectParams{
	Backoff:           backoff.Config{BaseDelay: 100 * time.Millisecond, Multiplier: 1.6, Jitter: 0.2, MaxDelay: time.Second},
	MinConnectTimeout: time.Second,
}

// Client holds the gRPC connections to keepers, one for each address.
type Client struct {
	mu    sync.Mutex
	conns map[string]*grpc.ClientConn
}

// NewClient returns a client without connections.
func NewClient() *Client { return &Client{conns: map[string]*grpc.ClientConn{}} }

// Keeper returns the gRPC stub of the keeper at address. The connection is established by the first call.
func (c *Client) Keeper(address string) (pb.KeeperClient, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	conn := c.conns[address]
	if conn == nil {
		created, err := grpc.NewClient("passthrough:///"+address,
			grpc.WithTransportCredentials(insecure.NewCredentials()),
			grpc.WithDefaultCallOptions(grpc.MaxCallRecvMsgSize(MaxMessageBytes)),
			grpc.WithConnectParams(connectParams),
		)
		if err != nil {
			return nil, peererr.Wrap(err, "connect", address)
		}
		conn = created
		c.conns[address] = conn
	}
	return pb.NewKeeperClient(conn), nil
}

// Retain closes the connections to all addresses except the given ones.
func (c *Client) Retain(addresses map[string]bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for address, conn := range c.conns {
		if !addresses[address] {
			_ = conn.Close()
			delete(c.conns, address)
		}
	}
}

// ConnectionCount returns the number of addresses for which the client keeps a connection.
func (c *Client) ConnectionCount() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.conns)
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
