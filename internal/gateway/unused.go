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
	// unusedTimeout is how long a stopping VM waits for the first byte on a connection. Callers send their request with the end
	// of the handshake, and give up on a VM that takes no connection for a second.
	unusedTimeout = time.Second
	// unusedCheckInterval is how often a stopping VM looks for such connections.
	unusedCheckInterval = 100 * time.Millisecond
)

// unusedConns are the connections of callers on which nothing has come yet. http.Server.Shutdown takes them for busy during
// their first five seconds, which is nearly the whole grace time.
type unusedConns struct {
	mu    sync.Mutex
	since map[net.Conn]time.Time
}

func newUnusedConns() *unusedConns { return &unusedConns{since: map[net.Conn]time.Time{}} }

// trackState follows the states of connections, as http.Server.ConnState.
func (u *unusedConns) trackState(conn net.Conn, state http.ConnState) {
	u.mu.Lock()
	defer u.mu.Unlock()
	if state == http.StateNew {
		u.since[conn] = time.Now()
		return
	}
	delete(u.since, conn)
}

// closeExpired closes unused connections until ctx ends.
func (u *unusedConns) closeExpired(ctx context.Context) {
	for periodic.Pause(ctx, unusedCheckInterval) {
		for _, conn := range u.expired(time.Now()) {
			// The caller has sent nothing, so that it loses nothing.
			_ = conn.Close()
		}
	}
}

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
