package backend

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"sync"
	"syscall"
	"time"

	"github.com/primroseladder/primroseladder/internal/header"
	"github.com/primroseladder/primroseladder/internal/membudget"
	"github.com/primroseladder/primroseladder/internal/peererr"
)

const requestIDHeader = header.RequestID

// defaultMaxIdle is the idle time after which connections of a pool from NewPool are not reused.
const defaultMaxIdle = 30 * time.Second

// largeBodyBytes is the size above which a body may not fit into the buffers on its way, so that its sender waits for its reader.
const largeBodyBytes = 16 << 10

// dialTimeout is the connect timeout of pools from NewPool.
const dialTimeout = 500 * time.Millisecond

// Options configure a pool.
type Options struct {
	// MaxConns is the maximum number of open connections. Values below 1 count as 1.
	MaxConns int
	// RequestIDHeader is the header in which answers carry the ID of their request.
	RequestIDHeader string
	// MaxIdle is the idle time after which a connection is not reused, unless the backend server advertises a shorter one.
	MaxIdle time.Duration
	// Dialer opens connections.
	Dialer *net.Dialer
	// UserTimeout, if set, is the time after which the dialer's connections end if sent data is not acknowledged. A request with a
	// large body may take until its deadline instead, since its backend server may read slowly.
	UserTimeout time.Duration
	// AllowUnframed accepts answers that have neither a Content-Length nor chunked encoding and end with a clean close of
	// the connection.
	AllowUnframed bool
	// Memory limits the memory for the answers that are being received, heads and bodies. Pools may share it; nil means no limit.
	Memory *membudget.Budget
	// SkipMismatched skips answers that carry the ID of another request and waits for the right one.
	SkipMismatched bool
}

// AttemptError is the error of a failed attempt.
type AttemptError struct {
	// MayHaveStarted is set if the backend server may have started to run the request.
	MayHaveStarted bool
	// ConnIdle is how long the connection had been idle before the attempt; 0 for a new one.
	ConnIdle time.Duration
	Err      error
}

func (e *AttemptError) Error() string {
	return fmt.Sprintf("may_have_started=%t: %v", e.MayHaveStarted, e.Err)
}

// Unwrap returns the cause.
func (e *AttemptError) Unwrap() error { return e.Err }

// Pool is a pool of connections to one backend server. It is safe for concurrent use.
type Pool struct {
	address string
	options Options

	mu   sync.Mutex
	idle []*conn
	// open counts the connections that are idle, in use or being opened.
	open     int
	isClosed bool
}

// NewPool returns a pool of at most maxConns connections to address, with default options.
func NewPool(address string, maxConns int) *Pool {
	return NewPoolWithOptions(address, DefaultOptions(maxConns))
}

// DefaultOptions returns the options of NewPool. They set no limit for the memory of answers.
func DefaultOptions(maxConns int) Options {
	return Options{
		MaxConns: maxConns, RequestIDHeader: requestIDHeader, MaxIdle: defaultMaxIdle, Dialer: &net.Dialer{Timeout: dialTimeout},
	}
}

// NewPoolWithOptions returns a pool of connections to address.
func NewPoolWithOptions(address string, o Options) *Pool {
	o.MaxConns = max(1, o.MaxConns)
	return &Pool{address: address, options: o}
}

// Do sends the request once and returns the whole answer. It fails with ErrTooManyConns, without waiting, if all
// connections are in use. Its errors are of type *AttemptError.
func (p *Pool) Do(ctx context.Context, r *Request) (*Answer, error) {
	c, err := p.acquire(ctx)
	if err != nil {
		return nil, &AttemptError{MayHaveStarted: false, Err: peererr.Wrap(err, "connect", p.address)}
	}
	if err := ctx.Err(); err != nil {
		p.release(c, c.isReused)
		return nil, &AttemptError{MayHaveStarted: false, Err: peererr.Wrap(err, "connect", p.address)}
	}
	if r.BeforeWrite != nil {
		if err := r.BeforeWrite(); err != nil {
			p.release(c, c.isReused)
			return nil, &AttemptError{MayHaveStarted: false, Err: peererr.Wrap(err, "send", p.address)}
		}
	}
	restoreTimeout := func() {}
	if deadline, ok := ctx.Deadline(); ok {
		_ = c.SetDeadline(deadline)
		if len(r.Body) > largeBodyBytes {
			restoreTimeout = c.extendUserTimeout(time.Until(deadline))
		}
	}
	idleFor := c.idleTime()
	// A deadline in the past ends a blocked read or write as soon as ctx is cancelled.
	stop := context.AfterFunc(ctx, func() { _ = c.SetDeadline(time.Unix(1, 0)) })
	answer, reusable, failure := exchange(c, r)
	if !stop() {
		reusable = false
	}
	if reusable {
		restoreTimeout()
	}
	p.release(c, reusable)
	if failure != nil {
		failure.Err, failure.ConnIdle = peererr.Wrap(failure.Err, "exchange", p.address), idleFor
		return nil, failure
	}
	return answer, nil
}

