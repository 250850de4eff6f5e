package gateway

import (
	"context"
	"errors"
	"net"
	"net/http"
	"time"

	"github.com/rs/zerolog"
	"go.uber.org/fx"

	"github.com/primroseladder/primroseladder/internal/logevent"
	"github.com/primroseladder/primroseladder/internal/membership"
	"github.com/primroseladder/primroseladder/internal/peererr"
	"github.com/primroseladder/primroseladder/internal/periodic"
)

const (
	// answerTTL is how long callers keep the answer which VMs to use. Some keep it three times as long, so a VM that
	// stops takes connections for linger afterwards.
	answerTTL = time.Second
	// linger is how long a stopping VM still takes connections.
	linger = 2800 * time.Millisecond
	// endMargin is the part of the grace time that is left when requests in flight are given up.
	endMargin = 300 * time.Millisecond
	// leaveTimeout bounds the call that takes back the registration.
	leaveTimeout = time.Second
)

const (
	// readHeaderTimeout bounds the time to send a header; the users' limit is 3 s.
	readHeaderTimeout = 5 * time.Second
	// idleTimeout is how long an unused connection of a caller is kept. It is above any limit that callers go by, so
	// that none is closed which a caller may still use after a limit was raised.
	idleTimeout = 75 * time.Second
	// maxHeaderBytes bounds a header before the configured limit is looked at.
	maxHeaderBytes = 64 << 10
)

// callerServer takes callers' connections.
type callerServer struct {
	settings  *Live
	state     *State
	registrar *membership.Registrar
	beat      func()
	server    *http.Server
	unused    *unusedConns
	log       zerolog.Logger
}

func newCallerServer(s *Live, state *State, r *membership.Registrar, handler http.Handler, beat func(), log zerolog.Logger) *callerServer {
	unused := newUnusedConns()
	return &callerServer{settings: s, state: state, registrar: r, beat: beat, unused: unused, log: log, server: &http.Server{
		Handler: handler, ReadHeaderTimeout: readHeaderTimeout, IdleTimeout: idleTimeout, MaxHeaderBytes: maxHeaderBytes,
		ConnState: unused.note,
	}}
}

func (c *callerServer) start(context.Context) error {
	listener, err := net.Listen("tcp", c.settings.Get().CallerListen)
	if err != nil {
		return peererr.Wrap(err, "listen", c.settings.Get().CallerListen)
	}
	go func() {
		if err := c.server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
			panic(err)
		}
	}()
	return nil
}

// stop lets callers move to other VMs, then waits for the requests in flight.
func (c *callerServer) stop(ctx context.Context) error {
	began := time.Now()
	c.state.isLeaving.Store(true)
	c.beat()
	go c.leave()
	periodic.Pause(ctx, linger)
	ctx, cancel := context.WithDeadline(ctx, began.Add(c.settings.Get().Grace-endMargin))
	defer cancel()
	go c.unused.closeOld(ctx)
	return c.server.Shutdown(ctx)
}

func (c *callerServer) leave() {
	ctx, cancel := context.WithTimeout(context.Background(), leaveTimeout)
	defer cancel()
	if err := c.registrar.Deregister(ctx); err != nil {
		logevent.LeaveNotAnnounced.Log(c.log).Err(err).Send()
	}
}

func (c *callerServer) hook() fx.Hook { return fx.Hook{OnStart: c.start, OnStop: c.stop} }
