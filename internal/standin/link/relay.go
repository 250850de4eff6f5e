package link

import (
	"context"
	"errors"
	"io"
	"net"
	"os"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// maxChunkBytes is the longest piece that is passed on at once.
	maxChunkBytes = 32 << 10
	// maxQueuedChunks bounds the pieces that wait in one direction of a connection.
	maxQueuedChunks = 256
	// dialTimeout bounds the wait for the target of a relay.
	dialTimeout = 5 * time.Second
)

// Relay listens in place of a target and passes bytes both ways.
type Relay struct {
	target  string
	forward *Direction
	back    *Direction
	gate    *gate
	// bytesRelayed counts the bytes that this relay bytesRelayed on, forward and back.
	bytesRelayed [2]atomic.Int64
	ctx          context.Context
	cancel       context.CancelFunc
	wg           sync.WaitGroup

	mu sync.Mutex
	// reset is closed to reset the connections that are open.
	reset chan struct{}
}

// NewRelay listens on a free port of loopback for connections to the target address. Forward is the direction from
// the side that connects.
func NewRelay(target string, forward, back *Direction) (*Relay, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithCancel(context.Background())
	r := &Relay{
		target: target, forward: forward, back: back, gate: newGate(listener.(*net.TCPListener)), ctx: ctx, cancel: cancel,
		reset: make(chan struct{}),
	}
	r.wg.Go(r.watchCuts)
	r.wg.Go(r.accept)
	return r, nil
}

// Address returns where the relay listens.
func (r *Relay) Address() string { return r.gate.listener.Addr().String() }

// BytesRelayed returns how many bytes this relay passed on.
func (r *Relay) BytesRelayed() (forward, back int64) {
	return r.bytesRelayed[0].Load(), r.bytesRelayed[1].Load()
}

// Close ends the relay and all its connections.
func (r *Relay) Close() {
	r.cancel()
	r.gate.close()
	r.wg.Wait()
}

// Reset resets all connections that are open. New ones are accepted.
func (r *Relay) Reset() {
	r.mu.Lock()
	defer r.mu.Unlock()
	close(r.reset)
	r.reset = make(chan struct{})
}

// context returns a context that ends with the relay or its next reset.
func (r *Relay) context() (context.Context, context.CancelFunc) {
	r.mu.Lock()
	reset := r.reset
	r.mu.Unlock()
	ctx, cancel := context.WithCancel(r.ctx)
	go func() {
		select {
		case <-reset:
			cancel()
		case <-ctx.Done():
		}
	}()
	return ctx, cancel
}

// watchCuts closes the gate while a direction is cut, since no handshake succeeds over a one-way cut.
func (r *Relay) watchCuts() {
	for {
		forwardCut, forwardChanged := r.forward.state()
		backCut, backChanged := r.back.state()
		r.gate.setClosed(forwardCut || backCut)
		select {
		case <-forwardChanged:
		case <-backChanged:
		case <-r.ctx.Done():
			return
		}
	}
}

func (r *Relay) accept() {
	for {
		conn, err := r.gate.accept(r.ctx)
		if err != nil {
			return
		}
		r.wg.Go(func() { r.serve(conn) })
	}
}

func (r *Relay) serve(client *net.TCPConn) {
	defer client.Close()
	ctx, cancel := r.context()
	defer cancel()
	// The handshake takes one way in each direction.
	if !sleep(ctx, r.forward.currentDelay()+r.back.currentDelay()) {
		return
	}
	dialer := net.Dialer{Timeout: dialTimeout}
	upstream, err := dialer.DialContext(ctx, "tcp", r.target)
	if err != nil {
		// A reset is nearest to a refused connection once the near side is connected.
		_ = client.SetLinger(0)
		return
	}
	server := upstream.(*net.TCPConn)
	defer server.Close()
	stop := context.AfterFunc(ctx, func() {
		if r.ctx.Err() == nil {
			// Without a lingering close both sides see a reset.
			_ = client.SetLinger(0)
			_ = server.SetLinger(0)
		}
		_ = client.Close()
		_ = server.Close()
	})
	defer stop()
	var both sync.WaitGroup
	both.Go(func() { pump(ctx, client, server, r.forward, &r.bytesRelayed[0]) })
	both.Go(func() { pump(ctx, server, client, r.back, &r.bytesRelayed[1]) })
	both.Wait()
}

// chunk is a piece of a byte stream. Without data it is the end of the stream.
type chunk struct {
	data       []byte
	receivedAt time.Time
	isReset    bool
}

// pump passes the stream from one connection to the other.
func pump(ctx context.Context, from, to *net.TCPConn, d *Direction, passed *atomic.Int64) {
	queue := make(chan chunk, maxQueuedChunks)
	var reader sync.WaitGroup
	reader.Go(func() { readChunks(from, queue) })
	for c := range queue {
		if !d.awaitDeparture(ctx, len(c.data), c.receivedAt) || !writeChunk(to, c) {
			// The other side is gone, and so is the reader of what is still to come.
			_ = from.CloseRead()
			break
		}
		passed.Add(int64(len(c.data)))
	}
	for range queue {
	}
	reader.Wait()
}

func writeChunk(to *net.TCPConn, c chunk) bool {
	if c.isReset {
		_ = to.SetLinger(0)
		_ = to.Close()
		return true
	}
	if len(c.data) == 0 {
		_ = to.CloseWrite()
		return true
	}
	_, err := to.Write(c.data)
	return err == nil
}

func readChunks(from *net.TCPConn, queue chan<- chunk) {
	defer close(queue)
	for {
		buffer := make([]byte, maxChunkBytes)
		n, err := from.Read(buffer)
		if n > 0 {
			queue <- chunk{data: buffer[:n], receivedAt: time.Now()}
		}
		if err == nil {
			continue
		}
		isLocalClose := errors.Is(err, net.ErrClosed) || errors.Is(err, os.ErrDeadlineExceeded)
		queue <- chunk{receivedAt: time.Now(), isReset: !errors.Is(err, io.EOF) && !isLocalClose}
		return
	}
}

// HasAppliedCuts reports whether the relay has taken in the newest cut or heal of its directions.
func (r *Relay) HasAppliedCuts() bool {
	forwardCut, _ := r.forward.state()
	backCut, _ := r.back.state()
	return r.gate.closed() == (forwardCut || backCut)
}
