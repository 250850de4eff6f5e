// Package child runs a program of this repository as a separate process for tests. It signals and ends only processes that
// it has started itself.
package child

import (
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"
)

// Process is one program. It can be started again after its end. It may be used by several goroutines.
type Process struct {
	Name    string
	Program string
	Args    []string
	// Env are variables beside those of the test.
	Env []string
	// LogPath is the file that output is appended to. The process runs in its folder.
	LogPath string

	mu      sync.Mutex
	command *exec.Cmd
	ended   chan struct{}
}

// Start starts the process.
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

func (p *Process) current() (*exec.Cmd, <-chan struct{}) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.command, p.ended
}

// Ended returns the channel that is closed once the process that was started last has ended.
func (p *Process) Ended() <-chan struct{} {
	_, ended := p.current()
	return ended
}

// ExitState tells how the process ended. It must not be called before its end.
func (p *Process) ExitState() *os.ProcessState {
	command, _ := p.current()
	return command.ProcessState
}

// IsRunning reports whether the process was started and has not ended.
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

// Signal sends a signal to this process alone.
func (p *Process) Signal(s syscall.Signal) error {
	if !p.IsRunning() {
		return fmt.Errorf("%s does not run", p.Name)
	}
	command, _ := p.current()
	return command.Process.Signal(s)
}

// Kill ends the process at once.
func (p *Process) Kill() error {
	if err := p.Signal(syscall.SIGKILL); err != nil {
		return err
	}
	<-p.Ended()
	return nil
}

// Stop asks for a planned stop and waits for its end, for a time at most. How it ended is told by State.
func (p *Process) Stop(bound time.Duration) error {
	if err := p.Signal(syscall.SIGTERM); err != nil {
		return err
	}
	select {
	case <-p.Ended():
		return nil
	case <-time.After(bound):
		return fmt.Errorf("%s has not ended %s after the planned stop began", p.Name, bound)
	}
}

// KillIfRunning kills the process if it still runs.
func (p *Process) KillIfRunning() {
	if p.IsRunning() {
		_ = p.Kill()
	}
}
