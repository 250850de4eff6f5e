package entry

import (
	"context"
	"net"
	"net/http"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// TestRequestsInFlightAtStopAreServed replays scenario stop-entry-under-load, in which 1 or 2 of 4,259 requests ended with
// unknown around the planned stop of an entry: a caller may begin a request in the last moment of the answer that names the
// VM, and it is on its way when the VM closes the connections that it takes for unused.
func TestRequestsInFlightAtStopAreServed(t *testing.T) {
	const (
		lifetime     = 300 * time.Millisecond
		networkDelay = 50 * time.Millisecond
		callers      = 8
	)
	c := qt.New(t)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	server := &http.Server{Handler: http.HandlerFunc(func(http.ResponseWriter, *http.Request) {})}
	go server.Serve(listener)
	transport := &http.Transport{MaxIdleConnsPerHost: callers}
	defer transport.CloseIdleConnections()
	send := func() error {
		// A request with a body of its own is not sent again by net/http.
		r, err := http.NewRequest(http.MethodPost, "http://"+listener.Addr().String(), http.NoBody)
		c.Check(err, qt.IsNil)
		response, err := transport.RoundTrip(r)
		if err != nil {
			return err
		}
		return response.Body.Close()
	}
	var wait sync.WaitGroup
	for range callers {
		wait.Go(func() { c.Check(send(), qt.IsNil) })
	}
	wait.Wait()

	announcedAt := time.Now()
	for range callers {
		wait.Go(func() {
			time.Sleep(time.Until(announcedAt.Add(lifetime + networkDelay)))
			c.Check(send(), qt.IsNil)
		})
	}
	time.Sleep(leaveGracePeriod(lifetime, true))
	c.Check(server.Shutdown(context.Background()), qt.IsNil)
	wait.Wait()
}
