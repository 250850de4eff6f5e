// Package child runs a program of this repository as a separate process for tests. It signals and kills only processes that it
// has started itself.
package child

import (
	"bytes"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"
)

// Process is a program that can be run as a process, one at a time, and started again after the process has exited. Its methods
// may be called concurrently.
type Process struct {
	Name    string
	Program string
	Args    []string
	// Env holds variables (name=value) in addition to the environment of the test.
	Env []string
	// LogPath is the file to which standard output and standard error are appended. Its folder is the working directory of the
	// process.
	LogPath string

	mu      sync.Mutex
	command *exec.Cmd
	// ended is closed once the process has exited.
	ended chan struct{}
}

// Start starts the process. The previous one must have exited.
func (p *Process) Start() error {
	file, err := os.OpenFile(p.LogPath, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer file.Close()
	command := exec.Command(p.Program, p.Args...)
	command.Dir = filepath.Dir(p.LogPath)
	command.Env = append(os.Environ(), p.Env...)
	command.Stdout, command.Stderr = file, file
	if err := command.Start(); err != nil {
		return fmt.Errorf("start %s: %w", p.Name, err)
	}
	ended := make(chan struct{})
	p.mu.Lock()
	p.command, p.ended = command, ended
	p.mu.Unlock()
	go func() {
		_ = command.Wait()
		close(ended)
	}()
	return nil
}

// current returns the command started last and the channel that is closed once it has exited. Both are nil before Start.
func (p *Process) current() (*exec.Cmd, <-chan struct{}) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.command, p.ended
}

// Ended returns the channel that is closed once the process started last has exited.
func (p *Process) Ended() <-chan struct{} {
	_, ended := p.current()
	return ended
}

// ExitState returns the exit status of the process. It may be called only after the channel of Ended is closed.
func (p *Process) ExitState() *os.ProcessState {
	command, _ := p.current()
	return command.ProcessState
}

// IsRunning reports whether the process was started and has not exited.
func (p *Process) IsRunning() bool {
	command, ended := p.current()
	if command == nil {
		return false
	}
	select {
	case <-ended:
		return false
	default:
		return true
	}
}

// Signal sends a signal to the process, but not to processes that it has started. It fails if the process is not running.
func (p *Process) Signal(s syscall.Signal) error {
	if !p.IsRunning() {
		return fmt.Errorf("%s is not running", p.Name)
	}
	command, _ := p.current()
	return command.Process.Signal(s)
}

// freezeTimeout limits the wait for a process to stop. Its threads stop when they are next scheduled.
const freezeTimeout = 5 * time.Second

// Freeze suspends the process, which has no chance to react, and returns once all of its threads have stopped.
func (p *Process) Freeze() error {
	if err := p.Signal(syscall.SIGSTOP); err != nil {
		return err
	}
	command, _ := p.current()
	for deadline := time.Now().Add(freezeTimeout); time.Now().Before(deadline); time.Sleep(time.Millisecond) {
		if isStopped(command.Process.Pid) {
			return nil
		}
	}
	return fmt.Errorf("%s has not stopped within %v", p.Name, freezeTimeout)
}

// isStopped reports whether all threads of a process have stopped. Their state follows their name, which ends with a parenthesis.
func isStopped(pid int) bool {
	stats, err := filepath.Glob(fmt.Sprintf("/proc/%d/task/*/stat", pid))
	if err != nil || len(stats) == 0 {
		return false
	}
	for _, path := range stats {
		stat, err := os.ReadFile(path)
		_, state, _ := bytes.Cut(stat, []byte(") "))
		// A thread that has ended meanwhile cannot be read.
		if err == nil && !bytes.HasPrefix(state, []byte("T")) {
			return false
		}
	}
	return true
}

// Kill sends SIGKILL and waits until the process has exited.
func (p *Process) Kill() error {
	if err := p.Signal(syscall.SIGKILL); err != nil {
		return err
	}
	<-p.Ended()
	return nil
}

// Stop begins a planned stop by SIGTERM and waits until the process has exited, at most for the timeout. ExitState returns how
// it exited.
func (p *Process) Stop(timeout time.Duration) error {
	if err := p.Signal(syscall.SIGTERM); err != nil {
		return err
	}
	select {
	case <-p.Ended():
		return nil
	case <-time.After(timeout):
		return fmt.Errorf("%s has not exited %s after the planned stop began", p.Name, timeout)
	}
}

// KillIfRunning kills the process if it is still running, and waits until it has exited.
func (p *Process) KillIfRunning() {
	if p.IsRunning() {
		_ = p.Kill()
	}
}
