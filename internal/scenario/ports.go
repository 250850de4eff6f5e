package scenario

import (
	"errors"
	"fmt"
	"net"
	"sync"
)

const (
	// firstBlockPort is the first port of the first block. All blocks are below the ephemeral port range of the kernel.
	firstBlockPort = 24_000
	portsPerBlock  = 1000
	blockCount     = 8
)

var errNoPorts = errors.New("no free block of ports, or no free port in the block of this test run")

// portAllocator allocates loopback addresses to listen on. It reserves a whole block of ports by listening on the first
// one, so that concurrent test runs use different ports.
type portAllocator struct {
	mu            sync.Mutex
	blockListener net.Listener
	firstPort     int
	lastOffset    int
}

// newPortAllocator reserves the first block that no other test run has reserved.
func newPortAllocator() (*portAllocator, error) {
	for i := range blockCount {
		firstPort := firstBlockPort + i*portsPerBlock
		blockListener, err := net.Listen("tcp", loopback(firstPort))
		if err == nil {
			return &portAllocator{blockListener: blockListener, firstPort: firstPort}, nil
		}
	}
	return nil, errNoPorts
}

func loopback(port int) string { return fmt.Sprintf("127.0.0.1:%d", port) }

// allocate returns an address on which no process listens.
func (p *portAllocator) allocate() (string, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for range portsPerBlock {
		p.lastOffset = p.lastOffset%(portsPerBlock-1) + 1
		address := loopback(p.firstPort + p.lastOffset)
		listener, err := net.Listen("tcp", address)
		if err != nil {
			continue
		}
		_ = listener.Close()
		return address, nil
	}
	return "", errNoPorts
}

func (p *portAllocator) close() { _ = p.blockListener.Close() }
