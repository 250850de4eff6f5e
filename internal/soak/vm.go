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

// vm is a VM with its process, its way to the store, and the way of callers to it.
type vm struct {
	child.Process

	settings gateway.Settings
	// settingsPath is where the settings file stands.
	settingsPath string

	// store is the VM's way to the store, whose answers storeLink carries.
	store       *kvtest.Client
	storeServer *http.Server
	storeRelay  *link.Relay
	storeLinks  [2]*link.Direction
	callerRelay *link.Relay
	callerLinks [2]*link.Direction

	// disturbances are the disturbances of the process and its links, storeFaults those of its way to the store.
	disturbances      *disturbances
	storeDisturbances *disturbances

	// processFault is held while a fault of the process lasts, so that two of them do not meet on one VM.
	processFault sync.Mutex

	// isStopping tells that the process that was started last has been told to end.
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

// start starts the process. Its end is a fault unless it has been told to end.
func (v *vm) start(l *ledger) error {
	if err := v.Start(); err != nil {
		return err
	}
	isStopping, ended := &atomic.Bool{}, v.Ended()
	v.isStopping = isStopping
	go func() {
		<-ended
		if !isStopping.Load() {
			l.violation("FAULT: %s ended by itself", v.Name)
		}
	}()
	return nil
}

// reload sends SIGHUP once the process listens. A Go process ends by the signal until its runtime and the packages that
// come before internal/hangup are initialized, which nothing in it can change.
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

// kill ends the process at once.
func (v *vm) kill() {
	if v.isStopping != nil {
		v.isStopping.Store(true)
	}
	v.End()
}

// stop asks for a planned stop, and kills the process after the grace time.
func (v *vm) stop(l *ledger) {
	v.isStopping.Store(true)
	if err := v.Stop(v.settings.Grace + graceSlack); err != nil {
		l.violation("LOST: %v", err)
		v.End()
		return
	}
	if state := v.State(); state.ExitCode() != 0 && !endedBeforeSignalHandler(state) {
		l.violation("FAULT: %s ended its planned stop with %s", v.Name, state)
	}
}

// endedBeforeSignalHandler reports whether SIGTERM ended a process that had not come so far as to ask for it, which is the first
// thing that it does. It has taken no request then.
func endedBeforeSignalHandler(state *os.ProcessState) bool {
	status, ok := state.Sys().(syscall.WaitStatus)
	return ok && status.Signaled() && status.Signal() == syscall.SIGTERM
}

// graceSlack is what a busy machine may add to the grace time.
const graceSlack = time.Second

// close ends the process and everything around it.
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

// checkLog reports what no log may hold.
func (v *vm) checkLog(l *ledger) error {
	text, err := os.ReadFile(v.LogPath)
	if err != nil {
		return err
	}
	for _, bad := range []string{"panic:", "DATA RACE", "fatal error:"} {
		if at := strings.Index(string(text), bad); at >= 0 {
			l.violation("FAULT: the log of %s: %.600s", v.Name, text[at:])
		}
	}
	return nil
}
