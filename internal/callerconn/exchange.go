package callerconn

import (
	"bytes"
	"context"
	"fmt"
	"net/http"
	"runtime/debug"
	"slices"
	"strconv"
	"time"

	"github.com/primroseladder/primroseladder/internal/logevent"
)

// exchange is a request and its answer.
type exchange struct {
	conn    *conn
	request *http.Request
	cancel  context.CancelFunc
	// bodyBytes is the size of the body that was read.
	bodyBytes int
	// heldBytes is the memory that the body has taken from Options.Memory.
	heldBytes int64
	// isLast is set if the connection must be closed after the answer. It is guarded by conn.mu once the exchange is
	// pending.
	isLast bool
	// isStarted is set once the request was passed to the handler. It is guarded by conn.mu.
	isStarted bool
}

// arrivalKey is the context key of the time at which the header of a request was read.
type arrivalKey struct{}

// Arrival returns the time at which the header of the request with the context ctx was read. For the request of another
// server it returns the current time.
func Arrival(ctx context.Context) time.Time {
	if at, ok := ctx.Value(arrivalKey{}).(time.Time); ok {
		return at
	}
	return time.Now()
}

func newExchange(c *conn, r *http.Request) *exchange {
	ctx, cancel := context.WithCancel(context.WithValue(c.ctx, arrivalKey{}, time.Now()))
	r = r.WithContext(ctx)
	if prepare := c.server.options.Prepare; prepare != nil {
		r = prepare(r)
	}
	return &exchange{conn: c, request: r, cancel: cancel}
}

// id returns the id of the request.
func (e *exchange) id() string { return e.request.Header.Get(e.conn.server.options.RequestIDHeader) }

// run handles the request and writes its answer.
func (e *exchange) run() {
	defer e.cancel()
	w := newResponse()
	if !e.start() || !e.handle(w) {
		e.drop()
		return
	}
	e.answer(w)
}

// start waits until the request may run. It returns false if the connection ends before that.
func (e *exchange) start() bool {
	c := e.conn
	mayOverlap := c.server.options.MayOverlap(e.request)
	c.mu.Lock()
	defer c.mu.Unlock()
	for !c.isLast && !mayOverlap && c.pending[0] != e {
		c.changed.Wait()
	}
	e.isStarted = !c.isLast && c.ctx.Err() == nil
	return e.isStarted
}

// handle passes the request to the handler. It returns false if the handler panics.
func (e *exchange) handle(w *response) (ok bool) {
	defer func() {
		if reason := recover(); reason != nil {
			logevent.HandlerPanicked.Log(e.conn.server.options.Log).Str("request", e.id()).Stringer("peer", e.conn.raw.RemoteAddr()).
				Str("reason", fmt.Sprint(reason)).Bytes("stack", debug.Stack()).Send()
			e.conn.abort()
		}
	}()
	e.conn.server.options.Handler.ServeHTTP(w, e.request)
	return true
}

// drop removes a request that is not answered. This happens only on a connection that has ended or is about to.
func (e *exchange) drop() {
	c := e.conn
	c.mu.Lock()
	defer c.mu.Unlock()
	e.remove()
}

// remove removes the exchange from the pending ones. The caller holds c.mu.
func (e *exchange) remove() {
	c := e.conn
	if at := slices.Index(c.pending, e); at >= 0 {
		c.pending = slices.Delete(c.pending, at, at+1)
		c.pendingBytes -= e.bodyBytes
		c.server.options.Memory.GiveBack(e.heldBytes)
	}
	c.wake()
}

// answer writes the answer once those of the earlier requests are written. The connection closes after it if it must and
// no later request has been started.
func (e *exchange) answer(w *response) {
	c := e.conn
	c.mu.Lock()
	for c.pending[0] != e && !c.isFinished {
		c.changed.Wait()
	}
	if c.isFinished {
		e.remove()
		c.mu.Unlock()
		return
	}
	isLaterStarted := len(c.pending) > 1 && slices.ContainsFunc(c.pending[1:], func(later *exchange) bool { return later.isStarted })
	mustClose := e.isLast || c.server.options.IsClosing()
	c.isLast = c.isLast || mustClose && !isLaterStarted
	isLast := c.isLast
	c.mu.Unlock()
	memory, size := c.server.options.Memory, int64(w.body.Len())
	// A caller that takes its answer slowly must not leave room for further bodies meanwhile.
	memory.Charge(size)
	err := c.write(w.encode(e.request.Method, isLast))
	memory.GiveBack(size)
	c.mu.Lock()
	defer c.mu.Unlock()
	if err != nil {
		logevent.RequestFailed.Log(c.server.options.Log).Str("request", e.id()).Str("reason", "the answer could not be written").
			Stringer("peer", c.raw.RemoteAddr()).Err(err).Send()
		c.cancel()
	}
	c.hasLastAnswer = c.hasLastAnswer || isLast && err == nil
	c.isFinished = c.isFinished || isLast || err != nil
	e.remove()
}

// response collects the answer of the handler. It implements http.ResponseWriter.
type response struct {
	header http.Header
	status int
	body   bytes.Buffer
}

func newResponse() *response { return &response{header: http.Header{}} }

// Header implements http.ResponseWriter.
func (w *response) Header() http.Header { return w.header }

// WriteHeader implements http.ResponseWriter.
func (w *response) WriteHeader(status int) {
	if w.status == 0 {
		w.status = status
	}
}

// Write implements http.ResponseWriter.
func (w *response) Write(p []byte) (int, error) {
	w.WriteHeader(http.StatusOK)
	return w.body.Write(p)
}

// SetReadDeadline is called by handlers that limit the time to read a body. The body has been read already.
func (w *response) SetReadDeadline(time.Time) error { return nil }

// connectionHeaders are the headers that encode writes itself.
var connectionHeaders = map[string]bool{"Connection": true, "Content-Length": true, "Transfer-Encoding": true, "Keep-Alive": true}

// encode returns the answer as it is sent.
func (w *response) encode(method string, isLast bool) []byte {
	w.WriteHeader(http.StatusOK)
	var out bytes.Buffer
	fmt.Fprintf(&out, "HTTP/1.1 %03d %s\r\n", w.status, http.StatusText(w.status))
	if w.header.Get("Date") == "" {
		w.header.Set("Date", time.Now().UTC().Format(http.TimeFormat))
	}
	_ = w.header.WriteSubset(&out, connectionHeaders)
	hasBody := w.status >= http.StatusOK && w.status != http.StatusNoContent && w.status != http.StatusNotModified
	switch {
	case hasBody && method == http.MethodHead && w.header.Get("Content-Length") != "":
		out.WriteString("Content-Length: " + w.header.Get("Content-Length") + "\r\n")
	case hasBody && method != http.MethodHead:
		out.WriteString("Content-Length: " + strconv.Itoa(w.body.Len()) + "\r\n")
	}
	if isLast {
		out.WriteString("Connection: close\r\n")
	}
	out.WriteString("\r\n")
	if hasBody && method != http.MethodHead {
		out.Write(w.body.Bytes())
	}
	return out.Bytes()
}
