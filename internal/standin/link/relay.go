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
	// chunkBytes is the longest piece that is passed on at once.
	chunkBytes = 32 << 10
	// heldChunks bounds the pieces that wait in one direction of a connection.
	heldChunks = 256
	// dialTimeout bounds the wait for the target of a relay.
	dialTimeout = 5 * time.Second
)

// Relay listens in place of a target and passes bytes both ways.
type Relay struct {
	target  string
	forward *Direction
	back    *Direction
	gate    *gate
	// passed counts the bytes that this relay passed on, forward and back.
	passed [2]atomic.Int64
	ctx    context.Context
	cancel context.CancelFunc
	wg     sync.WaitGroup

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
func (r *Relay) BytesRelayed() (forward, back int64) { return r.passed[0].Load(), r.passed[1].Load() }

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
		r.gate.set(forwardCut || backCut)
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

func (r *Relay) serve(near *net.TCPConn) {
	defer near.Close()
	ctx, cancel := r.context()
	defer cancel()
	// The handshake takes one way in each direction.
	if !sleep(ctx, r.forward.currentDelay()+r.back.currentDelay()) {
		return
	}
	dialer := net.Dialer{Timeout: dialTimeout}
	conn, err := dialer.DialContext(ctx, "tcp", r.target)
	if err != nil {
		// A reset is nearest to a refused connection once the near side is connected.
		_ = near.SetLinger(0)
		return
	}
	far := conn.(*net.TCPConn)
	defer far.Close()
	stop := context.AfterFunc(ctx, func() {
		if r.ctx.Err() == nil {
			// Without a lingering close both sides see a reset.
			_ = near.SetLinger(0)
			_ = far.SetLinger(0)
		}
		_ = near.Close()
		_ = far.Close()
	})
	defer stop()
	var both sync.WaitGroup
	both.Go(func() { pump(ctx, near, far, r.forward, &r.passed[0]) })
	both.Go(func() { pump(ctx, far, near, r.back, &r.passed[1]) })
	both.Wait()
}

// chunk is a piece of a byte stream. Without data it is the end of the stream.
type chunk struct {
	data   []byte
	cameIn time.Time
	reset  bool
}

// pump passes the stream from one connection to the other.
func pump(ctx context.Context, from, to *net.TCPConn, d *Direction, passed *atomic.Int64) {
	held := make(chan chunk, heldChunks)
	var reader sync.WaitGroup
	reader.Go(func() { readChunks(from, held) })
	for c := range held {
		if !d.pass(ctx, len(c.data), c.cameIn) || !deliver(to, c) {
			// The other side is gone, and so is the reader of what is still to come.
			_ = from.CloseRead()
			break
		}
		passed.Add(int64(len(c.data)))
	}
	for range held {
	}
	reader.Wait()
}

func deliver(to *net.TCPConn, c chunk) bool {
	if c.reset {
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

func readChunks(from *net.TCPConn, held chan<- chunk) {
	defer close(held)
	for {
		buffer := make([]byte, chunkBytes)
		n, err := from.Read(buffer)
		if n > 0 {
			held <- chunk{data: buffer[:n], cameIn: time.Now()}
		}
		if err == nil {
			continue
		}
		isOwn := errors.Is(err, net.ErrClosed) || errors.Is(err, os.ErrDeadlineExceeded)
		held <- chunk{cameIn: time.Now(), reset: !errors.Is(err, io.EOF) && !isOwn}
		return
	}
}

// HasAppliedCuts reports whether the relay has taken in the newest cut or heal of its directions.
func (r *Relay) HasAppliedCuts() bool {
	forwardCut, _ := r.forward.state()
	backCut, _ := r.back.state()
	return r.gate.closed() == (forwardCut || backCut)
}
