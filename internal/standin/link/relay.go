package link

import (
	"context"
	"errors"
	"io"
	"net"
	"os"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

const (
	// maxChunkBytes is the maximum number of bytes that are read and forwarded at once.
	maxChunkBytes = 32 << 10
	// maxQueuedChunks bounds the chunks that wait in one direction of a connection.
	maxQueuedChunks = 256
	// dialTimeout bounds connection attempts to the target of a relay.
	dialTimeout = 5 * time.Second
	// listenCheckInterval is the time between two checks whether a target that refused a connection listens again.
	listenCheckInterval = 10 * time.Millisecond
)

// Relay listens in place of a target address and forwards each connection to it, with the faults of its two directions. While
// nothing listens at the target, the relay resets the first connection and refuses those after it.
type Relay struct {
	target  string
	forward *Direction
	back    *Direction
	gate    *gate
	// bytesRelayed counts the bytes that this relay forwarded: towards the target, and back.
	bytesRelayed [2]atomic.Int64
	ctx          context.Context
	cancel       context.CancelFunc
	wg           sync.WaitGroup
	// isRefusing is set while refuseUntilTargetListens waits for the target.
	isRefusing atomic.Bool

	mu sync.Mutex
	// reset is closed by the next call of Reset.
	reset chan struct{}
}

// NewRelay starts a relay to the target address on a free port of the loopback interface. forward is the direction from
// the connecting side to the target, back the opposite one.
func NewRelay(target string, forward, back *Direction) (*Relay, error) {
	g, err := newGate()
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithCancel(context.Background())
	r := &Relay{
		target: target, forward: forward, back: back, gate: g, ctx: ctx, cancel: cancel, reset: make(chan struct{}),
	}
	r.wg.Go(r.watchCuts)
	r.wg.Go(r.accept)
	return r, nil
}

// Address returns the address on which the relay listens, as host:port.
func (r *Relay) Address() string { return r.gate.listener.Addr().String() }

// BytesRelayed returns the number of bytes that this relay forwarded in each direction.
func (r *Relay) BytesRelayed() (forward, back int64) {
	return r.bytesRelayed[0].Load(), r.bytesRelayed[1].Load()
}

// Close stops the relay and closes all its connections.
func (r *Relay) Close() {
	r.cancel()
	r.gate.close()
	r.wg.Wait()
}

// Reset resets all open connections. New connections are still accepted.
func (r *Relay) Reset() {
	r.mu.Lock()
	defer r.mu.Unlock()
	close(r.reset)
	r.reset = make(chan struct{})
}

// context returns a context that ends when the relay is closed or its connections are reset.
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

// watchCuts closes the gate while either direction is cut, because a TCP handshake needs both.
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

// serve connects to the target and forwards the bytes of a client connection until both streams have ended.
func (r *Relay) serve(client *net.TCPConn) {
	defer client.Close()
	ctx, cancel := r.context()
	defer cancel()
	// A TCP handshake takes one round trip.
	if !sleep(ctx, r.forward.currentDelay()+r.back.currentDelay()) {
		return
	}
	dialer := net.Dialer{Timeout: dialTimeout}
	upstream, err := dialer.DialContext(ctx, "tcp", r.target)
	if err != nil {
		// The client is connected already, so that a reset is the closest equivalent of a refused connection.
		_ = client.SetLinger(0)
		if errors.Is(err, syscall.ECONNREFUSED) {
			r.refuseUntilTargetListens()
		}
		return
	}
	server := upstream.(*net.TCPConn)
	defer server.Close()
	stop := context.AfterFunc(ctx, func() {
		if r.ctx.Err() == nil {
			// With linger time 0, closing a connection sends a reset.
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

// refuseUntilTargetListens refuses new connections until something listens at the target. Only the first call has an effect
// until then.
func (r *Relay) refuseUntilTargetListens() {
	if !r.isRefusing.CompareAndSwap(false, true) {
		return
	}
	r.gate.setRefusing(true)
	r.wg.Go(func() {
		dialer := net.Dialer{Timeout: dialTimeout}
		for sleep(r.ctx, listenCheckInterval) {
			conn, err := dialer.DialContext(r.ctx, "tcp", r.target)
			if err != nil {
				continue
			}
			_ = conn.Close()
			r.gate.setRefusing(false)
			r.isRefusing.Store(false)
			return
		}
	})
}

// chunk is a part of a byte stream. A chunk without data marks the end of the stream, by a reset if isReset is set.
type chunk struct {
	data       []byte
	receivedAt time.Time
	isReset    bool
}

// pump forwards the stream from one connection to the other and counts its bytes.
func pump(ctx context.Context, from, to *net.TCPConn, d *Direction, counter *atomic.Int64) {
	queue := make(chan chunk, maxQueuedChunks)
	var reader sync.WaitGroup
	reader.Go(func() { readChunks(from, queue) })
	for c := range queue {
		if !d.awaitDeparture(ctx, len(c.data), c.receivedAt) || !writeChunk(to, c) {
			// The other side is closed, so that the rest of the stream has no reader.
			_ = from.CloseRead()
			break
		}
		counter.Add(int64(len(c.data)))
	}
	// readChunks ends only if its queue is drained.
	for range queue {
	}
	reader.Wait()
}

// writeChunk forwards a chunk: its data, or the end or the reset of the stream. It returns false if the write failed.
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

// readChunks puts the stream into the queue in chunks, the last of which marks the end of the stream, and closes the queue.
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

// HasAppliedCuts reports whether the last change of SetCut on either direction already applies to new connections.
func (r *Relay) HasAppliedCuts() bool {
	forwardCut, _ := r.forward.state()
	backCut, _ := r.back.state()
	return r.gate.closed() == (forwardCut || backCut)
}
