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

// MaxMessageBytes bounds a message from a keeper. A snapshot of a large catalogue is the longest.
const MaxMessageBytes = 64 << 20

// connectParams bound the wait before a lost connection is tried again, so that a healed path is used within seconds.
var connectParams = grpc.ConnectParams{
	Backoff:           backoff.Config{BaseDelay: 100 * time.Millisecond, Multiplier: 1.6, Jitter: 0.2, MaxDelay: time.Second},
	MinConnectTimeout: time.Second,
}

// Client calls keepers. It keeps one connection to each.
type Client struct {
	mu    sync.Mutex
	conns map[string]*grpc.ClientConn
}

// NewClient returns a client without connections.
func NewClient() *Client { return &Client{conns: map[string]*grpc.ClientConn{}} }

// Keeper returns the stub for the keeper at address.
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

// Retain closes the connections to all addresses but the given ones.
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

// ConnectionCount returns how many connections are kept.
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
