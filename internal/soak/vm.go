package soak

import (
	"fmt"
	"net"
	"net/http"
	"os"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/primroseladder/primroseladder/internal/child"
	"github.com/primroseladder/primroseladder/internal/gateway"
	"github.com/primroseladder/primroseladder/internal/kv/kvtest"
	"github.com/primroseladder/primroseladder/internal/periodic"
	"github.com/primroseladder/primroseladder/internal/standin/link"
	"github.com/primroseladder/primroseladder/platform/standin"
)

// The ports of a VM. Each VM has a loopback address of its own.
const (
	callerPort    = 8641
	readyPort     = 8640
	directoryPort = 8644
	peerPort      = 7620
	metricsPort   = 9102
)

// vm is a VM: its gateway process, its connection to the store, and the connection of callers to it.
type vm struct {
	child.Process

	settings gateway.Settings
	// settingsPath is the path of the settings file.
	settingsPath string

	// store is the VM's access to the store, which it reaches through storeRelay. storeLinks are the directions to the
	// store and back.
	store       *kvtest.Client
	storeServer *http.Server
	storeRelay  *link.Relay
	storeLinks  [2]*link.Direction
	callerRelay *link.Relay
	callerLinks [2]*link.Direction

	// disturbances are those of the process and of the callers' links to it, storeDisturbances those of its connection to
	// the store.
	disturbances      *disturbances
	storeDisturbances *disturbances

	// processFault is held during a fault of the process, so that two of them do not overlap on one VM.
	processFault sync.Mutex

	// isStopping is set once the process that was started last has been asked to end or has been killed.
	isStopping *atomic.Bool
}

// writeSettings writes the settings file.
func (v *vm) writeSettings() error {
	text, err := standin.EncodeSettings(&v.settings)
	if err != nil {
		return err
	}
	return os.WriteFile(v.settingsPath, text, 0o600)
}

// start starts the process. If it ends without having been stopped or killed, that is a violation.
func (v *vm) start(l *ledger) error {
	if err := v.Start(); err != nil {
		return err
	}
	isStopping, ended := &atomic.Bool{}, v.Ended()
	v.isStopping = isStopping
	go func() {
		<-ended
		if !isStopping.Load() {
			l.recordViolation("FAULT: %s ended by itself", v.Name)
		}
	}()
	return nil
}

// reload sends SIGHUP once the process listens. Before that, the signal would end the process: until the Go runtime and
// the packages before internal/hangup are initialized, no handler can be installed.
func (v *vm) reload() error {
	err := periodic.Poll(startBound, func() error {
		conn, err := net.Dial("tcp", v.settings.ReadyListen)
		if err != nil {
			return err
		}
		return conn.Close()
	})
	if err != nil {
		return fmt.Errorf("%s does not listen: %w", v.Name, err)
	}
	return v.Signal(syscall.SIGHUP)
}

// kill kills the process.
func (v *vm) kill() {
	if v.isStopping != nil {
		v.isStopping.Store(true)
	}
	v.KillIfRunning()
}

// stop requests a graceful stop, and kills the process if it has not ended after the grace period.
func (v *vm) stop(l *ledger) {
	v.isStopping.Store(true)
	if err := v.Stop(v.settings.Grace + graceSlack); err != nil {
		l.recordViolation("LOST: %v", err)
		v.KillIfRunning()
		return
	}
	if state := v.ExitState(); state.ExitCode() != 0 && !endedBeforeSignalHandler(state) {
		l.recordViolation("FAULT: %s ended its planned stop with %s", v.Name, state)
	}
}

// endedBeforeSignalHandler reports whether SIGTERM ended a process before it had installed its signal handler. A
// process installs the handler first, so that one that ended before that has accepted no request.
func endedBeforeSignalHandler(state *os.ProcessState) bool {
	status, ok := state.Sys().(syscall.WaitStatus)
	return ok && status.Signaled() && status.Signal() == syscall.SIGTERM
}

// graceSlack allows for delays on a busy machine after the grace period.
const graceSlack = time.Second

// close kills the process and closes its relays and its store server.
func (v *vm) close() {
	v.kill()
	if v.storeServer != nil {
		_ = v.storeServer.Close()
	}
	for _, relay := range []*link.Relay{v.storeRelay, v.callerRelay} {
		if relay != nil {
			relay.Close()
		}
	}
}

// checkLog reports panics, data races and fatal errors in the process's log.
func (v *vm) checkLog(l *ledger) error {
	text, err := os.ReadFile(v.LogPath)
	if err != nil {
		return err
	}
	for _, bad := range []string{"panic:", "DATA RACE", "fatal error:"} {
		if at := strings.Index(string(text), bad); at >= 0 {
			l.recordViolation("FAULT: the log of %s: %.600s", v.Name, text[at:])
		}
	}
	return nil
}
