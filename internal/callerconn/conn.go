package callerconn

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"slices"
	"sync"
	"time"

	"golang.org/x/net/http/httpguts"

	"github.com/primroseladder/primroseladder/internal/logevent"
	"github.com/primroseladder/primroseladder/internal/membudget"
)

const (
	// readBufferBytes is the size of the read buffer. A connection that may have no further request is read up to this size,
	// to notice that the caller has left.
	readBufferBytes = 4 << 10
	// lingerTimeout and lingerBytes limit how long, and how much, a connection is read after its last answer. Closing a
	// connection with unread bytes resets it, and the caller may lose the answer.
	lingerTimeout = 500 * time.Millisecond
	lingerBytes   = 256 << 10
)

// conn is a connection of a caller. One goroutine reads it; each request runs in a goroutine of its own.
type conn struct {
	raw      net.Conn
	server   *Server
	limiter  *headerLimiter
	reader   *bufio.Reader
	accepted time.Time
	// ctx is cancelled when the caller has left or the connection is aborted.
	ctx    context.Context
	cancel context.CancelFunc

	mu sync.Mutex
	// changed is signalled when one of the fields below changes.
	changed *sync.Cond
	// pending holds the requests that are read but not answered, in order.
	pending []*exchange
	// pendingBytes is the size of the bodies of the pending requests.
	pendingBytes int
	// isReading is set from the first byte of a request until it is read completely.
	isReading bool
	// waiting is what the reading goroutine waits for.
	waiting waitState
	// idleUntil is when the connection is closed unless a request arrives; zero while requests are pending.
	idleUntil time.Time
	// isUsed is set once a byte has arrived.
	isUsed bool
	// isLast is set once the last answer of the connection is known. No request is read or started after that.
	isLast bool
	// isFinished is set once the last answer is written, or nothing more can be written.
	isFinished bool
	// hasLastAnswer is set once an answer that announces the end of the connection is written.
	hasLastAnswer bool
}

// waitState is what the reading goroutine of a connection waits for.
type waitState int

const (
	// notWaiting means that it reads a request.
	notWaiting waitState = iota
	// waitingForRequest means that it waits for the first byte of a request.
	waitingForRequest
	// waitingForRoom means that no further request may be read now. It reads ahead to notice the end of the stream.
	waitingForRoom
)

func newConn(raw net.Conn, s *Server) *conn {
	c := &conn{raw: raw, server: s, accepted: time.Now(), limiter: &headerLimiter{source: raw}}
	c.reader = bufio.NewReaderSize(c.limiter, readBufferBytes)
	c.ctx, c.cancel = context.WithCancel(context.Background())
	c.changed = sync.NewCond(&c.mu)
	return c
}

// serve reads and starts requests until the connection ends.
func (c *conn) serve() {
	defer c.server.remove(c)
	defer c.close()
	for c.awaitRequest() {
		r, err := c.readHeader()
		if err != nil {
			c.reject(err)
			return
		}
		e := newExchange(c, r)
		isComplete := c.readBody(e)
		c.mu.Lock()
		c.isReading = false
		e.isLast = r.Close || !isComplete || !r.ProtoAtLeast(1, 1)
		c.pending = append(c.pending, e)
		c.pendingBytes += e.bodyBytes
		c.mu.Unlock()
		go e.run()
	}
}

// acceptsRequests reports whether a further request may be read. The caller holds c.mu.
func (c *conn) acceptsRequests() bool {
	o := &c.server.options
	n := len(c.pending)
	return !c.isLast && n < o.MaxPending && c.pendingBytes <= o.MaxPendingBytes && (n == 0 || !c.pending[n-1].isLast)
}

// awaitRequest waits for the first byte of a request that may be read. It returns false if there will be none: the last
// answer is written, the connection was idle for too long, or the caller has left, which cancels the pending requests.
func (c *conn) awaitRequest() bool {
	for {
		wanted, mayRead := c.beginWait()
		if mayRead || wanted == 0 {
			return mayRead
		}
		_, err := c.reader.Peek(wanted)
		if !c.endWait(err) {
			return false
		}
	}
}

// beginWait returns the number of bytes to wait for, or 0 if the connection has ended. mayRead is set if a request can be
// read at once.
func (c *conn) beginWait() (wanted int, mayRead bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	accepts := c.acceptsRequests()
	switch {
	case c.isFinished:
		return 0, false
	case accepts && c.reader.Buffered() > 0:
		c.isReading, c.isUsed = true, true
		_ = c.raw.SetReadDeadline(time.Now().Add(c.server.options.ReadHeaderTimeout))
		return 0, true
	case accepts:
		c.waiting = waitingForRequest
		c.setWaitDeadline()
		return 1, false
	default:
		c.waiting = waitingForRoom
		c.setWaitDeadline()
		return c.reader.Buffered() + 1, false
	}
}

