package entrypeer

import (
	"context"

	"google.golang.org/grpc"
	"google.golang.org/grpc/connectivity"
)

// awaitReady waits up to connectTimeout until the connection is open. It returns false if opening fails; no request has then
// been sent.
func awaitReady(ctx context.Context, conn *grpc.ClientConn) bool {
	ctx, cancel := context.WithTimeout(ctx, connectTimeout)
	defer cancel()
	for {
		state := conn.GetState()
		if state == connectivity.Ready {
			return true
		}
		conn.Connect()
		if state == connectivity.TransientFailure || state == connectivity.Shutdown {
			return false
		}
		if !conn.WaitForStateChange(ctx, state) {
			return false
		}
	}
}
