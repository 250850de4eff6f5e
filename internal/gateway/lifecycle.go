package gateway

import (
	"context"
	"net"
	"time"

	"github.com/rs/zerolog"
	"go.uber.org/fx"

	"github.com/primroseladder/primroseladder/internal/callerconn"
	"github.com/primroseladder/primroseladder/internal/ingress"
	"github.com/primroseladder/primroseladder/internal/logevent"
	"github.com/primroseladder/primroseladder/internal/membership"
	"github.com/primroseladder/primroseladder/internal/membudget"
	"github.com/primroseladder/primroseladder/internal/peererr"
	"github.com/primroseladder/primroseladder/internal/periodic"
)

const (
	// directoryTTL is how long callers may cache the list of VMs to use. Some cache it three times as long, so a stopping
	// VM accepts connections for lingerTime.
	directoryTTL = time.Second
	// lingerTime is how long a stopping VM still accepts connections.
	lingerTime = 2800 * time.Millisecond
	// graceMargin is the part of the grace time that is left when requests in flight are abandoned.
	graceMargin = 300 * time.Millisecond
	// leaveTimeout limits the call that removes the registration.
	leaveTimeout = time.Second
)

const (
	// readHeaderTimeout limits the time to receive the header of a request; the users' limit is 3 s.
	readHeaderTimeout = 5 * time.Second
	// idleTimeout is how long an idle connection of a caller is kept open. It exceeds every limit that callers follow, so
	// that no connection is closed that a caller may still use after a limit was raised.
	idleTimeout = 75 * time.Second
	// unusedTimeout is how long a stopping VM waits for the first byte on a connection. Callers send their request when the
	// handshake ends, and give up on a VM that accepts no connection for a second.
	unusedTimeout = time.Second
	// writeTimeout is how long a caller may take to accept an answer.
	writeTimeout = 30 * time.Second
	// maxHeaderBytes limits the header of a request before the configured limit is checked.
	maxHeaderBytes = 64 << 10
	// maxPending and maxPendingBytes limit the requests of one connection that wait for their answers, and the size of
	// their bodies.
	maxPending      = 16
	maxPendingBytes = 1 << 20
)

// callerServer serves callers' connections.
type callerServer struct {
	settings  *LiveSettings
	state     *State
	registrar *membership.Registrar
	// announce announces to the other VMs that the state of this VM has changed.
	announce func()
	server   *callerconn.Server
	log      zerolog.Logger
}

func newCallerServer(
	p *Platform, state *State, r *membership.Registrar, handler *ingress.Handler, announce func(), memory *membudget.Budget,
	log zerolog.Logger,
) *callerServer {
	return &callerServer{settings: p.Settings, state: state, registrar: r, announce: announce, log: log, server: callerconn.NewServer(
		callerconn.Options{
			Handler: handler, Prepare: handler.Prepare, MayOverlap: handler.MayOverlap, BodyLimits: handler.BodyLimits, IsClosing: state.IsLeaving,
			RequestIDHeader:   p.Headers.RequestID,
			ReadHeaderTimeout: readHeaderTimeout, IdleTimeout: idleTimeout, UnusedTimeout: unusedTimeout,
			WriteTimeout: writeTimeout, MaxHeaderBytes: maxHeaderBytes, MaxPending: maxPending,
			MaxPendingBytes: maxPendingBytes, Memory: memory, Log: log,
		},
	)}
}

func (c *callerServer) start(context.Context) error {
	listener, err := net.Listen("tcp", c.settings.Get().CallerListen)
	if err != nil {
		return peererr.Wrap(err, "listen", c.settings.Get().CallerListen)
	}
	go c.server.Serve(listener)
	return nil
}

// stop announces that the VM is leaving, accepts connections for lingerTime, in which callers move to other VMs, and then
// refuses further requests and waits for those in flight until graceMargin before the end of the grace time.
func (c *callerServer) stop(ctx context.Context) error {
	began := time.Now()
	c.state.isLeaving.Store(true)
	c.announce()
	go c.deregister()
	periodic.Pause(ctx, lingerTime)
	c.state.isEnding.Store(true)
	ctx, cancel := context.WithDeadline(ctx, began.Add(c.settings.Get().Grace-graceMargin))
	defer cancel()
	return c.server.Shutdown(ctx)
}

func (c *callerServer) deregister() {
	ctx, cancel := context.WithTimeout(context.Background(), leaveTimeout)
	defer cancel()
	if err := c.registrar.Deregister(ctx); err != nil {
		logevent.LeaveNotAnnounced.Log(c.log).Err(err).Send()
	}
}

func (c *callerServer) hook() fx.Hook { return fx.Hook{OnStart: c.start, OnStop: c.stop} }
