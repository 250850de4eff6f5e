package main

import (
	"errors"
	"os"
	"os/exec"
	"sync"
	"syscall"
	"time"
)

// process runs one program, one process at a time.
type process struct {
	name, program string
	env           []string
	logPath       string

	mu      sync.Mutex
	command *exec.Cmd
	// ended is closed once the process has exited.
	ended chan struct{}
}

var errNotRunning = errors.New("the process is not running")

// start starts the process in the current folder, which is that of the repository.
func (p *process) start() error {
	file, err := os.OpenFile(p.logPath, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer file.Close()
	command := exec.Command(p.program)
	// The process does not outlive this program, however that ends.
	command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	command.Env = p.env
	for _, name := range []string{"PATH", "HOME", "LANG"} {
		command.Env = append(command.Env, name+"="+os.Getenv(name))
	}
	command.Stdout, command.Stderr = file, file
	if err := command.Start(); err != nil {
		return err
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

// running returns the process and the channel that is closed at its end; nil if none is running.
func (p *process) running() (*os.Process, <-chan struct{}) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.command == nil {
		return nil, nil
	}
	select {
	case <-p.ended:
		return nil, nil
	default:
		return p.command.Process, p.ended
	}
}

// signal sends a signal to the process.
func (p *process) signal(s syscall.Signal) error {
	current, _ := p.running()
	if current == nil {
		return errNotRunning
	}
	return current.Signal(s)
}

// stop sends SIGTERM and, if the process has not exited within the grace time, SIGKILL. It waits for the end.
func (p *process) stop(grace time.Duration) {
	current, ended := p.running()
	if current == nil {
		return
	}
	_ = current.Signal(syscall.SIGTERM)
	select {
	case <-ended:
		return
	case <-time.After(grace):
	}
	p.kill()
}

// kill sends SIGKILL and waits for the end.
func (p *process) kill() {
	current, ended := p.running()
	if current == nil {
		return
	}
	_ = current.Kill()
	<-ended
}
