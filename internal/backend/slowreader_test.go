package backend

import (
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/primroseladder/primroseladder/internal/header"
	"github.com/primroseladder/primroseladder/internal/tcpdial"
)

// TestSlowReaderIsNotTakenForASilentPeer guards against uploads that are broken off while their backend server reads them (LOST): its
// window stays closed for longer than the connection waits for a peer that acknowledges nothing.
func TestSlowReaderIsNotTakenForASilentPeer(t *testing.T) {
	c := qt.New(t)
	const userTimeout, pause = 300 * time.Millisecond, 1200 * time.Millisecond
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	defer listener.Close()
	go func() {
		peer, err := listener.Accept()
		if err != nil {
			return
		}
		defer peer.Close()
		// The buffer of the receiver fills up while nothing is read.
		time.Sleep(pause)
		_, _ = io.CopyN(io.Discard, peer, 8<<20)
		_, _ = io.WriteString(peer, okAnswer("own", "in"))
		_, _ = io.Copy(io.Discard, peer)
	}()
	options := tcpdial.Options{ConnectTimeout: time.Second, KeepAliveInterval: time.Second, KeepAliveProbes: 3, UserTimeout: userTimeout}
	pool := NewPoolWithOptions(listener.Addr().String(), Options{
		MaxConns: 1, RequestIDHeader: header.RequestID, MaxIdle: time.Minute, Dialer: tcpdial.NewDialer(options), UserTimeout: userTimeout,
	})
	defer pool.Close()
	ctx, cancel := context.WithTimeout(context.Background(), 8*time.Second)
	defer cancel()
	request := newRequest("own", http.MethodPost, "")
	request.Body = bytes.Repeat([]byte{'x'}, 12<<20)
	answer, err := pool.Do(ctx, request)
	c.Assert(err, qt.IsNil)
	c.Check(answer.Status, qt.Equals, http.StatusOK)
}