// RefusesConnections reports whether nothing listens at the address of the backend server. It opens a connection and closes it.
func (p *Pool) RefusesConnections(ctx context.Context) bool {
	raw, err := p.options.Dialer.DialContext(ctx, "tcp", p.address)
	if err != nil {
		return errors.Is(err, syscall.ECONNREFUSED)
	}
	_ = raw.Close()
	return false
}

// exchange writes the request and reads the answer. It reports whether the connection can be reused.
func exchange(c *conn, r *Request) (*Answer, bool, *AttemptError) {
	started, err := c.write(r)
	if err != nil {
		return nil, false, &AttemptError{MayHaveStarted: started, Err: err}
	}
	answer, reusable, err := c.readAnswer(r)
	if err != nil {
		return nil, false, &AttemptError{MayHaveStarted: true, Err: err}
	}
	return answer, reusable, nil
}

// acquire returns the most recently used idle connection that is still usable, or opens a new one.
func (p *Pool) acquire(ctx context.Context) (*conn, error) {
	for {
		c, err := p.takeIdleOrReserve()
		if err != nil {
			return nil, err
		}
		if c == nil {
			break
		}
		if time.Since(c.idleSince) < c.maxIdle && c.isUsable() {
			return c, nil
		}
		p.release(c, false)
	}
	raw, err := p.options.Dialer.DialContext(ctx, "tcp", p.address)
	if err != nil {
		p.releaseReservation()
		return nil, err
	}
	return newConn(raw, &p.options), nil
}

// takeIdleOrReserve removes an idle connection from the pool and returns it. If there is none, it counts a new connection
// as open and returns nil.
func (p *Pool) takeIdleOrReserve() (*conn, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if n := len(p.idle); n > 0 {
		c := p.idle[n-1]
		p.idle = p.idle[:n-1]
		return c, nil
	}
	if p.open >= p.options.MaxConns {
		return nil, ErrTooManyConns
	}
	p.open++
	return nil, nil
}

// release puts the connection back into the pool if it is reusable, and closes it otherwise.
func (p *Pool) release(c *conn, reusable bool) {
	if reusable && p.putIdle(c) {
		return
	}
	_ = c.Close()
	p.releaseReservation()
}

// putIdle adds the connection to the idle ones. It returns false if the pool is closed.
func (p *Pool) putIdle(c *conn) bool {
	_ = c.SetDeadline(time.Time{})
	c.idleSince = time.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.isClosed {
		return false
	}
	p.idle = append(p.idle, c)
	return true
}

// releaseReservation subtracts from the open connections one that was closed or could not be opened.
func (p *Pool) releaseReservation() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.open--
}

// Close closes the idle connections. Connections in use are closed when they are released.
func (p *Pool) Close() {
	p.mu.Lock()
	idle := p.idle
	p.idle = nil
	p.open -= len(idle)
	p.isClosed = true
	p.mu.Unlock()
	for _, c := range idle {
		_ = c.Close()
	}
}

// HasIdle reports whether the pool has an idle connection.
func (p *Pool) HasIdle() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return len(p.idle) > 0
}

// OpenConns returns the number of connections that are open or being opened.
func (p *Pool) OpenConns() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.open
}

// MayHaveStarted reports whether the backend server may have started to run the request of a failed attempt. It is true for
// errors that are not an AttemptError.
func MayHaveStarted(err error) bool {
	var attempt *AttemptError
	return !errors.As(err, &attempt) || attempt.MayHaveStarted
}

// ConnIdleBefore returns how long the connection of a failed attempt had been idle before it; 0 for a new one.
func ConnIdleBefore(err error) time.Duration {
	var attempt *AttemptError
	if !errors.As(err, &attempt) {
		return 0
	}
	return attempt.ConnIdle
}

// IsConnectionBroken reports whether the backend server closed the connection before a whole answer header was received, or
// reset it.
func IsConnectionBroken(err error) bool {
	return errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) || errors.Is(err, syscall.ECONNRESET) ||
		errors.Is(err, syscall.EPIPE)
}
