package gateway

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/primroseladder/primroseladder/internal/periodic"
)

const (
	// unusedTimeout is how long a stopping VM waits for the first byte on a connection. Callers send their request when the
	// handshake ends, and give up on a VM that accepts no connection for a second.
	unusedTimeout = time.Second
	// unusedCheckInterval is the interval at which a stopping VM checks for connections past unusedTimeout.
	unusedCheckInterval = 100 * time.Millisecond
)

// unusedConns tracks the connections of callers on which no byte has arrived yet. http.Server.Shutdown considers them busy
// during their first five seconds, which is nearly the whole grace time.
type unusedConns struct {
	mu sync.Mutex
	// since holds the time at which each unused connection was accepted.
	since map[net.Conn]time.Time
}

func newUnusedConns() *unusedConns { return &unusedConns{since: map[net.Conn]time.Time{}} }

// trackState records the state of a connection. It is the http.Server.ConnState callback.
func (u *unusedConns) trackState(conn net.Conn, state http.ConnState) {
	u.mu.Lock()
	defer u.mu.Unlock()
	if state == http.StateNew {
		u.since[conn] = time.Now()
		return
	}
	delete(u.since, conn)
}

// closeExpired closes connections that stay unused for longer than unusedTimeout, until ctx ends.
func (u *unusedConns) closeExpired(ctx context.Context) {
	for periodic.Pause(ctx, unusedCheckInterval) {
		for _, conn := range u.expired(time.Now()) {
			// The caller has sent nothing yet, so no request is lost.
			_ = conn.Close()
		}
	}
}

// expired returns the connections that have been unused for longer than unusedTimeout.
func (u *unusedConns) expired(now time.Time) []net.Conn {
	u.mu.Lock()
	defer u.mu.Unlock()
	var out []net.Conn
	for conn, since := range u.since {
		if now.Sub(since) > unusedTimeout {
			out = append(out, conn)
		}
	}
	return out
}