// endWait handles the end of a wait with the error err. It returns false if the connection has ended.
func (c *conn) endWait(err error) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.waiting = notWaiting
	switch {
	case err == nil:
		return true
	case errors.Is(err, bufio.ErrBufferFull):
		for !c.acceptsRequests() && !c.isFinished {
			c.changed.Wait()
		}
		return !c.isFinished
	case isTimeout(err):
		// wake sets a deadline in the past.
		return c.idleUntil.IsZero() || time.Now().Before(c.idleUntil)
	default:
		c.cancel()
		return false
	}
}

// setWaitDeadline sets the read deadline of a connection that waits. The caller holds c.mu.
func (c *conn) setWaitDeadline() {
	c.idleUntil = time.Time{}
	if len(c.pending) == 0 {
		c.idleUntil = time.Now().Add(c.server.options.IdleTimeout)
	}
	_ = c.raw.SetReadDeadline(c.idleUntil)
}

// wake makes the goroutines of the connection look at its state again. The caller holds c.mu.
func (c *conn) wake() {
	c.changed.Broadcast()
	switch {
	case c.waiting == waitingForRoom, c.waiting == waitingForRequest && c.isFinished:
		_ = c.raw.SetReadDeadline(time.Unix(1, 0))
	case c.waiting == waitingForRequest:
		c.setWaitDeadline()
	}
}

func isTimeout(err error) bool {
	var timeout net.Error
	return errors.As(err, &timeout) && timeout.Timeout()
}

func isInvalidValue(v string) bool { return !httpguts.ValidHeaderFieldValue(v) }

var (
	errHeaderTooLarge = errors.New("the header exceeds the limit")
	errNotHTTP1       = errors.New("the protocol is not HTTP/1")
	errNoHost         = errors.New("the Host header is missing")
	errBadHeader      = errors.New("a header contains characters that are not allowed")
)

// headerLimiter limits the bytes that are read for the header of a request.
type headerLimiter struct {
	source io.Reader
	// left is the number of bytes that may still be read while isLimited is set.
	left      int
	isLimited bool
	// err is the error of the last read.
	err error
}

// Read implements io.Reader.
func (l *headerLimiter) Read(p []byte) (int, error) {
	if !l.isLimited {
		return l.source.Read(p)
	}
	if l.left <= 0 {
		l.err = errHeaderTooLarge
		return 0, l.err
	}
	var n int
	n, l.err = l.source.Read(p[:min(len(p), l.left)])
	l.left -= n
	return n, l.err
}

// readHeader reads the header of a request and checks what http.ReadRequest does not.
func (c *conn) readHeader() (*http.Request, error) {
	c.limiter.left, c.limiter.isLimited, c.limiter.err = c.server.options.MaxHeaderBytes, true, nil
	r, err := http.ReadRequest(c.reader)
	c.limiter.isLimited = false
	switch {
	case err != nil && c.limiter.err != nil:
		// http.ReadRequest takes a line that was cut short by an error for a malformed one.
		return nil, c.limiter.err
	case err != nil:
		return nil, err
	case r.ProtoMajor != 1:
		return nil, errNotHTTP1
	case r.ProtoAtLeast(1, 1) && r.Host == "":
		return nil, errNoHost
	case !httpguts.ValidHostHeader(r.Host):
		return nil, errBadHeader
	}
	for name, values := range r.Header {
		if !httpguts.ValidHeaderFieldName(name) || slices.ContainsFunc(values, isInvalidValue) {
			return nil, errBadHeader
		}
	}
	r.RemoteAddr = c.raw.RemoteAddr().String()
	return r, nil
}

// readBody reads the body of a request within its limits, and reports whether it is complete. The handler gets what was
// read, followed by the error that ended it.
func (c *conn) readBody(e *exchange) (isComplete bool) {
	r := e.request
	if r.ContentLength == 0 {
		return true
	}
	limit, timeout := c.server.options.BodyLimits(r)
	_ = c.raw.SetReadDeadline(time.Now().Add(timeout))
	body, err := c.receiveBody(e, limit)
	var tooLarge *http.MaxBytesError
	if err != nil && !isTimeout(err) && !errors.As(err, &tooLarge) && !errors.Is(err, membudget.ErrExhausted) {
		// The caller has left, or has sent what is not a body.
		e.cancel()
	}
	r.Body = &receivedBody{Reader: bytes.NewReader(body), body: body, err: err}
	return err == nil
}

