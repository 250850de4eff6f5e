package process_test

import (
	"context"
	"os"
	"syscall"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/primroseladder/primroseladder/internal/hangup"
	"github.com/primroseladder/primroseladder/internal/process"
)

// TestSIGHUPReloads checks that SIGHUP, which terminates a Go process by default, leads to a reload.
func TestSIGHUPReloads(t *testing.T) {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	reloaded := make(chan struct{}, 1)
	go process.WatchSettings(ctx, "", hangup.Signals(), func() { reloaded <- struct{}{} })
	qt.Assert(t, syscall.Kill(os.Getpid(), syscall.SIGHUP), qt.IsNil)
	select {
	case <-reloaded:
	case <-time.After(5 * time.Second):
		t.Fatal("no reload after SIGHUP")
	}
}

// TestSIGHUPAfterReloadLoopEnds checks that SIGHUP does not terminate a process that is stopping, after WatchSettings has
// returned. SIGHUP once terminated such a process in soak tests with the seeds 100, 101, 104, 113, 115 and 116.
func TestSIGHUPAfterReloadLoopEnds(t *testing.T) {
	ctx, cancel := context.WithCancel(context.Background())
	stopped := make(chan struct{})
	go func() {
		process.WatchSettings(ctx, "", hangup.Signals(), func() {})
		close(stopped)
	}()
	cancel()
	<-stopped
	qt.Assert(t, syscall.Kill(os.Getpid(), syscall.SIGHUP), qt.IsNil)
	time.Sleep(50 * time.Millisecond)
	<-hangup.Signals()
}
