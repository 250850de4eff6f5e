// Package listen starts and stops listeners and background functions as part of an fx application.
package listen

import (
	"context"
	"errors"
	"net"
	"net/http"
	"time"

	"go.uber.org/fx"
	"golang.org/x/net/netutil"
	"google.golang.org/grpc"

	"github.com/primroseladder/primroseladder/internal/peererr"
)

const (
	readHeaderTimeout = 5 * time.Second
	readTimeout       = 30 * time.Second
	idleTimeout       = 60 * time.Second
	maxHeaderBytes    = 16 << 10
	maxConnections    = 16_384
)

// HTTP serves a handler between start and stop of the application. Stop waits for requests in flight. Connections above
// maxConnections wait to be accepted. The process panics if the listener fails while serving.
func HTTP(lc fx.Lifecycle, address string, handler http.Handler) {
	server := newHTTPServer(handler)
	lc.Append(fx.Hook{OnStart: onStart(address, serveHTTP(server)), OnStop: server.Shutdown})
}

// shortDrain is how long the stop of HTTPShort waits for requests in flight.
const shortDrain = 100 * time.Millisecond

// HTTPShort serves a handler like HTTP, but its requests are short and can be repeated: stop waits for them for
// shortDrain at most. http.Server.Shutdown alone waits up to five seconds for a new connection on which nothing arrives.
func HTTPShort(lc fx.Lifecycle, address string, handler http.Handler) {
	server := newHTTPServer(handler)
	stop := func(ctx context.Context) error {
		ctx, cancel := context.WithTimeout(ctx, shortDrain)
		defer cancel()
		if server.Shutdown(ctx) != nil {
			return server.Close()
		}
		return nil
	}
	lc.Append(fx.Hook{OnStart: onStart(address, serveHTTP(server)), OnStop: stop})
}

func newHTTPServer(handler http.Handler) *http.Server {
	return &http.Server{
		Handler: handler, ReadHeaderTimeout: readHeaderTimeout, ReadTimeout: readTimeout,
		IdleTimeout: idleTimeout, MaxHeaderBytes: maxHeaderBytes,
	}
}

// serveHTTP returns a function that serves the connections of a listener.
func serveHTTP(server *http.Server) func(net.Listener) {
	return func(l net.Listener) {
		if err := server.Serve(netutil.LimitListener(l, maxConnections)); !errors.Is(err, http.ErrServerClosed) {
			panic(err)
		}
	}
}

// onStart returns a start hook that opens a listener and serves it in the background.
func onStart(address string, serve func(net.Listener)) func(context.Context) error {
	return func(context.Context) error {
		listener, err := net.Listen("tcp", address)
		if err != nil {
			return peererr.Wrap(err, "listen", address)
		}
		go serve(listener)
		return nil
	}
}

// HTTPWhenReady serves a handler from the time at which ready is closed until stop. Until then, connections are refused, so
// that a caller knows that nothing was sent. The returned channel is closed once connections are accepted.
func HTTPWhenReady(lc fx.Lifecycle, ready <-chan struct{}, address string, handler http.Handler) <-chan struct{} {
	var deferred deferredLifecycle
	HTTP(&deferred, address, handler)
	ctx, cancel := context.WithCancel(context.Background())
	startDone, accepting := make(chan struct{}), make(chan struct{})
	lc.Append(fx.Hook{
		OnStart: func(context.Context) error {
			go func() {
				defer close(startDone)
				select {
				case <-ready:
					deferred.start(ctx)
					close(accepting)
				case <-ctx.Done():
				}
			}()
			return nil
		},
		OnStop: func(stopCtx context.Context) error {
			cancel()
			<-startDone
			return deferred.hook.OnStop(stopCtx)
		},
	})
	return accepting
}

// deferredLifecycle records a single hook, whose start is called later than the start of the application.
type deferredLifecycle struct{ hook fx.Hook }

// Append implements fx.Lifecycle.
func (l *deferredLifecycle) Append(h fx.Hook) { l.hook = h }

func (l *deferredLifecycle) start(ctx context.Context) {
	if err := l.hook.OnStart(ctx); err != nil {
		panic(err)
	}
}

// GRPC serves gRPC between start and stop. Stop waits for calls in flight until the stop context ends, then cancels them.
func GRPC(lc fx.Lifecycle, address string, server *grpc.Server) {
	lc.Append(fx.Hook{
		OnStart: onStart(address, func(l net.Listener) { _ = server.Serve(l) }),
		OnStop: func(ctx context.Context) error {
			done := make(chan struct{})
			go func() {
				server.GracefulStop()
				close(done)
			}()
			select {
			case <-done:
			case <-ctx.Done():
				server.Stop()
			}
			return nil
		},
	})
}

// Background runs a function between start and stop. Stop cancels the function's context, then waits until the function
// returns or the stop context ends.
func Background(lc fx.Lifecycle, run func(ctx context.Context)) {
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	lc.Append(fx.Hook{
		OnStart: func(context.Context) error {
			go func() {
				defer close(done)
				run(ctx)
			}()
			return nil
		},
		OnStop: func(stopCtx context.Context) error {
			cancel()
			select {
			case <-done:
			case <-stopCtx.Done():
			}
			return nil
		},
	})
}
