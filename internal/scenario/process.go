package scenario

import (
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"syscall"
	"time"

	"github.com/primroseladder/primroseladder/internal/child"
	"github.com/primroseladder/primroseladder/internal/periodic"
)

// stopTimeout is how long a graceful stop may take.
const stopTimeout = 30 * time.Second

// process is one process of the fleet.
type process struct {
	child.Process
	// readyURL answers with status 200 once the process is ready.
	readyURL string
	// statusURL is the status page for operators. Backend servers have none.
	statusURL string
}

// awaitReady waits until the process is ready. It fails at once if the process ends.
func (p *process) awaitReady(timeout time.Duration) error {
	return periodic.Poll(timeout, func() error {
		select {
		case <-p.Ended():
			return periodic.Permanent(fmt.Errorf("%s ended: %s", p.Name, p.ExitState()))
		default:
		}
		_, err := get(p.readyURL)
		return err
	})
}

// stop stops the process gracefully and waits for its end. An exit code other than 0 is an error.
func (p *process) stop() error {
	if err := p.Stop(stopTimeout); err != nil {
		return err
	}
	if code := p.ExitState().ExitCode(); code != 0 {
		return fmt.Errorf("%s exited with code %d after a graceful stop", p.Name, code)
	}
	return nil
}

// logTailBytes is how many bytes of a log are printed when a scenario fails.
const logTailBytes = 4000

// logTail returns the end of the log.
func (p *process) logTail() string {
	content, err := os.ReadFile(p.LogPath)
	if err != nil {
		return err.Error()
	}
	return string(content[max(0, len(content)-logTailBytes):])
}

// processFileName returns the name of a process in a form for file names.
func processFileName(process string) string { return strings.ReplaceAll(process, "/", "-") }

func logPath(dir, name string) string { return filepath.Join(dir, processFileName(name)+".log") }

// freeze suspends the process and returns once it has stopped.
func (p *process) freeze() error { return p.Freeze() }

// thaw resumes a frozen process.
func (p *process) thaw() error { return p.Signal(syscall.SIGCONT) }
