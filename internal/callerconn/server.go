// Package callerconn serves HTTP/1.1 connections on which callers may pipeline requests.
//
// Requests that may be repeated run side by side; any other request starts once all requests before it on its connection
// are answered. Answers are returned in the order of the requests. A connection is read while its requests run, so a caller
// that leaves cancels all of them, also with further requests waiting. Once an answer has announced that the connection
// closes, no request of that connection is started.
//
// net/http's server is not used because it handles one request of a connection at a time, does not notice that a caller
// has left once a further request has arrived, and may reset the connection under its last answer. Requests are parsed by
// net/http.
package callerconn

import (
	"context"
	"errors"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"github.com/primroseladder/primroseladder/internal/logevent"
	"github.com/primroseladder/primroseladder/internal/membudget"
	"github.com/primroseladder/primroseladder/internal/periodic"
)

// Options configure a Server.
type Options struct {
	// Handler handles the requests. Their bodies have been read already.
	Handler http.Handler
	// MayOverlap reports whether a request may run before the earlier requests of its connection are answered.
	MayOverlap func(*http.Request) bool
	// Prepare, if set, is called once the header of a request is read. The request that it returns replaces the original one for
	// MayOverlap, BodyLimits and Handler.
	Prepare func(*http.Request) *http.Request
	// BodyLimits returns the maximum size of the body of a request, and the time within which it must be received.
	BodyLimits func(*http.Request) (bytes int64, within time.Duration)
	// RequestIDHeader is the header with the id of a request, for the log.
	RequestIDHeader string
	// IsClosing reports whether connections must be closed after their answers.
	IsClosing func() bool
	// ReadHeaderTimeout limits the time from the first byte of a request to the end of its header.
	ReadHeaderTimeout time.Duration
	// IdleTimeout is how long a connection without requests is kept open.
	IdleTimeout time.Duration
	// UnusedTimeout is how long a server that shuts down waits for the first byte on a new connection.
	UnusedTimeout time.Duration
	// WriteTimeout limits the time in which a caller must accept an answer.
	WriteTimeout time.Duration
	// MaxHeaderBytes limits the header of a request.
	MaxHeaderBytes int
	// MaxPending limits the requests of one connection that are read but not answered.
	MaxPending int
	// MaxPendingBytes is the size of the bodies of these requests from which no further request is read.
	MaxPendingBytes int
	// Memory limits the bodies that are held until their requests are answered. Answers that callers have not taken count too. Nil
	// means no limit.
	Memory *membudget.Budget
	Log    zerolog.Logger
}

// Server serves the connections of callers. It is safe for concurrent use.
type Server struct {
	options Options

	mu       sync.Mutex
	listener net.Listener
	conns    map[*conn]struct{}
}

// NewServer returns a Server.
func NewServer(o Options) *Server { return &Server{options: o, conns: map[*conn]struct{}{}} }

// acceptRetryDelay is the pause after a failed accept, such as for lack of file descriptors.
const acceptRetryDelay = 5 * time.Millisecond

// Serve accepts connections until Shutdown closes the listener.
func (s *Server) Serve(l net.Listener) {
	s.mu.Lock()
	s.listener = l
	s.mu.Unlock()
	for {
		raw, err := l.Accept()
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			logevent.CallerConnFailed.Log(s.options.Log).Str("step", "accept").Err(err).Send()
			time.Sleep(acceptRetryDelay)
			continue
		}
		go s.add(raw).serve()
	}
}

func (s *Server) add(raw net.Conn) *conn {
	s.mu.Lock()
	defer s.mu.Unlock()
	c := newConn(raw, s)
	s.conns[c] = struct{}{}
	return c
}

func (s *Server) remove(c *conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.conns, c)
}

// shutdownPollInterval is the interval at which Shutdown looks for connections that have become idle.
const shutdownPollInterval = 20 * time.Millisecond

// Shutdown closes the listener and waits until the requests in flight are answered. Idle connections are closed at once.
// When ctx ends first, the remaining connections are closed and the error of ctx is returned.
func (s *Server) Shutdown(ctx context.Context) error {
	s.mu.Lock()
	var err error
	if s.listener != nil {
		err = s.listener.Close()
	}
	s.mu.Unlock()
	for s.closeIdle(time.Now()) > 0 {
		if !periodic.Pause(ctx, shutdownPollInterval) {
			s.abortAll()
			return ctx.Err()
		}
	}
	return err
}

// closeIdle closes the connections without requests. It returns the number of connections that are still open.
func (s *Server) closeIdle(now time.Time) (left int) {
	for _, c := range s.list() {
		c.closeIfIdle(now)
		left++
	}
	return left
}

// abortAll closes the connections whose requests are not answered in time.
func (s *Server) abortAll() {
	for _, c := range s.list() {
		logevent.CallerConnFailed.Log(s.options.Log).Str("step", "shutdown").Stringer("peer", c.raw.RemoteAddr()).
			Int("pending", c.pendingCount()).Send()
		c.abort()
	}
}

func (s *Server) list() []*conn {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := make([]*conn, 0, len(s.conns))
	for c := range s.conns {
		out = append(out, c)
	}
	return out
}