// receiveBody reads a body of at most limit bytes. One that is announced as too large for the limit or for the memory that is left is
// not read.
func (c *conn) receiveBody(e *exchange, limit int64) (body []byte, err error) {
	r := e.request
	memory := c.server.options.Memory
	switch {
	case r.ContentLength > limit:
		return nil, &http.MaxBytesError{Limit: limit}
	case !memory.Has(r.ContentLength):
		return nil, membudget.ErrExhausted
	case r.Header.Get("Expect") == "100-continue" && !c.sendContinue():
		// The connection has ended. Only this goroutine may read it.
		return nil, net.ErrClosed
	}
	body, e.heldBytes, err = memory.ReadAll(r.Body, r.ContentLength, limit)
	e.bodyBytes = len(body)
	if err == nil && int64(len(body)) > limit {
		err = &http.MaxBytesError{Limit: limit}
	}
	return body, err
}

// receivedBody is a body that has been read, followed by the error that ended it.
type receivedBody struct {
	*bytes.Reader
	body []byte
	err  error
}

// Read implements io.Reader.
func (b *receivedBody) Read(p []byte) (int, error) {
	n, err := b.Reader.Read(p)
	if errors.Is(err, io.EOF) && b.err != nil {
		err = b.err
	}
	return n, err
}

// Close implements io.Closer.
func (b *receivedBody) Close() error { return nil }

// Whole returns the body without copying it, and the error that ended it.
func (b *receivedBody) Whole() ([]byte, error) { return b.body, b.err }

// sendContinue tells the caller to send the body, after the answers to the earlier requests.
func (c *conn) sendContinue() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	for len(c.pending) > 0 && !c.isFinished {
		c.changed.Wait()
	}
	return !c.isFinished && c.write([]byte("HTTP/1.1 100 Continue\r\n\r\n")) == nil
}

// reject answers a request that cannot be read, after the answers to the earlier ones.
func (c *conn) reject(err error) {
	var status int
	switch {
	case errors.Is(err, errHeaderTooLarge):
		status = http.StatusRequestHeaderFieldsTooLarge
	case isTimeout(err):
		status = http.StatusRequestTimeout
	case errors.Is(err, io.EOF), errors.Is(err, io.ErrUnexpectedEOF), errors.Is(err, net.ErrClosed):
		c.cancel()
		return
	default:
		status = http.StatusBadRequest
	}
	logevent.RequestRefused.Log(c.server.options.Log).Stringer("peer", c.raw.RemoteAddr()).Int("status", status).Err(err).Send()
	c.mu.Lock()
	defer c.mu.Unlock()
	for len(c.pending) > 0 && !c.isFinished {
		c.changed.Wait()
	}
	if c.isFinished || c.isLast {
		return
	}
	c.isLast, c.isFinished, c.hasLastAnswer = true, true, true
	w := newResponse()
	w.WriteHeader(status)
	_ = c.write(w.encode(http.MethodGet, true))
}

// write writes an answer or a part of one.
func (c *conn) write(p []byte) error {
	_ = c.raw.SetWriteDeadline(time.Now().Add(c.server.options.WriteTimeout))
	_, err := c.raw.Write(p)
	return err
}

// close waits for the pending requests, which have been cancelled unless they are answered, and closes the connection.
func (c *conn) close() {
	c.mu.Lock()
	for len(c.pending) > 0 && !c.isFinished {
		c.changed.Wait()
	}
	c.isLast, c.isFinished = true, true
	mustLinger := c.hasLastAnswer && c.ctx.Err() == nil
	c.changed.Broadcast()
	c.mu.Unlock()
	if mustLinger {
		c.linger()
	}
	c.cancel()
	_ = c.raw.Close()
}

// linger reads and discards what the caller still sends, so that closing the connection does not reset it.
func (c *conn) linger() {
	if half, ok := c.raw.(interface{ CloseWrite() error }); ok && half.CloseWrite() == nil {
		_ = c.raw.SetReadDeadline(time.Now().Add(lingerTimeout))
		_, _ = io.CopyN(io.Discard, c.raw, lingerBytes)
	}
}

// closeIfIdle closes the connection if it has no request. A new one on which nothing has arrived counts as idle after
// UnusedTimeout.
func (c *conn) closeIfIdle(now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	isNew := !c.isUsed && now.Sub(c.accepted) <= c.server.options.UnusedTimeout
	if len(c.pending) > 0 || c.isReading || isNew || c.isFinished {
		return
	}
	c.isLast, c.isFinished = true, true
	c.wake()
}

// abort cancels the pending requests and closes the connection without their answers.
func (c *conn) abort() {
	c.cancel()
	c.mu.Lock()
	defer c.mu.Unlock()
	c.isLast, c.isFinished = true, true
	c.changed.Broadcast()
	_ = c.raw.Close()
}

func (c *conn) pendingCount() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.pending)
}
