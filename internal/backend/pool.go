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
	"github.com/primroseladder/primroseladder/internal/peererr"
)

const requestIDHeader = header.RequestID

// defaultMaxIdle is how long an unused connection is kept.
const defaultMaxIdle = 30 * time.Second

// dialTimeout bounds the wait for a new connection.
const dialTimeout = 500 * time.Millisecond

// Options say how a pool talks to its backend server.
type Options struct {
	// MaxConns bounds the open connections.
	MaxConns int
	// RequestIDHeader is the header in which answers name their request.
	RequestIDHeader string
	// MaxIdle is how long an unused connection is kept, unless the backend server announces a shorter time.
	MaxIdle time.Duration
	// Dialer opens connections.
	Dialer *net.Dialer
	// AllowUnframed accepts answers without length or chunks that end with a clean close of the connection.
	AllowUnframed bool
	// SkipMismatched passes over answers that name another request and waits for the own one.
	SkipMismatched bool
}

// AttemptError tells how an attempt failed.
type AttemptError struct {
	// MayHaveStarted is true where the backend server may have begun to run the request.
	MayHaveStarted bool
	// ConnIdle is how long the connection was unused before; 0 for a new one.
	ConnIdle time.Duration
	Err      error
}

func (e *AttemptError) Error() string { return fmt.Sprintf("started=%t: %v", e.MayHaveStarted, e.Err) }

// Unwrap returns the cause.
func (e *AttemptError) Unwrap() error { return e.Err }

// Pool keeps the connections to one backend server.
type Pool struct {
	address string
	options Options

	mu       sync.Mutex
	idle     []*conn
	open     int
	isClosed bool
}

// NewPool returns a pool of at most maxConns connections to address.
func NewPool(address string, maxConns int) *Pool {
	return NewPoolWithOptions(address, Options{
		MaxConns: maxConns, RequestIDHeader: requestIDHeader, MaxIdle: defaultMaxIdle, Dialer: &net.Dialer{Timeout: dialTimeout},
	})
}

// NewPoolWithOptions returns a pool with the options.
func NewPoolWithOptions(address string, o Options) *Pool {
	o.MaxConns = max(1, o.MaxConns)
	return &Pool{address: address, options: o}
}

// Do sends the request and returns the whole answer. Its errors are *AttemptError.
func (p *Pool) Do(ctx context.Context, r *Request) (*Answer, error) {
	c, err := p.acquire(ctx)
	if err != nil {
		return nil, &AttemptError{MayHaveStarted: false, Err: peererr.Wrap(err, "connect", p.address)}
	}
	if err := ctx.Err(); err != nil {
		p.release(c, c.isReused)
		return nil, &AttemptError{MayHaveStarted: false, Err: peererr.Wrap(err, "connect", p.address)}
	}
	if deadline, ok := ctx.Deadline(); ok {
		_ = c.SetDeadline(deadline)
	}
	idleFor := c.idleTime()
	// A cancelled context ends the read at once.
	stop := context.AfterFunc(ctx, func() { _ = c.SetDeadline(time.Unix(1, 0)) })
	answer, reusable, failure := exchange(c, r)
	if !stop() {
		reusable = false
	}
	p.release(c, reusable)
	if failure != nil {
		failure.Err, failure.ConnIdle = peererr.Wrap(failure.Err, "exchange", p.address), idleFor
		return nil, failure
	}
	return answer, nil
}

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

// acquire returns an idle connection or opens one.
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

// takeIdleOrReserve returns an idle connection, or nil after it reserved room for a new one.
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

func (p *Pool) release(c *conn, reusable bool) {
	if reusable && p.putIdle(c) {
		return
	}
	_ = c.Close()
	p.releaseReservation()
}

// putIdle makes the connection idle unless the pool is closed.
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

func (p *Pool) releaseReservation() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.open--
}

// Close closes the idle connections. Connections in use are closed when they come back.
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

// HasIdle reports whether a connection waits for a request.
func (p *Pool) HasIdle() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return len(p.idle) > 0
}

// OpenConns returns how many connections are open.
func (p *Pool) OpenConns() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.open
}

// MayHaveStarted reports whether the backend server may have begun the work of a failed attempt.
func MayHaveStarted(err error) bool {
	var attempt *AttemptError
	return !errors.As(err, &attempt) || attempt.MayHaveStarted
}

// ConnIdleBefore returns how long the connection of a failed attempt was unused before; 0 for a new one.
func ConnIdleBefore(err error) time.Duration {
	var attempt *AttemptError
	if !errors.As(err, &attempt) {
		return 0
	}
	return attempt.ConnIdle
}

// IsConnectionBroken reports whether the backend server ended the connection before it sent any of an answer.
func IsConnectionBroken(err error) bool {
	return errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) || errors.Is(err, syscall.ECONNRESET) ||
		errors.Is(err, syscall.EPIPE)
}
